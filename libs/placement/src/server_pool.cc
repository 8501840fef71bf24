// Which backend server of one service takes a call, and which call goes next.
#include "hawthornlane/placement/server_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace hawthornlane {
namespace {

/// Rendezvous weight: hosts agree on a key's server without talking.
std::uint64_t weight_of(const backend_server_id& server, std::uint64_t key) {
  return XXH64(server.get().data(), server.get().size(), key);
}

/// Set in the weight of a server of this zone, above all others.
constexpr std::uint64_t near_bit = std::uint64_t{1} << 63U;

}  // namespace

server_pool::server_pool(pool_rules with, const host_id& own, availability_zone here)
    : rules(with), zone(std::move(here)), own_key(XXH64(own.get().data(), own.get().size(), 0)) {}

std::uint32_t server_pool::limit_of(const server_state& server) const {
  const double share = std::ceil(server.entry.slots * this->rules.slots_share);
  return std::max(this->rules.least_limit, static_cast<std::uint32_t>(share));
}

bool server_pool::may_take(const server_state& server, timestamp now) const {
  return server.listed && server.excluded_until <= now;
}

std::size_t server_pool::places() const {
  std::size_t sum = 0;
  for (const auto& [id, server] : this->servers) {
    sum += server.listed ? this->limit_of(server) : 0;
  }
  return sum;
}

server_pool::queue_key server_pool::key_of(const placement_request& request) {
  return {request.priority, request.wanted_by, request.id};
}

server_pool::server_state* server_pool::choose(const placement_request& request, timestamp now) {
  server_state* least = nullptr;
  server_state* preferred = nullptr;
  std::uint64_t preferred_weight = 0;
  std::uint64_t least_rank = 0;
  for (auto& [id, server] : this->servers) {
    const bool free = server.inside < this->limit_of(server);
    if (!this->may_take(server, now) || !free || request.tried.contains(id)) {
      continue;
    }
    const bool near = server.entry.zone == this->zone;
    // An object's server is one of this zone where it has any: callers stay in their
    // zone, so its front hosts agree, and prompts are the most of all bytes.
    const std::uint64_t weight =
        request.affinity == 0 ? 0 : weight_of(id, request.affinity) >> 1U | (near ? near_bit : 0);
    if (request.affinity != 0 && (preferred == nullptr || weight > preferred_weight)) {
      preferred = &server;
      preferred_weight = weight;
    }
    // Among equally busy servers: those in this zone first, then in an order of this
    // host's own, so that it uses its kept connections and others use others.
    const std::uint64_t far = near ? 0 : 1;
    const std::uint64_t rank = far << 32U | (weight_of(id, this->own_key) & 0xffffffffU);
    const bool better = least == nullptr || server.inside < least->inside ||
                        (server.inside == least->inside && rank < least_rank);
    if (better) {
      least = &server;
      least_rank = rank;
    }
  }
  if (preferred != nullptr && preferred->inside <= least->inside + this->rules.affinity_slack) {
    return preferred;
  }
  return least;
}

void server_pool::place(const placement_request& request, server_state& server,
                        std::vector<placement>& placed) {
  ++server.inside;
  this->running[request.id] = server.entry.id;
  placed.push_back({request.id, server.entry});
}

std::vector<placement> server_pool::fill(timestamp now) {
  std::vector<placement> placed;
  for (auto item = this->queue.begin(); item != this->queue.end();) {
    server_state* server = this->choose(item->second, now);
    if (server == nullptr) {
      if (item->second.tried.empty()) {
        break;
      }
      ++item;
      continue;
    }
    this->place(item->second, *server, placed);
    this->queued.erase(item->second.id);
    item = this->queue.erase(item);
  }
  return placed;
}

std::vector<placement> server_pool::set_servers(const std::vector<backend_entry>& entries,
                                                timestamp now) {
  for (auto& [id, server] : this->servers) {
    server.listed = false;
  }
  for (const backend_entry& entry : entries) {
    server_state& server = this->servers[entry.id];
    server.entry = entry;
    server.listed = true;
  }
  std::erase_if(this->servers,
                [](const auto& item) { return !item.second.listed && item.second.inside == 0; });
  return this->fill(now);
}

submit_outcome server_pool::submit(const placement_request& request, timestamp now,
                                   std::vector<placement>& placed) {
  if (server_state* server = this->choose(request, now)) {
    this->place(request, *server, placed);
    return submit_outcome::placed;
  }
  const bool untried = std::any_of(this->servers.begin(), this->servers.end(), [&](auto& item) {
    return item.second.listed && !request.tried.contains(item.first);
  });
  const double most = this->rules.queue_factor * static_cast<double>(this->places());
  const bool no_room = static_cast<double>(this->queue.size()) >= most;
  if (!untried || no_room || request.give_up_at <= now) {
    return submit_outcome::refused;
  }
  const queue_key key = key_of(request);
  this->queue.emplace(key, request);
  this->queued.emplace(request.id, key);
  return submit_outcome::queued;
}

void server_pool::note(server_state& server, server_outcome outcome, timestamp now) {
  if (outcome == server_outcome::answered || outcome == server_outcome::caller_left) {
    server.failures = outcome == server_outcome::answered ? 0 : server.failures;
    return;
  }
  ++server.failures;
  const bool at_once = outcome == server_outcome::unreachable;
  if (!at_once && server.failures < this->rules.failures_to_exclude) {
    return;
  }
  constexpr std::uint32_t most_doublings = 6;
  const std::uint32_t doublings = std::min(server.failures - 1, most_doublings);
  const duration pause = this->rules.first_exclusion * (1U << doublings);
  server.excluded_until = now + std::min(pause, this->rules.longest_exclusion);
}

std::vector<placement> server_pool::finished(placement_id id, server_outcome outcome,
                                             timestamp now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return {};
  }
  const auto server = this->servers.find(found->second);
  this->running.erase(found);
  --server->second.inside;
  this->note(server->second, outcome, now);
  if (!server->second.listed && server->second.inside == 0) {
    this->servers.erase(server);
  }
  return this->fill(now);
}

void server_pool::cancel(placement_id id) {
  const auto found = this->queued.find(id);
  if (found == this->queued.end()) {
    return;
  }
  this->queue.erase(found->second);
  this->queued.erase(found);
}

std::vector<placement_id> server_pool::expire(timestamp now) {
  std::vector<placement_id> expired;
  for (auto item = this->queue.begin(); item != this->queue.end();) {
    if (item->second.give_up_at > now) {
      ++item;
      continue;
    }
    expired.push_back(item->second.id);
    this->queued.erase(item->second.id);
    item = this->queue.erase(item);
  }
  return expired;
}

std::vector<placement> server_pool::tick(timestamp now) { return this->fill(now); }

std::vector<backend_server_id> server_pool::excluded(timestamp now) const {
  std::vector<backend_server_id> ids;
  for (const auto& [id, server] : this->servers) {
    if (server.listed && server.excluded_until > now) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<backend_server_id> server_pool::listed() const {
  std::vector<backend_server_id> ids;
  for (const auto& [id, server] : this->servers) {
    if (server.listed) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace hawthornlane
