// Choosing servers and filling their windows.
#include "hawthornlane/routing/scheduler.h"

#include <algorithm>
#include <utility>

namespace hawthornlane {
namespace {

constexpr std::int64_t failures_to_exclude = 3;
/// A call is stolen only when that saves at least this share of its time.
constexpr double worth_stealing = 0.8;

}  // namespace

scheduler::scheduler(window_limits window, scheduler_settings timing, policy_features chosen)
    : limits(window), times(timing), parts(chosen) {}

void scheduler::add_server(const backend_server_id& server, timestamp now) {
  const auto [at, added] =
      this->servers.emplace(server, server_state{server_window(this->limits),
                                                 {},
                                                 {},
                                                 prefix_cache_model(this->times.cache_tokens),
                                                 {},
                                                 0,
                                                 {},
                                                 now,
                                                 0,
                                                 false,
                                                 0});
  if (!added) {
    // Back again: start small.
    at->second.removed = false;
    at->second.window.on_failed();
  }
  this->reindex(server, at->second);
  for (const waiting_id id : std::exchange(this->homeless, {})) {
    if (const auto request = this->requests.find(id); request != this->requests.end()) {
      this->place(request->second, server);
    }
  }
}

std::size_t scheduler::queued(const server_state& server) {
  return server.queue.size() + server.newcomers.size();
}

bool scheduler::holds_prefix(const backend_server_id& id, const server_state& server,
                             const program_id& program) const {
  const auto holder = this->holders.find(program);
  return holder != this->holders.end() && holder->second == id && server.mirror.holds(program);
}

void scheduler::reindex(const backend_server_id& id, server_state& server) {
  this->by_load.erase({server.load_key, id});
  const auto size = static_cast<double>(std::max<std::int64_t>(1, server.window.size()));
  server.load_key =
      (static_cast<double>(server.inside) + static_cast<double>(queued(server))) / size;
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

std::int64_t scheduler::room(const server_state& server) const {
  if (!this->parts.window) {
    constexpr std::int64_t unbounded = 1'000'000;
    return unbounded;
  }
  return server.credits.value_or(server.window.size()) - server.inside;
}

double scheduler::predicted_service(const server_state& server, const schedule_request& request,
                                    bool holds) const {
  const token_count fresh = holds ? request.prompt - request.history : request.prompt;
  const std::int64_t batch = server.inside + 1;
  return server.speed.prefill_seconds(fresh) +
         static_cast<double>(request.expected_answer.get()) * server.speed.token_seconds(batch);
}

double scheduler::wait_at(const server_state& server) const {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, server.credits.value_or(server.window.size())));
  const double ahead = (server.queue.waiting_cost() + server.newcomers.waiting_cost()) / slots;
  return this->room(server) > 0 ? 0 : ahead + 1.0 / slots;
}

double scheduler::predicted_completion(const server_state& server, const schedule_request& request,
                                       bool holds) const {
  return this->wait_at(server) + this->predicted_service(server, request, holds);
}

double scheduler::order_of(const schedule_request& request) const {
  if (!this->parts.program_order) {
    return to_seconds(request.arrived.time_since_epoch());
  }
  // Constant over time: ageing at one rate for all leaves the order of two calls
  // as it is, so it can be a sort key.
  const double began = to_seconds(request.began.time_since_epoch());
  return request.attained + (this->parts.ageing ? this->times.ageing_rate * began : 0);
}

std::optional<backend_server_id> scheduler::choose(const schedule_request& request, timestamp now) {
  const auto holder = this->holders.find(request.program);
  std::optional<backend_server_id> best;
  double best_time = 0;
  const auto consider = [&](const backend_server_id& id) {
    const server_state& server = this->servers.at(id);
    if (!this->usable(server, now)) {
      return;
    }
    const bool holds = this->holds_prefix(id, server, request.program);
    const double time = this->parts.predicted_choice
                            ? this->predicted_completion(server, request, holds)
                            : (holds ? -1.0 : server.load_key);
    if (!best || time < best_time) {
      best = id;
      best_time = time;
    }
  };
  if (holder != this->holders.end() && this->servers.contains(holder->second)) {
    consider(holder->second);
  }
  std::size_t looked_at = 0;
  for (const auto& [load, id] : this->by_load) {
    if (looked_at == this->times.candidates) {
      break;
    }
    // Excluded servers are few; they do not use up the candidates.
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
  call.account = this->parts.fair_accounts ? request.account : client_account();
  call.weight = request.weight;
  call.order = this->order_of(request);
  call.cost = this->predicted_service(server, request, holds);
  (holds ? server.queue : server.newcomers).add(call);
  this->queued_at[request.id] = id;
  this->reindex(id, server);
}

std::vector<schedule_decision> scheduler::submit(const schedule_request& request, timestamp now) {
  std::vector<schedule_decision> out;
  this->requests[request.id] = request;
  const auto server = this->choose(request, now);
  if (!server) {
    // Every server is out: wait at any that is there, for its return.
    for (auto& [id, state] : this->servers) {
      if (!state.removed) {
        this->place(request, id);
        return out;
      }
    }
    this->homeless.push_back(request.id);
    return out;
  }
  this->place(request, *server);
  this->fill(*server, now, out);
  return out;
}

void scheduler::send(const backend_server_id& id, server_state& server,
                     const schedule_request& request, timestamp now,
                     std::vector<schedule_decision>& out) {
  const bool holds = this->holds_prefix(id, server, request.program);
  ++server.inside;
  running_call call;
  call.request = request;
  call.server = id;
  call.sent = now;
  call.batch = server.inside;
  const token_count fresh = holds ? request.prompt - request.history : request.prompt;
  call.predicted_first =
      server.speed.prefill_seconds(fresh) + server.speed.token_seconds(server.inside);
  this->running.insert_or_assign(request.id, std::move(call));
  const auto before = this->holders.find(request.program);
  if (before != this->holders.end() && before->second != id) {
    this->servers.at(before->second).mirror.erase(request.program);
  }
  this->holders[request.program] = id;
  server.mirror.use(request.program, request.prompt + request.expected_answer, now);
  out.push_back({request.id, id});
}

void scheduler::leave_queue(waiting_id id) {
  this->requests.erase(id);
  this->queued_at.erase(id);
}

/// Calls whose prefix is there go first: they cost least, and their programs are
/// nearer to their end. A new program waits while it would only push out prefixes
/// that are needed again soon, which would cost more than it gains.
std::optional<waiting_call> scheduler::take_next(server_state& server, timestamp now) {
  const waiting_call* newcomer = server.newcomers.peek();
  const waiting_call* known = server.queue.peek();
  if (newcomer == nullptr) {
    return server.queue.take();
  }
  const schedule_request& request = this->requests.at(newcomer->id);
  const bool waited = now - request.arrived >= this->times.longest_hold_back;
  if (!this->parts.working_set) {
    const bool first = known == nullptr || newcomer->order < known->order;
    return first ? server.newcomers.take() : server.queue.take();
  }
  if (known != nullptr && !waited) {
    return server.queue.take();
  }
  const bool crowds = server.mirror.would_evict_recent(request.prompt, this->times.protect, now);
  if (crowds && !waited && server.inside > 0) {
    return std::nullopt;
  }
  return server.newcomers.take();
}

void scheduler::fill(const backend_server_id& id, timestamp now,
                     std::vector<schedule_decision>& out) {
  server_state& server = this->servers.at(id);
  while (this->usable(server, now) && this->room(server) > 0) {
    if (const auto next = this->take_next(server, now)) {
      const schedule_request request = this->requests.at(next->id);
      this->leave_queue(next->id);
      this->send(id, server, request, now, out);
      continue;
    }
    if (!this->parts.stealing || queued(server) > 0 || !this->steal_for(id, server, now, out)) {
      break;
    }
  }
  this->reindex(id, server);
}

/// Takes a call from the busiest server when it ends sooner here, even though its
/// prefix has to be computed again.
bool scheduler::steal_for(const backend_server_id& id, server_state& server, timestamp now,
                          std::vector<schedule_decision>& out) {
  if (this->by_load.empty()) {
    return false;
  }
  const backend_server_id victim = this->by_load.rbegin()->second;
  server_state& from = this->servers.at(victim);
  const bool none_new = from.newcomers.size() == 0;
  fair_queue& source = none_new ? from.queue : from.newcomers;
  const waiting_call* next = victim == id ? nullptr : source.peek();
  if (next == nullptr) {
    return false;
  }
  const schedule_request request = this->requests.at(next->id);
  const bool holds = this->holds_prefix(victim, from, request.program);
  const double there = this->predicted_completion(from, request, holds);
  const double here = this->predicted_service(server, request, false);
  if (here > worth_stealing * there) {
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
      server.newcomers.remove(id);
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
  --this->servers.at(at).inside;
  this->fill(at, now, out);
  return out;
}

void scheduler::first_token(waiting_id id) {
  const auto found = this->running.find(id);
  if (found != this->running.end()) {
    found->second.has_first_token = true;
  }
}

void scheduler::note_failure(server_state& server, timestamp now) {
  server.window.on_failed();
  ++server.failures;
  if (this->parts.exclude_failing && server.failures >= failures_to_exclude) {
    server.excluded_until = now + this->times.exclusion;
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
  const bool was_full = this->room(server) <= 0;
  --server.inside;
  if (outcome.failed) {
    this->note_failure(server, now);
    this->holders.erase(call.request.program);
  } else {
    server.failures = 0;
    speed_sample sample = outcome.sample;
    sample.batch = call.batch;
    server.speed.add(sample);
    server.mirror.use(call.request.program, call.request.prompt + sample.answered, now);
    const auto steps = std::max<std::int64_t>(1, sample.answered.get() - 1);
    server.window.on_finished((sample.whole - sample.first_token) / steps, was_full);
  }
  this->reindex(call.server, server);
  this->fill(call.server, now, out);
  return out;
}

std::optional<backend_server_id> scheduler::forget(const program_id& program) {
  const auto found = this->holders.find(program);
  if (found == this->holders.end()) {
    return std::nullopt;
  }
  const backend_server_id server = found->second;
  this->holders.erase(found);
  this->servers.at(server).mirror.erase(program);
  return server;
}

void scheduler::forget_all() {
  this->holders.clear();
  for (auto& [id, server] : this->servers) {
    server.mirror.clear();
    server.speed = speed_model();
    server.window = server_window(this->limits);
  }
}

void scheduler::move_queue(server_state& server, timestamp now,
                           std::vector<schedule_decision>& out) {
  std::vector<schedule_request> moved;
  for (fair_queue* source : {&server.queue, &server.newcomers}) {
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
  found->second.mirror.clear();
  this->reindex(id, found->second);
  this->move_queue(found->second, now, out);
  return out;
}

std::vector<schedule_decision> scheduler::tick(timestamp now) {
  std::vector<schedule_decision> out;
  std::set<backend_server_id> hung;
  for (auto& [id, call] : this->running) {
    const duration patience = std::max(
        this->times.hung_least, from_seconds(this->times.hung_factor * call.predicted_first));
    const bool late = !call.has_first_token && !call.given_up && now - call.sent > patience;
    if (late && this->parts.exclude_failing) {
      call.given_up = true;
      this->given_up.push_back(id);
      hung.insert(call.server);
    }
  }
  for (const backend_server_id& id : hung) {
    server_state& server = this->servers.at(id);
    server.excluded_until = now + this->times.exclusion;
    server.window.on_failed();
    this->move_queue(server, now, out);
  }
  for (auto& [id, server] : this->servers) {
    if (queued(server) > 0) {
      this->fill(id, now, out);
    }
  }
  return out;
}

std::vector<waiting_id> scheduler::take_given_up() { return std::exchange(this->given_up, {}); }

std::size_t scheduler::waiting() const { return this->requests.size(); }

std::int64_t scheduler::inside(const backend_server_id& server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? 0 : found->second.inside;
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
