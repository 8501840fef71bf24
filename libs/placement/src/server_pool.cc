// Which backend server of one service takes a call, and which call goes next.
#include "hawthornlane/placement/server_pool.h"

#include <algorithm>
#include <cmath>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane {

server_pool::server_pool(pool_rules with, const host_id& own, availability_zone here)
    : rules(with), zone(std::move(here)), own_key(rendezvous_weight(own.get(), 0)) {}

std::uint32_t server_pool::limit_of(const server_state& server) const {
  const double share = std::ceil(server.entry.slots * this->rules.slots_share);
  return std::max(this->rules.least_limit, static_cast<std::uint32_t>(share));
}

bool server_pool::may_take(const server_state& server, choice_range range, timestamp now) const {
  if (!server.listed || server.health.excluded(now)) {
    return false;
  }
  const bool trusted =
      range == choice_range::any || !server.health.doubted(this->rules.health, now);
  return trusted && server.inside < this->limit_of(server);
}

server_pool::queue_key server_pool::key_of(const placement_request& request, timestamp now) {
  // Programs that have begun go on before others begin, and what is late already goes
  // behind what can still be in time.
  return {request.priority, !request.begun, request.wanted_by <= now, request.wanted_by,
          request.id};
}

server_pool::server_state* server_pool::choose(const placement_request& request, timestamp now) {
  // A call that a server has refused must find another one soon.
  if (this->window && this->calls_inside >= *this->window && request.tried.empty()) {
    return nullptr;
  }
  if (this->calls_at_listed >= this->places) {
    return nullptr;
  }
  const server_list candidates = this->candidates_for(request, now);
  server_state* trusted = this->choose_among(request, candidates, choice_range::trusted, now);
  return trusted != nullptr ? trusted
                            : this->choose_among(request, candidates, choice_range::any, now);
}

void server_pool::place(const placement_request& request, server_state& server, timestamp now,
                        std::vector<placement>& placed) {
  placement chosen{request.id, server.entry, std::nullopt};
  running_call call{server.entry.id, server.life, request.kind, !request.prompt.empty(), now};
  this->note_load_met(call, server, request, now);
  if (call.is_shared) {
    chosen.basis = this->basis_of(server, request, now);
    this->note_prompt(request, server);
  } else {
    this->note_plain_call(call, server);
  }
  ++server.inside;
  server.shared += call.is_shared ? 1 : 0;
  ++this->calls_inside;
  ++this->calls_at_listed;
  this->running[request.id] = call;
  placed.push_back(std::move(chosen));
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
      this->forget_incarnation(server);
    }
    if (server.life == server_life()) {
      this->last_life = server_life(this->last_life.get() + 1);
      server.life = this->last_life;
    }
    server.key = server_key_of(entry.id, entry.start);
    server.entry = entry;
    server.listed = true;
  }
  for (const auto& [id, server] : this->servers) {
    if (!server.listed) {
      this->caches.forget(id);
    }
  }
  std::erase_if(this->servers,
                [](const auto& item) { return !item.second.listed && item.second.inside == 0; });
  this->index_servers();
  return this->fill(now);
}

void server_pool::index_servers() {
  this->listed_servers.clear();
  this->by_key.clear();
  this->calls_of_others = 0;
  this->places = 0;
  this->calls_at_listed = 0;
  for (auto& [id, server] : this->servers) {
    this->by_key[server.key] = &server;
    this->calls_of_others += server.others;
    if (!server.listed) {
      continue;
    }
    this->places += this->limit_of(server);
    this->calls_at_listed += server.inside;
    listed_server item;
    item.server = &server;
    item.name_hash = rendezvous_weight(id.get(), 0);
    item.near = server.entry.zone == this->zone;
    // Those in this zone first, then in an order of this host's own, so that it uses its kept
    // connections and others use others.
    const std::uint64_t far = item.near ? 0 : 1;
    item.rank = far << 32U | (rendezvous_weight(id.get(), this->own_key) & 0xffffffffU);
    this->listed_servers.push_back(item);
  }
  this->drop_old_news();
}

void server_pool::drop_old_news() {
  std::erase_if(this->speed_news, [this](server_key key) { return !this->by_key.contains(key); });
}

void server_pool::remove_server(const backend_server_id& id) {
  const auto found = this->servers.find(id);
  this->by_key.erase(found->second.key);
  this->calls_of_others -= found->second.others;
  this->servers.erase(found);
}

void server_pool::forget_incarnation(server_state& server) {
  if (server.inside > 0) {
    // Other hosts still count these calls.
    this->changed.insert(server.key);
  }
  this->caches.forget(server.entry.id);
  this->calls_inside -= server.inside;
  server = {};
}

server_pool::server_state* server_pool::server_of(const running_call& call) {
  const auto found = this->servers.find(call.server);
  const bool same_process = found != this->servers.end() && found->second.life == call.life;
  return same_process ? &found->second : nullptr;
}

submit_outcome server_pool::submit(const placement_request& request, timestamp now,
                                   std::vector<placement>& placed) {
  if (server_state* server = this->choose(request, now)) {
    this->place(request, *server, now, placed);
    return submit_outcome::placed;
  }
  const auto& listed = this->listed_servers;
  const bool untried = std::any_of(listed.begin(), listed.end(), [&](const listed_server& item) {
    return !request.tried.contains(item.server->entry.id);
  });
  const double most = this->rules.queue_factor * static_cast<double>(this->places);
  const bool no_room = static_cast<double>(this->queue.size()) >= most;
  if (!untried || no_room || request.give_up_at <= now) {
    return submit_outcome::refused;
  }
  const queue_key key = key_of(request, now);
  this->queue.emplace(key, request);
  this->queued.emplace(request.id, key);
  return submit_outcome::queued;
}

void server_pool::note_time(const running_call& call, bool lower_bound, timestamp now) {
  const duration took = std::chrono::duration_cast<duration>(now - call.since);
  const pace_sample sample = this->usual.compare(call.kind, took, lower_bound);
  server_state* server = this->server_of(call);
  if (server == nullptr) {
    return;
  }
  if (lower_bound) {
    server->health.hold_pace(sample, this->rules.health, now);
  } else {
    server->health.note_pace(sample, this->rules.health, now);
  }
}

void server_pool::started(placement_id id, timestamp now) {
  const auto found = this->running.find(id);
  if (found == this->running.end() || found->second.timed) {
    return;
  }
  found->second.timed = true;
  this->note_time(found->second, false, now);
  this->note_speed_of(found->second, timed_part::first_event, now);
}

void server_pool::note_late_calls(timestamp now) {
  for (auto& [id, call] : this->running) {
    if (!call.timed) {
      this->note_time(call, true, now);
    }
  }
}

std::vector<placement> server_pool::set_in_flight_limit(std::optional<std::uint32_t> most,
                                                        timestamp now) {
  this->window = most;
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
  if (!call.timed && !never_ran) {
    this->note_time(call, !answered, now);
  }
  if (outcome == server_outcome::answered) {
    this->note_speed_of(call, timed_part::whole, now);
  }
  server_state* server = this->server_of(call);
  if (server == nullptr) {
    return this->fill(now);
  }
  if (call.ends_later) {
    this->note_end(*server, now);
  } else if (call.is_shared) {
    this->changed.insert(server->key);
  }
  server->shared -= call.is_shared ? 1 : 0;
  --server->inside;
  --this->calls_inside;
  this->calls_at_listed -= server->listed ? 1 : 0;
  server->health.note(outcome, this->rules.health, now);
  if (!server->listed && server->inside == 0) {
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

std::vector<placement> server_pool::tick(timestamp now) {
  this->note_late_calls(now);
  this->renew_slow_factors(now);
  return this->fill(now);
}

bool server_pool::is_set_aside(const server_state& server, timestamp now) const {
  return server.health.excluded(now) || server.health.doubted(this->rules.health, now);
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
    if (server.listed && this->is_set_aside(server, now)) {
      ids.insert(id);
    }
  }
  return ids;
}

double server_pool::healthy_places(timestamp now) const {
  double places = 0;
  for (const auto& [id, server] : this->servers) {
    places += server.listed && !this->is_set_aside(server, now) ? server.entry.slots : 0;
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
