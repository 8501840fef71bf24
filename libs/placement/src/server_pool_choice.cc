// The choice of a server within a pool, and the exchange of loads and locations between hosts.
#include <algorithm>
#include <cmath>
#include <functional>

#include "hawthornlane/placement/rendezvous.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane {
namespace {

/// Bit that puts the weight of a server in this zone above the weights of all other servers.
constexpr std::uint64_t same_zone_bit = std::uint64_t{1} << 63U;

/// The reported load of a server decays by a factor of e in this time towards the mean of all
/// servers. A turn takes about as long, so the reported calls have ended after it.
constexpr double load_decay_seconds = 0.3;
/// A load that was received less than this long ago is not requested again: more frequent requests
/// only return the same calls.
constexpr duration fresh_load = std::chrono::milliseconds(20);

}  // namespace

server_pool::server_state* server_pool::choose_among(const placement_request& request,
                                                     const server_list& candidates,
                                                     choice_scope scope, timestamp now) {
  server_state* server = this->choose_for_prompt(request, candidates, scope, now);
  return server != nullptr ? server : this->choose_least_busy(request, scope, now);
}

double server_pool::cost_at(const server_state& server, const placement_request& request,
                            timestamp now) const {
  return placement_cost(this->estimate_server(server, request, now), this->rules.choice);
}

server_pool::server_state* server_pool::choose_for_prompt(const placement_request& request,
                                                          const server_list& candidates,
                                                          choice_scope scope, timestamp now) {
  const server_state* best = nullptr;
  double best_cost = 0;
  for (const server_state* server : candidates) {
    if (!this->may_take(*server, scope, now)) {
      continue;
    }
    const double cost = this->cost_at(*server, request, now);
    if (best == nullptr || cost < best_cost) {
      best = server;
      best_cost = cost;
    }
  }
  return best == nullptr ? nullptr : &this->servers.at(best->entry.id);
}

double server_pool::reserved_slots(const server_state& server,
                                   const placement_request& request) const {
  if (request.version || this->versions.size() < 2) {
    return 0;
  }
  const auto of_version = this->versions.find(server.entry.version);
  const bool is_last =
      of_version != this->versions.end() && of_version->second <= this->rules.last_servers;
  return is_last ? this->rules.resumption_share * server.entry.slots : 0;
}

server_estimate server_pool::estimate_server(const server_state& server,
                                             const placement_request& request,
                                             timestamp now) const {
  server_estimate estimated;
  estimated.slots = server.entry.slots;
  estimated.calls = this->calls_at(server, now) + this->reserved_slots(server, request);
  const token_count uncached = this->caches.uncached(request.prompt, server.entry.id);
  estimated.missing_tokens = static_cast<double>(uncached.get());
  estimated.same_zone = server.entry.zone == this->zone;
  if (this->rules.learns_speed) {
    // Uses the lasting slowdown only: if a session left a server because of a temporary slowdown,
    // its prompt would be read again elsewhere.
    estimated.slowdown = std::exp(server.speed.lasting(this->rules.speed, now));
  }
  return estimated;
}

server_pool::server_state* server_pool::choose_least_busy(const placement_request& request,
                                                          choice_scope scope, timestamp now) {
  if (this->rules.learns_speed) {
    return this->choose_by_speed(request, scope, now);
  }
  server_state* least = nullptr;
  server_state* preferred = nullptr;
  std::uint64_t preferred_weight = 0;
  std::uint64_t least_rank = 0;
  for (const auto& [server, name_hash, rank, same_zone] : this->listed_servers) {
    if (!this->may_take(*server, scope, now) || !suits(*server, request)) {
      continue;
    }
    // The server of an affinity key is in this zone if the zone has any server. Callers stay in
    // their zone, so all front hosts that they use choose the same server, and prompts, which are
    // most of the traffic, don't cross zones.
    std::uint64_t weight = 0;
    if (request.affinity != 0) {
      weight = rendezvous_weight(server->entry.id.get(), request.affinity) >> 1U;
      weight |= same_zone ? same_zone_bit : 0;
    }
    if (request.affinity != 0 && (preferred == nullptr || weight > preferred_weight)) {
      preferred = server;
      preferred_weight = weight;
    }
    const bool better = least == nullptr || server->in_flight < least->in_flight ||
                        (server->in_flight == least->in_flight && rank < least_rank);
    if (better) {
      least = server;
      least_rank = rank;
    }
  }
  if (preferred != nullptr &&
      preferred->in_flight <= least->in_flight + this->rules.affinity_slack) {
    return preferred;
  }
  return least;
}

bool server_pool::holds_line(const server_state& server, const placement_request& request) const {
  // The first part is not enough: so many programs share it that nearly all servers have cached it.
  return request.prompt.size() > 1 &&
         this->caches.cached(request.prompt, server.entry.id) > request.prompt.front().tokens;
}

bool server_pool::is_candidate(const server_state& server, const placement_request& request,
                               timestamp now) const {
  return server.listed && !server.health.excluded(now) && suits(server, request);
}

void server_pool::add_holders(const placement_request& request, timestamp now,
                              std::vector<weighted_server>& chosen) const {
  for (const backend_server_id& id : this->caches.servers_with_session(request.prompt)) {
    const auto found = this->servers.find(id);
    if (found == this->servers.end() || !this->is_candidate(found->second, request, now)) {
      continue;
    }
    const std::uint64_t name_hash = rendezvous_weight(id.get(), 0);
    chosen.emplace_back(rendezvous_weight(name_hash, request.affinity), &found->second);
  }
}

server_pool::server_list server_pool::candidates_for(const placement_request& request,
                                                     timestamp now) const {
  if (request.prompt.empty()) {
    return {};
  }
  std::vector<weighted_server> of_all;
  std::vector<weighted_server> of_zone;
  const auto is_high = [](const std::vector<weighted_server>& highest, std::size_t most,
                          const weighted_server& item) {
    return highest.size() < most || item > highest.back();
  };
  const auto insert_highest = [](std::vector<weighted_server>& highest, std::size_t most,
                                 const weighted_server& item) {
    highest.insert(std::upper_bound(highest.begin(), highest.end(), item, std::greater<>()), item);
    highest.resize(std::min(highest.size(), most));
  };
  const choice_rules& choice = this->rules.choice;
  for (const auto& [server, name_hash, rank, same_zone] : this->listed_servers) {
    const weighted_server item{rendezvous_weight(name_hash, request.affinity), server};
    const bool as_any = is_high(of_all, choice.choices, item);
    const bool as_same_zone = same_zone && is_high(of_zone, choice.zone_choices, item);
    if ((!as_any && !as_same_zone) || !this->is_candidate(*server, request, now)) {
      continue;
    }
    if (as_any) {
      insert_highest(of_all, choice.choices, item);
    }
    if (as_same_zone) {
      insert_highest(of_zone, choice.zone_choices, item);
    }
  }
  std::vector<weighted_server> chosen = std::move(of_all);
  chosen.insert(chosen.end(), of_zone.begin(), of_zone.end());
  this->add_holders(request, now, chosen);
  std::sort(chosen.begin(), chosen.end(), std::greater<>());
  chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
  server_list servers;
  for (const auto& [weight, server] : chosen) {
    servers.push_back(server);
  }
  return servers;
}

double server_pool::calls_at(const server_state& server, timestamp now) const {
  const double count = static_cast<double>(this->servers.size());
  double mean = this->servers.empty() ? 0 : this->total_remote_calls / count;
  if (this->rules.learns_speed) {
    // A slow server gets less work, so fewer calls are expected there when its count is unknown.
    mean *= this->relative_speed(server);
  }
  const double age = to_seconds(std::chrono::duration_cast<duration>(now - server.remote_calls_at));
  const double weight = std::exp(-age / load_decay_seconds);
  return server.in_flight + weight * server.remote_calls + (1 - weight) * mean;
}

placement_basis server_pool::basis_of(const server_state& server, const placement_request& request,
                                      timestamp now) const {
  placement_basis basis;
  basis.calls = this->calls_at(server, now);
  basis.load_age = std::chrono::duration_cast<duration>(now - server.remote_calls_at);
  basis.missing_tokens = this->caches.uncached(request.prompt, server.entry.id);
  basis.holds_line = this->holds_line(server, request);
  return basis;
}

void server_pool::record_prompt(const placement_request& request, const server_state& server) {
  if (request.prompt.size() > 1) {
    // Only the last part is reported, which belongs to this session alone. A sub-agent's session
    // does not report the location of its parent's session.
    const prompt_piece& line = request.prompt.back();
    this->unreported_locations.push_back({line.key, server.key, line.tokens});
  }
  this->caches.add_prompt(request.prompt, server.entry.id);
  this->unreported_loads.insert(server.key);
}

directory_request server_pool::directory_request_for(const placement_request& request,
                                                     timestamp now) const {
  directory_request lookup;
  if (request.prompt.empty()) {
    return this->promptless_directory_request(request, now);
  }
  for (const server_state* server : this->candidates_for(request, now)) {
    if (now - server->remote_calls_at > fresh_load) {
      lookup.servers.push_back(server->key);
    }
  }
  for (std::size_t number = 1; number < request.prompt.size(); ++number) {
    lookup.parts.push_back(request.prompt[number].key);
  }
  return lookup;
}

server_pool::server_state* server_pool::find_server(server_key key) {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : found->second;
}

void server_pool::set_remote_load(const server_load& load, timestamp now) {
  if (server_state* server = this->find_server(load.server)) {
    this->total_remote_calls += load.calls - server->remote_calls;
    server->remote_calls = load.calls;
    server->remote_calls_at = now;
  }
}

void server_pool::add_prompt_location(const part_location& location) {
  if (const server_state* server = this->find_server(location.server)) {
    this->caches.add_part({location.part, location.tokens}, server->entry.id);
  }
}

directory_update server_pool::take_update() {
  directory_update update;
  if (!this->unreported_loads.empty() || !this->unreported_locations.empty()) {
    this->unreported_loads.merge(this->batched_ends);
    this->batched_ends.clear();
  }
  for (const server_key key : this->unreported_loads) {
    const server_state* server = this->find_server(key);
    update.loads.push_back({key, server == nullptr ? 0 : this->reported_calls(*server)});
  }
  this->unreported_loads.clear();
  update.locations = std::move(this->unreported_locations);
  this->unreported_locations.clear();
  return update;
}

std::vector<server_load> server_pool::own_loads() const {
  std::vector<server_load> loads;
  for (const auto& [id, server] : this->servers) {
    if (this->reported_calls(server) > 0) {
      loads.push_back({server.key, this->reported_calls(server)});
    }
  }
  return loads;
}

}  // namespace hawthornlane
