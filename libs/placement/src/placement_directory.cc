// One host's part of what all hosts share about placing calls.
#include "hawthornlane/placement/placement_directory.h"

#include <xxhash.h>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane {

server_key server_key_of(const backend_server_id& server, incarnation start) {
  const std::uint64_t number = start.get();
  const std::uint32_t seed = number == 0 ? 0 : XXH32(&number, sizeof(number), 0);
  return server_key(XXH32(server.get().data(), server.get().size(), seed));
}

std::uint32_t placement_directory::set_load(const host_id& host, const server_load& load,
                                            timestamp now) {
  auto& hosts = this->loads[load.server];
  const auto told = hosts.find(host);
  const std::uint32_t before = told == hosts.end() ? 0 : told->second.calls;
  if (load.calls > 0) {
    hosts[host] = {load.calls, now};
    return before;
  }
  hosts.erase(host);
  if (hosts.empty()) {
    this->loads.erase(load.server);
  }
  return before;
}

std::uint32_t placement_directory::load_of_all(server_key server, timestamp now) const {
  // No host has the empty name.
  return this->load_of_others(server, host_id(), now);
}

std::uint32_t placement_directory::load_of_others(server_key server, const host_id& asker,
                                                  timestamp now) const {
  const auto found = this->loads.find(server);
  if (found == this->loads.end()) {
    return 0;
  }
  std::uint32_t sum = 0;
  for (const auto& [host, count] : found->second) {
    if (host == asker || now - count.told > count_lifetime) {
      continue;
    }
    sum += count.calls;
  }
  return sum;
}

void placement_directory::set_speed(const host_id& host, const speed_report& speed, timestamp now) {
  if (now >= this->next_drop) {
    this->drop_old_speeds(now);
    this->next_drop = now + speed_lifetime;
  }
  this->speeds[speed.server][host] = {speed.word, now};
}

void placement_directory::drop_old_speeds(timestamp now) {
  for (auto& [server, hosts] : this->speeds) {
    std::erase_if(hosts, [&](const auto& item) { return now - item.second.told > speed_lifetime; });
  }
  std::erase_if(this->speeds, [](const auto& item) { return item.second.empty(); });
}

std::optional<speed_report> placement_directory::speed_of_others(server_key server,
                                                                 const host_id& asker,
                                                                 timestamp now) const {
  const auto found = this->speeds.find(server);
  if (found == this->speeds.end()) {
    return std::nullopt;
  }
  speed_mean mean;
  for (const auto& [host, item] : found->second) {
    if (host != asker) {
      mean.add(item.word, std::chrono::duration_cast<duration>(now - item.told), this->rules);
    }
  }
  const speed_word word = mean.word(this->rules);
  return word.empty() ? std::nullopt : std::optional(speed_report{server, word});
}

void placement_directory::set_location(const part_location& location) {
  const auto [found, is_new] = this->lines.try_emplace(location.part);
  line_entry& entry = found->second;
  entry.location = location;
  if (!is_new) {
    this->by_use.splice(this->by_use.begin(), this->by_use, entry.used);
    return;
  }
  this->by_use.push_front(location.part);
  entry.used = this->by_use.begin();
  if (this->lines.size() > most_lines) {
    this->lines.erase(this->by_use.back());
    this->by_use.pop_back();
  }
}

std::optional<part_location> placement_directory::find(prompt_part_key part) const {
  const auto found = this->lines.find(part);
  return found == this->lines.end() ? std::nullopt : std::optional(found->second.location);
}

std::optional<host_id> directory_host_for(std::uint64_t key, const std::vector<host_id>& hosts) {
  std::optional<host_id> best;
  std::uint64_t best_weight = 0;
  for (const host_id& host : hosts) {
    const std::uint64_t weight = rendezvous_weight(host.get(), key);
    if (!best || weight > best_weight) {
      best = host;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace hawthornlane
