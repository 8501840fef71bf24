// Selects servers and fills their windows.
#include "hawthornlane/routing/scheduler.h"

#include <algorithm>
#include <utility>

namespace hawthornlane {
namespace {

constexpr std::int64_t failures_to_exclude = 3;
/// A call is moved to another server only if its predicted time at the new server is at most this
/// fraction of that at its present server.
constexpr double max_stolen_time_ratio = 0.8;

}  // namespace

scheduler::scheduler(window_limits window, scheduler_settings configured, policy_features enabled)
    : limits(window), settings(configured), features(enabled) {}

void scheduler::add_server(const backend_server_id& server, timestamp now) {
  const auto [at, added] =
      this->servers.emplace(server, server_state{server_window(this->limits),
                                                 {},
                                                 {},
                                                 prefix_cache_model(this->settings.cache_tokens),
                                                 {},
                                                 0,
                                                 {},
                                                 now,
                                                 0,
                                                 false,
                                                 0});
  if (!added) {
    // The server has come back: start with a smaller window.
    at->second.removed = false;
    at->second.window.on_failed();
  }
  this->reindex(server, at->second);
  for (const waiting_id id : std::exchange(this->unassigned, {})) {
    if (const auto request = this->requests.find(id); request != this->requests.end()) {
      this->place(request->second, server);
    }
  }
}

std::size_t scheduler::queued_calls(const server_state& server) {
  return server.queue.size() + server.uncached_queue.size();
}

bool scheduler::holds_prefix(const backend_server_id& id, const server_state& server,
                             const program_id& program) const {
  const auto prefix_server = this->prefix_servers.find(program);
  return prefix_server != this->prefix_servers.end() && prefix_server->second == id &&
         server.cache_model.holds(program);
}

void scheduler::reindex(const backend_server_id& id, server_state& server) {
  this->by_load.erase({server.load_key, id});
  const auto size = static_cast<double>(std::max<std::int64_t>(1, server.window.size()));
  server.load_key =
      (static_cast<double>(server.in_flight) + static_cast<double>(queued_calls(server))) / size;
  if (!server.removed) {
    this->by_load.emplace(server.load_key, id);
  }
}

void scheduler::set_credits(const backend_server_id& server, std::int64_t credits) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    found->second.credits = credits;
  }
}

bool scheduler::usable(const server_state& server, timestamp now) const {
  return !server.removed && now >= server.excluded_until;
}

std::int64_t scheduler::free_credits(const server_state& server) const {
  if (!this->features.window) {
    constexpr std::int64_t unbounded = 1'000'000;
    return unbounded;
  }
  return server.credits.value_or(server.window.size()) - server.in_flight;
}

double scheduler::predicted_service(const server_state& server, const schedule_request& request,
                                    bool holds) const {
  const token_count fresh = holds ? request.prompt - request.history : request.prompt;
  const std::int64_t batch = server.in_flight + 1;
  return server.speed.prefill_seconds(fresh) +
         static_cast<double>(request.expected_answer.get()) * server.speed.token_seconds(batch);
}

double scheduler::wait_at(const server_state& server) const {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, server.credits.value_or(server.window.size())));
  const double ahead = (server.queue.waiting_cost() + server.uncached_queue.waiting_cost()) / slots;
  return this->free_credits(server) > 0 ? 0 : ahead + 1.0 / slots;
}

double scheduler::predicted_completion(const server_state& server, const schedule_request& request,
                                       bool holds) const {
  return this->wait_at(server) + this->predicted_service(server, request, holds);
}

double scheduler::order_of(const schedule_request& request) const {
  if (!this->features.program_order) {
    return to_seconds(request.arrived.time_since_epoch());
  }
  // Constant over time: all calls age at the same rate, which does not change their order, so the
  // result can be a sort key.
  const double began = to_seconds(request.began.time_since_epoch());
  return request.attained + (this->features.ageing ? this->settings.ageing_rate * began : 0);
}

std::optional<backend_server_id> scheduler::choose(const schedule_request& request, timestamp now) {
  const auto prefix_server = this->prefix_servers.find(request.program);
  std::optional<backend_server_id> best;
  double best_time = 0;
  const auto consider = [&](const backend_server_id& id) {
    const server_state& server = this->servers.at(id);
    if (!this->usable(server, now)) {
      return;
    }
    const bool holds = this->holds_prefix(id, server, request.program);
    const double time = this->features.predicted_choice
                            ? this->predicted_completion(server, request, holds)
                            : (holds ? -1.0 : server.load_key);
    if (!best || time < best_time) {
      best = id;
      best_time = time;
    }
  };
  if (prefix_server != this->prefix_servers.end() &&
      this->servers.contains(prefix_server->second)) {
    consider(prefix_server->second);
  }
  std::size_t looked_at = 0;
  for (const auto& [load, id] : this->by_load) {
    if (looked_at == this->settings.candidates) {
      break;
    }
    // Excluded servers are few, so they do not count as candidates.
    if (this->usable(this->servers.at(id), now)) {
      ++looked_at;
      consider(id);
    }
  }
  return best;
}

void scheduler::place(const schedule_request& request, const backend_server_id& id) {
  server_state& server = this->servers.at(id);
  const bool holds = this->holds_prefix(id, server, request.program);
  waiting_call call;
  call.id = request.id;
  call.account = this->features.fair_accounts ? request.account : client_account();
  call.weight = request.weight;
  call.sort_key = this->order_of(request);
  call.cost = this->predicted_service(server, request, holds);
  (holds ? server.queue : server.uncached_queue).add(call);
  this->queued_at[request.id] = id;
  this->reindex(id, server);
}

std::vector<schedule_decision> scheduler::submit(const schedule_request& request, timestamp now) {
  std::vector<schedule_decision> out;
  this->requests[request.id] = request;
  const auto server = this->choose(request, now);
  if (!server) {
    // All servers are excluded: the call waits at one of them until its exclusion ends.
    for (auto& [id, state] : this->servers) {
      if (!state.removed) {
        this->place(request, id);
        return out;
      }
    }
    this->unassigned.push_back(request.id);
    return out;
  }
  this->place(request, *server);
  this->send_queued_calls(*server, now, out);
  return out;
}

void scheduler::send(const backend_server_id& id, server_state& server,
                     const schedule_request& request, timestamp now,
                     std::vector<schedule_decision>& out) {
  const bool holds = this->holds_prefix(id, server, request.program);
  ++server.in_flight;
  running_call call;
  call.request = request;
  call.server = id;
  call.sent = now;
  call.batch = server.in_flight;
  const token_count fresh = holds ? request.prompt - request.history : request.prompt;
  call.predicted_first =
      server.speed.prefill_seconds(fresh) + server.speed.token_seconds(server.in_flight);
  this->running.insert_or_assign(request.id, std::move(call));
  const auto before = this->prefix_servers.find(request.program);
  if (before != this->prefix_servers.end() && before->second != id) {
    this->servers.at(before->second).cache_model.erase(request.program);
  }
  this->prefix_servers[request.program] = id;
  server.cache_model.use(request.program, request.prompt + request.expected_answer, now);
  out.push_back({request.id, id});
}

void scheduler::leave_queue(waiting_id id) {
  this->requests.erase(id);
  this->queued_at.erase(id);
}

/// Calls whose prefix is cached at the server go first: they cost least, and their programs are
/// closer to their end. A new program waits while it would only evict prefixes that are needed
/// again soon, which would cost more than it gains.
std::optional<waiting_call> scheduler::take_next(server_state& server, timestamp now) {
  const waiting_call* uncached = server.uncached_queue.peek();
  const waiting_call* known = server.queue.peek();
  if (uncached == nullptr) {
    return server.queue.take();
  }
  const schedule_request& request = this->requests.at(uncached->id);
  const bool waited = now - request.arrived >= this->settings.max_prefix_wait;
  if (!this->features.working_set) {
    const bool first = known == nullptr || uncached->sort_key < known->sort_key;
    return first ? server.uncached_queue.take() : server.queue.take();
  }
  if (known != nullptr && !waited) {
    return server.queue.take();
  }
  const bool would_evict =
      server.cache_model.would_evict_recent(request.prompt, this->settings.protected_age, now);
  if (would_evict && !waited && server.in_flight > 0) {
    return std::nullopt;
  }
  return server.uncached_queue.take();
}

void scheduler::send_queued_calls(const backend_server_id& id, timestamp now,
                                  std::vector<schedule_decision>& out) {
  server_state& server = this->servers.at(id);
  while (this->usable(server, now) && this->free_credits(server) > 0) {
    if (const auto next = this->take_next(server, now)) {
      const schedule_request request = this->requests.at(next->id);
      this->leave_queue(next->id);
      this->send(id, server, request, now, out);
      continue;
    }
    if (!this->features.stealing || queued_calls(server) > 0 ||
        !this->steal_for(id, server, now, out)) {
      break;
    }
  }
  this->reindex(id, server);
}

/// Moves a call from the queue of the busiest server to this one if its predicted time here,
/// including a prefill of its whole prompt, is at most `max_stolen_time_ratio` of that at its
/// present server.
bool scheduler::steal_for(const backend_server_id& id, server_state& server, timestamp now,
                          std::vector<schedule_decision>& out) {
  if (this->by_load.empty()) {
    return false;
  }
  const backend_server_id victim = this->by_load.rbegin()->second;
  server_state& from = this->servers.at(victim);
  const bool no_uncached = from.uncached_queue.size() == 0;
  fair_queue& source = no_uncached ? from.queue : from.uncached_queue;
  const waiting_call* next = victim == id ? nullptr : source.peek();
  if (next == nullptr) {
    return false;
  }
  const schedule_request request = this->requests.at(next->id);
  const bool holds = this->holds_prefix(victim, from, request.program);
  const double time_there = this->predicted_completion(from, request, holds);
  const double time_here = this->predicted_service(server, request, false);
  if (time_here > max_stolen_time_ratio * time_there) {
    return false;
  }
  source.take();
  this->leave_queue(request.id);
  this->reindex(victim, from);
  this->send(id, server, request, now, out);
  return true;
}

std::vector<schedule_decision> scheduler::cancel(waiting_id id, timestamp now) {
  std::vector<schedule_decision> out;
  if (const auto queue = this->queued_at.find(id); queue != this->queued_at.end()) {
    const backend_server_id at = queue->second;
    server_state& server = this->servers.at(at);
    if (!server.queue.remove(id)) {
      server.uncached_queue.remove(id);
    }
    this->leave_queue(id);
    this->reindex(at, server);
    return out;
  }
  this->requests.erase(id);
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return out;
  }
  const backend_server_id at = found->second.server;
  this->running.erase(found);
  --this->servers.at(at).in_flight;
  this->send_queued_calls(at, now, out);
  return out;
}

void scheduler::first_token(waiting_id id) {
  const auto found = this->running.find(id);
  if (found != this->running.end()) {
    found->second.has_first_token = true;
  }
}

void scheduler::record_failure(server_state& server, timestamp now) {
  server.window.on_failed();
  ++server.failures;
  if (this->features.exclude_failing && server.failures >= failures_to_exclude) {
    server.excluded_until = now + this->settings.exclusion;
    server.failures = failures_to_exclude - 1;
  }
}

std::vector<schedule_decision> scheduler::finished(const schedule_outcome& outcome, timestamp now) {
  std::vector<schedule_decision> out;
  const auto found = this->running.find(outcome.id);
  if (found == this->running.end()) {
    return out;
  }
  const running_call call = found->second;
  this->running.erase(found);
  server_state& server = this->servers.at(call.server);
  const bool was_full = this->free_credits(server) <= 0;
  --server.in_flight;
  if (outcome.failed) {
    this->record_failure(server, now);
    this->prefix_servers.erase(call.request.program);
  } else {
    server.failures = 0;
    speed_sample sample = outcome.sample;
    sample.batch = call.batch;
    server.speed.add(sample);
    server.cache_model.use(call.request.program, call.request.prompt + sample.answered, now);
    const auto steps = std::max<std::int64_t>(1, sample.answered.get() - 1);
    server.window.on_finished((sample.whole - sample.first_token) / steps, was_full);
  }
  this->reindex(call.server, server);
  this->send_queued_calls(call.server, now, out);
  return out;
}

std::optional<backend_server_id> scheduler::forget(const program_id& program) {
  const auto found = this->prefix_servers.find(program);
  if (found == this->prefix_servers.end()) {
    return std::nullopt;
  }
  const backend_server_id server = found->second;
  this->prefix_servers.erase(found);
  this->servers.at(server).cache_model.erase(program);
  return server;
}

void scheduler::forget_all() {
  this->prefix_servers.clear();
  for (auto& [id, server] : this->servers) {
    server.cache_model.clear();
    server.speed = speed_model();
    server.window = server_window(this->limits);
  }
}

void scheduler::move_queue(server_state& server, timestamp now,
                           std::vector<schedule_decision>& out) {
  std::vector<schedule_request> moved;
  for (fair_queue* source : {&server.queue, &server.uncached_queue}) {
    while (const auto call = source->take()) {
      moved.push_back(this->requests.at(call->id));
      this->leave_queue(call->id);
    }
  }
  for (const schedule_request& request : moved) {
    const auto more = this->submit(request, now);
    out.insert(out.end(), more.begin(), more.end());
  }
}

std::vector<schedule_decision> scheduler::remove_server(const backend_server_id& id,
                                                        timestamp now) {
  std::vector<schedule_decision> out;
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return out;
  }
  found->second.removed = true;
  found->second.cache_model.clear();
  this->reindex(id, found->second);
  this->move_queue(found->second, now, out);
  return out;
}

std::vector<schedule_decision> scheduler::tick(timestamp now) {
  std::vector<schedule_decision> out;
  std::set<backend_server_id> hung;
  for (auto& [id, call] : this->running) {
    const duration timeout =
        std::max(this->settings.min_hung_time,
                 from_seconds(this->settings.hung_factor * call.predicted_first));
    const bool late = !call.has_first_token && !call.given_up && now - call.sent > timeout;
    if (late && this->features.exclude_failing) {
      call.given_up = true;
      this->given_up.push_back(id);
      hung.insert(call.server);
    }
  }
  for (const backend_server_id& id : hung) {
    server_state& server = this->servers.at(id);
    server.excluded_until = now + this->settings.exclusion;
    server.window.on_failed();
    this->move_queue(server, now, out);
  }
  for (auto& [id, server] : this->servers) {
    if (queued_calls(server) > 0) {
      this->send_queued_calls(id, now, out);
    }
  }
  return out;
}

std::vector<waiting_id> scheduler::take_given_up() { return std::exchange(this->given_up, {}); }

std::size_t scheduler::waiting() const { return this->requests.size(); }

std::int64_t scheduler::in_flight(const backend_server_id& server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? 0 : found->second.in_flight;
}

std::int64_t scheduler::window(const backend_server_id& server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? 0 : found->second.window.size();
}

double scheduler::predicted_wait() const {
  if (this->by_load.empty()) {
    return 0;
  }
  return this->wait_at(this->servers.at(this->by_load.begin()->second));
}

}  // namespace hawthornlane
