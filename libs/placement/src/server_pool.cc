// Chooses a backend server of one service for each call, and queues calls that have to wait.
#include "hawthornlane/placement/server_pool.h"

#include <algorithm>
#include <cmath>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane {

server_pool::server_pool(pool_rules new_rules, const host_id& own_host, availability_zone own_zone)
    : rules(new_rules),
      zone(std::move(own_zone)),
      host_seed(rendezvous_weight(own_host.get(), 0)) {}

std::uint32_t server_pool::limit_of(const server_state& server) const {
  const double share = std::ceil(server.entry.slots * this->rules.slots_share);
  return std::max(this->rules.min_limit, static_cast<std::uint32_t>(share));
}

bool server_pool::may_take(const server_state& server, choice_scope scope, timestamp now) const {
  if (!server.listed || server.health.excluded(now)) {
    return false;
  }
  const bool healthy =
      scope == choice_scope::any || !server.health.degraded(this->rules.health, now);
  return healthy && server.in_flight < this->limit_of(server);
}

server_pool::queue_key server_pool::key_of(const placement_request& request, timestamp now) {
  // Sessions in progress come before new ones, and calls past their soft deadline come after calls
  // that can still meet it.
  const bool is_begun = request.begun || request.version;
  return {request.priority, !is_begun, request.wanted_by <= now, request.wanted_by, request.id};
}

server_pool::server_state* server_pool::choose(const placement_request& request, timestamp now) {
  // A call that a server has refused or failed is exempt, so that its retry is not delayed; so is
  // one that takes up a stream, whose earlier part would be lost.
  const bool is_exempt = !request.tried.empty() || request.version;
  if (this->window && this->calls_in_flight >= *this->window && !is_exempt) {
    return nullptr;
  }
  if (this->calls_at_listed_servers >= this->places) {
    return nullptr;
  }
  const server_list candidates = this->candidates_for(request, now);
  server_state* healthy = this->choose_among(request, candidates, choice_scope::healthy, now);
  return healthy != nullptr ? healthy
                            : this->choose_among(request, candidates, choice_scope::any, now);
}

void server_pool::place(const placement_request& request, server_state& server, timestamp now,
                        std::vector<placement>& placed) {
  placement chosen{request.id, server.entry, std::nullopt};
  running_call call{server.entry.id, server.state_version, request.kind, !request.prompt.empty(),
                    now};
  this->record_load(call, server, request, now);
  if (call.is_reported) {
    chosen.basis = this->basis_of(server, request, now);
    this->record_prompt(request, server);
  } else {
    this->mark_reported(call, server);
  }
  ++server.in_flight;
  server.shared += call.is_reported ? 1 : 0;
  ++this->calls_in_flight;
  ++this->calls_at_listed_servers;
  this->running[request.id] = call;
  placed.push_back(std::move(chosen));
}

std::vector<placement> server_pool::fill(timestamp now) {
  std::vector<placement> placed;
  for (auto item = this->queue.begin(); item != this->queue.end();) {
    server_state* server = this->choose(item->second, now);
    if (server == nullptr) {
      // Calls with fewer servers to choose from do not hold up the others.
      if (item->second.tried.empty() && !item->second.version) {
        break;
      }
      ++item;
      continue;
    }
    this->place(item->second, *server, now, placed);
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
    const auto [found, is_new] = this->servers.try_emplace(entry.id);
    server_state& server = found->second;
    if (!is_new && server.entry.start != entry.start) {
      this->reset_server(server);
    }
    if (server.state_version == server_state_version()) {
      this->last_state_version = server_state_version(this->last_state_version.get() + 1);
      server.state_version = this->last_state_version;
    }
    server.key = server_key_of(entry.id, entry.start);
    server.entry = entry;
    server.listed = true;
  }
  for (const auto& [id, server] : this->servers) {
    if (!server.listed) {
      this->caches.drop_server(id);
    }
  }
  std::erase_if(this->servers,
                [](const auto& item) { return !item.second.listed && item.second.in_flight == 0; });
  this->index_servers();
  return this->fill(now);
}

void server_pool::index_servers() {
  this->listed_servers.clear();
  this->versions.clear();
  this->by_key.clear();
  this->total_remote_calls = 0;
  this->places = 0;
  this->calls_at_listed_servers = 0;
  for (auto& [id, server] : this->servers) {
    this->by_key[server.key] = &server;
    this->total_remote_calls += server.remote_calls;
    if (!server.listed) {
      continue;
    }
    ++this->versions[server.entry.version];
    this->places += this->limit_of(server);
    this->calls_at_listed_servers += server.in_flight;
    listed_server item;
    item.server = &server;
    item.name_hash = rendezvous_weight(id.get(), 0);
    item.same_zone = server.entry.zone == this->zone;
    // Servers in this zone come first. The order within a zone differs from host to host, so that
    // each host reuses its open connections and hosts spread over the servers.
    const std::uint64_t other_zone = item.same_zone ? 0 : 1;
    item.rank = other_zone << 32U | (rendezvous_weight(id.get(), this->host_seed) & 0xffffffffU);
    this->listed_servers.push_back(item);
  }
  this->drop_unknown_speeds();
}

void server_pool::drop_unknown_speeds() {
  std::erase_if(this->unreported_speeds,
                [this](server_key key) { return !this->by_key.contains(key); });
}

void server_pool::remove_server(const backend_server_id& id) {
  const auto found = this->servers.find(id);
  this->by_key.erase(found->second.key);
  this->total_remote_calls -= found->second.remote_calls;
  this->servers.erase(found);
}

void server_pool::reset_server(server_state& server) {
  if (server.in_flight > 0) {
    // Other hosts still count these calls; the next update corrects their counts.
    this->unreported_loads.insert(server.key);
  }
  this->caches.drop_server(server.entry.id);
  this->calls_in_flight -= server.in_flight;
  server = {};
}

server_pool::server_state* server_pool::server_of(const running_call& call) {
  const auto found = this->servers.find(call.server);
  const bool same_process =
      found != this->servers.end() && found->second.state_version == call.state_version;
  return same_process ? &found->second : nullptr;
}

submit_outcome server_pool::submit(const placement_request& request, timestamp now,
                                   std::vector<placement>& placed) {
  if (server_state* server = this->choose(request, now)) {
    this->place(request, *server, now, placed);
    return submit_outcome::placed;
  }
  const double limit = this->rules.queue_factor * static_cast<double>(this->places);
  const bool no_room = static_cast<double>(this->queue.size()) >= limit;
  if (this->is_hopeless(request) || no_room || request.give_up_at <= now) {
    return submit_outcome::refused;
  }
  const queue_key key = key_of(request, now);
  this->queue.emplace(key, request);
  this->queued.emplace(request.id, key);
  return submit_outcome::queued;
}

bool server_pool::suits(const server_state& server, const placement_request& request) {
  const bool is_of_version = !request.version || server.entry.version == *request.version;
  return is_of_version && !request.tried.contains(server.entry.id);
}

bool server_pool::is_hopeless(const placement_request& request) const {
  const auto& listed = this->listed_servers;
  return std::none_of(listed.begin(), listed.end(), [&request](const listed_server& item) {
    return suits(*item.server, request);
  });
}

void server_pool::record_elapsed(const running_call& call, bool lower_bound, timestamp now) {
  const duration took = std::chrono::duration_cast<duration>(now - call.sent_at);
  const time_sample sample = this->baselines.compare(call.kind, took, lower_bound);
  server_state* server = this->server_of(call);
  if (server == nullptr) {
    return;
  }
  if (lower_bound) {
    server->health.record_pending_time(sample, this->rules.health, now);
  } else {
    server->health.record_time(sample, this->rules.health, now);
  }
}

void server_pool::started(placement_id id, timestamp now) {
  const auto found = this->running.find(id);
  if (found == this->running.end() || found->second.first_event_timed) {
    return;
  }
  found->second.first_event_timed = true;
  this->record_elapsed(found->second, false, now);
  this->record_speed(found->second, timed_part::first_event, now);
}

void server_pool::record_pending_calls(timestamp now) {
  for (auto& [id, call] : this->running) {
    if (!call.first_event_timed) {
      this->record_elapsed(call, true, now);
    }
  }
}

std::vector<placement> server_pool::set_in_flight_limit(std::optional<std::uint32_t> limit,
                                                        timestamp now) {
  this->window = limit;
  return this->fill(now);
}

std::vector<placement> server_pool::finished(placement_id id, server_outcome outcome,
                                             timestamp now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return {};
  }
  const running_call call = found->second;
  this->running.erase(found);
  const bool answered =
      outcome == server_outcome::answered || outcome == server_outcome::error_answer;
  const bool never_ran =
      outcome == server_outcome::refused || outcome == server_outcome::unreachable;
  if (!call.first_event_timed && !never_ran) {
    this->record_elapsed(call, !answered, now);
  }
  if (outcome == server_outcome::answered) {
    this->record_speed(call, timed_part::whole, now);
  }
  server_state* server = this->server_of(call);
  if (server == nullptr) {
    return this->fill(now);
  }
  if (call.has_batched_end) {
    this->batch_end(*server, now);
  } else if (call.is_reported) {
    this->unreported_loads.insert(server->key);
  }
  server->shared -= call.is_reported ? 1 : 0;
  --server->in_flight;
  --this->calls_in_flight;
  this->calls_at_listed_servers -= server->listed ? 1 : 0;
  server->health.record_outcome(outcome, this->rules.health, now);
  if (!server->listed && server->in_flight == 0) {
    this->remove_server(call.server);
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
    const placement_request& request = item->second;
    const bool is_lost = request.version && this->is_hopeless(request);
    if (request.give_up_at > now && !is_lost) {
      ++item;
      continue;
    }
    expired.push_back(item->second.id);
    this->queued.erase(item->second.id);
    item = this->queue.erase(item);
  }
  return expired;
}

std::vector<placement> server_pool::tick(timestamp now) {
  this->record_pending_calls(now);
  this->update_slow_factors(now);
  return this->fill(now);
}

bool server_pool::is_unhealthy(const server_state& server, timestamp now) const {
  return server.health.excluded(now) || server.health.degraded(this->rules.health, now);
}

std::set<backend_server_id> server_pool::excluded(timestamp now) const {
  std::set<backend_server_id> ids;
  for (const auto& [id, server] : this->servers) {
    if (server.listed && server.health.excluded(now)) {
      ids.insert(id);
    }
  }
  return ids;
}

std::set<backend_server_id> server_pool::unhealthy(timestamp now) const {
  std::set<backend_server_id> ids;
  for (const auto& [id, server] : this->servers) {
    if (server.listed && this->is_unhealthy(server, now)) {
      ids.insert(id);
    }
  }
  return ids;
}

double server_pool::healthy_places(timestamp now) const {
  double places = 0;
  for (const auto& [id, server] : this->servers) {
    places += server.listed && !this->is_unhealthy(server, now) ? server.entry.slots : 0;
  }
  return places;
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
