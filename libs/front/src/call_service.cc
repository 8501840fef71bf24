// The way of a call from its first byte to its answer: admitted (call_admission.cc), placed, sent
// to a server (call_dispatch.cc) and settled (call_settlement.cc).
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

/// For a caller that was refused because nothing can serve it right now: about the
/// time of one call, so that a place is likely to be free.
constexpr double retry_seconds = 0.25;
/// Spreads callers that were refused together over twice that time.
constexpr double retry_spread = 0.25;

/// While too few disk hosts answer, or no server is listed after an outage of the
/// store, a refused call comes back after about half the time that such a state
/// takes to end; its program has few tries, and they must span that.
constexpr double recovery_retry_seconds = 0.8;
/// The same at a host that has just started: it knows what it needs within half of this.
constexpr double starting_retry_seconds = 0.4;
/// A host that knows no configuration by then waits for the store, or for its peers.
constexpr auto longest_start = std::chrono::seconds(1);

/// What keeps calls of the same object at the same server. A program's lines stay
/// together: the prompt of a helper begins with its parent's.
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
                           relay::backend_pool& pool, const relay::call_codec& with,
                           quota_gate& gate, turn_store& keeper, call_metrics& counters)
    : fleet(state),
      placer(places),
      backends(pool),
      codec(with),
      quotas(gate),
      turns(keeper),
      metrics(counters) {}

asio::awaitable<void> call_service::refuse(relay::caller_connection& caller, const failure& why,
                                           const std::string& id, duration wait) {
  const error_answer& row = answer_for(why.kind);
  std::vector<http::header> headers{{"Content-Type", "application/json"}};
  if (row.retry_later) {
    const double part = static_cast<double>(hash_of(id) % 1000) / 1000;
    const bool long_wait =
        why.kind == error_kind::history_unavailable || why.kind == error_kind::not_ready ||
        why.kind == error_kind::no_listed_server || why.kind == error_kind::quota_unknown;
    const bool starting = steady::now() - this->started_at < longest_start;
    const double recovery = starting ? starting_retry_seconds : recovery_retry_seconds;
    const double least = std::max(long_wait ? recovery : retry_seconds, to_seconds(wait));
    headers.push_back({"Retry-After", fmt::format("{:.2f}", least + retry_spread * part)});
  }
  this->metrics.count(fmt::format("refused_{}", row.name));
  log(event::call_refused, {{"request", id},
                            {"kind", std::string(row.name)},
                            {"status", std::to_string(row.http_status)},
                            {"detail", why.detail}});
  const std::string body =
      fmt::format(R"({{"error":"{}","outcome":"{}"}})", row.name, outcome_name(row.outcome));
  co_await caller.respond(row.http_status, headers, body);
}

asio::awaitable<void> call_service::serve(relay::caller_connection& caller, http::request request) {
  call one(caller, std::move(request));
  ++this->calls;
  caller.connection().watch_for_close([this, &one] {
    one.caller.mark_disconnected();
    one.handle.abandon();
    one.wait.leave();
    this->metrics.count("callers_left");
  });
  co_await this->run(one);
  caller.connection().stop_watching();
  --this->calls;
}

asio::awaitable<void> call_service::run(call& one) {
  const std::optional<failure> unfit = this->prepare(one);
  if (unfit) {
    co_await this->refuse(one.caller, *unfit, one.terms.id.get());
    co_return;
  }
  if (!co_await this->admit_to_quota(one) || !co_await this->admit_to_ledger(one)) {
    co_return;
  }
  bool again = true;
  while (again) {
    again = co_await this->run_once(one);
  }
  this->log_call(one);
}

asio::awaitable<bool> call_service::run_once(call& one) {
  const acquired_server got = co_await this->acquire(one);
  if (!this->still_identified(one)) {
    if (got.server) {
      this->placer.finished(one.service, got.id, server_outcome::caller_left);
    }
    const bool may_have_run = one.runs > 0;
    const failure why{may_have_run ? error_kind::backend_failed : error_kind::not_authenticated,
                      "the key was taken away meanwhile"};
    co_await this->give_up(one, why);
    co_return false;
  }
  if (got.caller_left) {
    one.outcome = "caller_left";
    co_await this->settle_broken(one);
    co_return false;
  }
  if (!got.server) {
    failure why{error_kind::no_backend_server,
                one.detail.empty() ? "no server can take it in its time" : one.detail};
    if (got.retry_in > duration{}) {
      why.detail = fmt::format("a place is expected in {} ms", got.retry_in.count() / 1000);
    }
    if (one.runs > 0) {
      // An earlier try may have run: only what has not run is refused as such.
      why.kind = error_kind::backend_failed;
    } else if (!this->placer.lists_servers(one.service)) {
      why.kind = error_kind::no_listed_server;
    }
    co_await this->give_up(one, why, got.retry_in);
    co_return false;
  }
  const attempt_outcome outcome = co_await this->try_server(one, *got.server);
  this->note_try(one, got, outcome);
  one.outcome = name_of(outcome);
  if (outcome == attempt_outcome::whole) {
    co_await this->finish_whole(one);
    co_return false;
  }
  if (outcome == attempt_outcome::abandoned) {
    co_await this->settle_broken(one);
    co_return false;
  }
  one.tried.insert(got.server->id);
  if (this->may_try_again(one, outcome)) {
    co_return true;
  }
  failure why{error_kind::backend_failed, one.detail};
  if (one.runs == 0) {
    why.kind = error_kind::no_backend_server;
  } else if (outcome == attempt_outcome::timed_out) {
    why.kind = error_kind::deadline_exceeded;
  }
  co_await this->give_up(one, why);
  co_return false;
}

asio::awaitable<acquired_server> call_service::acquire(call& one) {
  acquired_server got;
  if (one.caller.gone()) {
    got.caller_left = true;
    co_return got;
  }
  const timestamp now = discovery::scheduler_now();
  const auto left = std::chrono::duration_cast<duration>(one.until - steady::now());
  placement_request request;
  request.affinity = affinity_of(*one.taken, one.terms);
  request.kind = hash_of(one.taken->name.get());
  if (one.taken->sticky) {
    request.prompt = pieces_of(one.terms.prefix);
  }
  request.begun = one.terms.previous.has_value() || this->goes_on(one.service, request.prompt);
  const bool has_own = one.caller_account != nullptr && one.caller_account->priority;
  request.priority = has_own ? *one.caller_account->priority : one.taken->priority;
  if (one.caller_account != nullptr) {
    request.account = one.caller_account->name;
  }
  request.wanted_by = now + one.terms.program_time_left.value_or(left);
  request.give_up_at = now + left - least_service_time;
  request.tried = one.tried;
  got = co_await this->placer.acquire(one.service, request, one.wait);
  one.placed = got.id;
  one.basis = got.basis;
  one.queued_ms += got.waited.count() / 1000;
  co_return got;
}

bool call_service::goes_on(const service_name& service, const std::vector<prompt_piece>& prompt) {
  // The first part is shared by all programs of a kind, the one behind it is the program's.
  return prompt.size() > 1 && this->placer.has_prompt_part(service, prompt[1].key);
}

}  // namespace hawthornlane::front
