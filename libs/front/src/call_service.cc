// The steps of a call: admission (call_admission.cc), placement (here), dispatch to a server
// (call_dispatch.cc) and settlement (call_settlement.cc).
#include "hawthornlane/front/call_service.h"

#include <fmt/format.h>

#include <algorithm>

#include "call_state.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using relay::attempt_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// Retry-After for a call that nothing can serve right now: about the duration of one call, so
/// that a place is likely to be free by then.
constexpr double retry_seconds = 0.25;
/// Maximum jitter added to Retry-After: callers that were refused together return over a span of
/// up to twice `retry_seconds`.
constexpr double retry_jitter = 0.25;

/// Retry-After while too few disk hosts answer, or no server is listed after an outage of the
/// store: about half the time that such a state lasts. A program has few attempts, and they
/// must span the whole outage.
constexpr double recovery_retry_seconds = 0.8;
/// The same at a host that has just started, which has the data it needs within half of this.
constexpr double starting_retry_seconds = 0.4;
/// Time after the start during which a host counts as starting. A host without a configuration
/// after this is waiting for the store or its peers.
constexpr auto startup_time = std::chrono::seconds(1);

/// Affinity key: calls with the same key prefer the same server. On a sticky route all calls of a
/// program share one key, because the prompt of a sub-agent begins with its parent's.
std::uint64_t affinity_of(const route& from, const relay::call_terms& terms) {
  if (!from.sticky) {
    return terms.affinity.empty() ? 0 : hash_of(terms.affinity);
  }
  if (terms.program) {
    return hash_of(terms.program->get());
  }
  if (!terms.session.get().empty()) {
    return hash_of(terms.session.get());
  }
  if (!terms.affinity.empty()) {
    return hash_of(terms.affinity);
  }
  return terms.prefix.empty() ? 0 : hash_of(terms.prefix.front().id);
}

}  // namespace

call_service::call_service(discovery::fleet_state& state, call_placer& places,
                           relay::backend_pool& pool, const relay::call_codec& call_format,
                           quota_gate& quota_checks, turn_store& turn_storage,
                           crash_tracker& tracker, call_metrics& counters)
    : fleet(state),
      placer(places),
      backends(pool),
      codec(call_format),
      quotas(quota_checks),
      turns(turn_storage),
      crashes(tracker),
      metrics(counters) {}

asio::awaitable<void> call_service::refuse(relay::caller_connection& caller, const failure& why,
                                           const std::string& id, duration wait) {
  const error_answer& row = answer_for(why.kind);
  log(event::call_refused, {{"request", id},
                            {"kind", std::string(row.name)},
                            {"status", std::to_string(row.http_status)},
                            {"detail", why.detail}});
  co_await this->respond_refusal(caller, why, id, wait);
}

asio::awaitable<void> call_service::refuse_unread(relay::caller_connection& caller,
                                                  const failure& why) {
  // Each has its own number, which spreads the times of their return.
  const std::string number = std::to_string(++this->unread_refusals);
  co_await this->respond_refusal(caller, why, number, duration{});
}

asio::awaitable<void> call_service::respond_refusal(relay::caller_connection& caller,
                                                    const failure& why, const std::string& id,
                                                    duration wait) {
  const error_answer& row = answer_for(why.kind);
  std::vector<http::header> headers{{"Content-Type", "application/json"}};
  const bool may_begin_anew =
      why.kind == error_kind::stream_version_unknown || why.kind == error_kind::stream_version_gone;
  if (may_begin_anew) {
    headers.push_back({"Retry-After", "0"});
  } else if (row.retry_later) {
    const double part = static_cast<double>(hash_of(id) % 1000) / 1000;
    const bool long_wait =
        why.kind == error_kind::history_unavailable || why.kind == error_kind::not_ready ||
        why.kind == error_kind::no_listed_server || why.kind == error_kind::quota_unknown;
    const bool starting = steady::now() - this->started_at < startup_time;
    const double recovery = starting ? starting_retry_seconds : recovery_retry_seconds;
    const double least = std::max(long_wait ? recovery : retry_seconds, to_seconds(wait));
    headers.push_back({"Retry-After", fmt::format("{:.2f}", least + retry_jitter * part)});
  }
  this->metrics.count(fmt::format("refused_{}", row.name));
  const std::string body =
      fmt::format(R"({{"error":"{}","outcome":"{}"}})", row.name, outcome_name(row.outcome));
  co_await caller.respond(row.http_status, headers, body);
}

asio::awaitable<void> call_service::serve(relay::caller_connection& caller, http::request request) {
  call one(caller, std::move(request));
  this->active.insert(&one);
  caller.connection().watch_for_close([this, &one] {
    one.caller.mark_disconnected();
    one.handle.abandon();
    one.wait.cancel();
    this->metrics.count("callers_left");
  });
  co_await this->run(one);
  caller.connection().stop_watching();
  this->active.erase(&one);
}

asio::awaitable<void> call_service::run(call& one) {
  const std::optional<failure> rejection = this->prepare(one);
  if (rejection) {
    co_await this->refuse(one.caller, *rejection, one.terms.id.get());
    co_return;
  }
  const bool is_admitted = co_await this->admit(one);
  if (!is_admitted) {
    co_return;
  }
  bool again = true;
  while (again) {
    again = co_await this->run_attempt(one);
  }
  this->log_call(one);
}

asio::awaitable<bool> call_service::run_attempt(call& one) {
  const acquired_server acquired = co_await this->acquire(one);
  if (!this->still_authenticated(one)) {
    if (acquired.server) {
      this->placer.finished(one.service, acquired.id, server_outcome::caller_left);
    }
    const bool may_have_run = one.possible_runs > 0;
    const failure why{may_have_run ? error_kind::backend_failed : error_kind::not_authenticated,
                      "the key was revoked while the call was waiting"};
    co_await this->give_up(one, why);
    co_return false;
  }
  if (acquired.caller_left && one.caller.gone()) {
    one.outcome = "caller_left";
    co_await this->settle_incomplete(one);
    co_return false;
  }
  if (one.ended_by_stop || !this->can_finish(one)) {
    if (acquired.server) {
      this->placer.finished(one.service, acquired.id, server_outcome::caller_left);
    }
    co_await this->give_up_for_stop(one);
    co_return false;
  }
  if (!acquired.server) {
    co_await this->give_up_unplaced(one, acquired);
    co_return false;
  }
  const bool may_run = co_await this->admit_suspected(one, acquired);
  if (!may_run) {
    co_return false;
  }
  const attempt_outcome outcome = co_await this->try_server(one, *acquired.server);
  this->report_outcome(one, acquired, outcome);
  one.outcome = name_of(outcome);
  if (one.is_spoilt) {
    co_await this->withdraw_origin(one);
  }
  if (outcome == attempt_outcome::whole || outcome == attempt_outcome::timed_out) {
    const duration took = std::chrono::duration_cast<duration>(steady::now() - one.sent_at);
    this->call_times.record(one.taken->name, took, discovery::scheduler_now());
  }
  if (one.ended_by_stop && outcome == attempt_outcome::abandoned) {
    co_await this->give_up_for_stop(one);
  }
  co_await this->track_crash(one, *acquired.server, outcome);
  if (outcome == attempt_outcome::whole) {
    co_await this->finish_whole(one);
    co_return false;
  }
  if (outcome == attempt_outcome::abandoned) {
    co_await this->settle_incomplete(one);
    co_return false;
  }
  one.tried.insert(acquired.server->id);
  if (this->may_try_again(one, outcome)) {
    co_return true;
  }
  failure why{error_kind::backend_failed, one.detail};
  if (this->standing_of(one) == crash_standing::blocked) {
    why.kind = error_kind::request_crashes_servers;
  } else if (one.possible_runs == 0) {
    why.kind = error_kind::no_backend_server;
  } else if (outcome == attempt_outcome::timed_out) {
    why.kind = error_kind::deadline_exceeded;
  }
  co_await this->give_up(one, why);
  co_return false;
}

asio::awaitable<void> call_service::give_up_unplaced(call& one, const acquired_server& acquired) {
  failure why{error_kind::no_backend_server,
              one.detail.empty() ? "no server can serve it before its deadline" : one.detail};
  if (acquired.retry_in > duration{}) {
    why.detail = fmt::format("a place is expected in {} ms", acquired.retry_in.count() / 1000);
  }
  if (one.possible_runs > 0) {
    // An earlier attempt may have run, so the answer must not say that the call was not run.
    why.kind = error_kind::backend_failed;
  } else if (!this->placer.has_listed_servers(one.service)) {
    why.kind = error_kind::no_listed_server;
  } else if (one.resumed_version &&
             !this->placer.lists_version(one.service, *one.resumed_version)) {
    why.kind = error_kind::stream_version_gone;
    why.detail = "the last server of version " + one.resumed_version->get() + " has left";
  }
  co_await this->give_up(one, why, acquired.retry_in);
}

asio::awaitable<acquired_server> call_service::acquire(call& one) {
  acquired_server acquired;
  if (one.caller.gone()) {
    acquired.caller_left = true;
    co_return acquired;
  }
  const timestamp now = discovery::scheduler_now();
  const auto left = std::chrono::duration_cast<duration>(one.until - steady::now());
  placement_request request;
  request.affinity = affinity_of(*one.taken, one.terms);
  request.kind = hash_of(one.taken->name.get());
  if (one.taken->sticky) {
    request.prompt = pieces_of(one.terms.prefix);
  }
  request.begun =
      one.terms.previous.has_value() || this->continues_program(one.service, request.prompt);
  const bool has_account_priority = one.caller_account != nullptr && one.caller_account->priority;
  request.priority = has_account_priority ? *one.caller_account->priority : one.taken->priority;
  if (one.caller_account != nullptr) {
    request.account = one.caller_account->name;
  }
  request.wanted_by = now + one.terms.program_time_left.value_or(left);
  request.give_up_at = now + left - min_service_time;
  request.tried = one.tried;
  if (this->standing_of(one) == crash_standing::suspected) {
    // The least busy server: the fewest other calls are lost if this one crashes it.
    request.affinity = 0;
    request.prompt.clear();
  }
  request.version = required_version(one);
  one.is_placing = true;
  acquired = co_await this->placer.acquire(one.service, request, one.wait);
  one.is_placing = false;
  one.attempt_id = acquired.id;
  one.basis = acquired.basis;
  one.queued_ms += acquired.waited.count() / 1000;
  co_return acquired;
}

bool call_service::continues_program(const service_name& service,
                                     const std::vector<prompt_piece>& prompt) {
  // The first part is shared by all programs of a kind; the second is specific to the program.
  return prompt.size() > 1 && this->placer.has_prompt_part(service, prompt[1].key);
}

}  // namespace hawthornlane::front
