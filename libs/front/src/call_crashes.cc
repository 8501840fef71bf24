// A call and the servers that crash under it: whether it may still be sent, and what its attempts
// tell of the servers.
#include <algorithm>

#include "call_state.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using relay::attempt_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// A caller that leaves after a silence of this length may have left because the server has crashed
/// with its machine, which resets no connection.
constexpr auto suspicious_silence = std::chrono::seconds(1);

/// How long a server whose connection was cut off is watched before the call is sent to another
/// one, and before its caller is answered, who may send the request again at once.
constexpr duration retry_watch_time = std::chrono::milliseconds(50);
constexpr duration answer_watch_time = std::chrono::milliseconds(250);

}  // namespace

crash_standing call_service::standing_of(const call& one) const {
  return one.fingerprint ? this->crashes.standing(*one.fingerprint) : crash_standing::unsuspected;
}

asio::awaitable<void> call_service::reserve_rerun(call& one) {
  const bool may_have_crashed = one.fingerprint && one.possible_runs > 0 && one.answer.is_cut_off;
  if (may_have_crashed && this->standing_of(one) == crash_standing::unsuspected) {
    co_await this->crashes.begin_run(*one.fingerprint, one.run,
                                     std::min(one.until, steady::now() + retry_watch_time));
  }
}

asio::awaitable<bool> call_service::admit_suspected(call& one, const acquired_server& acquired) {
  co_await this->reserve_rerun(one);
  if (one.run || this->standing_of(one) == crash_standing::unsuspected) {
    co_return true;
  }
  const run_permission permission =
      co_await this->crashes.begin_run(*one.fingerprint, one.run, one.until);
  if (permission == run_permission::granted && !one.caller.gone()) {
    co_return true;
  }
  this->crashes.run_withdrawn(one.run);
  one.run.reset();
  this->placer.finished(one.service, acquired.id, server_outcome::caller_left);
  if (one.caller.gone()) {
    one.outcome = "caller_left";
    co_await this->settle_incomplete(one);
    co_return false;
  }
  failure why{error_kind::no_backend_server, "servers have crashed under this request"};
  if (permission == run_permission::blocked) {
    why.kind = error_kind::request_crashes_servers;
  } else if (one.possible_runs > 0) {
    why.kind = error_kind::backend_failed;
  }
  co_await this->give_up(one, why);
  co_return false;
}

duration call_service::watch_time_after(const call& one, attempt_outcome outcome) const {
  if (one.caller.gone() || this->stop) {
    return {};
  }
  return this->may_try_again(one, outcome) ? retry_watch_time : answer_watch_time;
}

asio::awaitable<void> call_service::track_crash(call& one, const backend_entry& server,
                                                attempt_outcome outcome) {
  if (!one.fingerprint) {
    co_return;
  }
  const std::optional<suspected_run> run = std::exchange(one.run, std::nullopt);
  switch (outcome) {
    case attempt_outcome::whole:
      this->crashes.run_answered(*one.fingerprint, server.version, run);
      co_return;
    case attempt_outcome::not_sent:
    case attempt_outcome::not_run:
      this->crashes.run_withdrawn(run);
      co_return;
    case attempt_outcome::abandoned:
      if (!run &&
          (one.events > one.events_before || steady::now() - one.sent_at < suspicious_silence)) {
        co_return;
      }
      break;
    case attempt_outcome::broken:
    case attempt_outcome::timed_out:
      break;
  }
  failed_run failed{*one.fingerprint, server, run, one.terms.id, one.answer.is_cut_off};
  co_await this->crashes.run_failed(std::move(failed), this->watch_time_after(one, outcome));
}

}  // namespace hawthornlane::front
