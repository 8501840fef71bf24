// Calls during a planned stop of the host: which of them are still sent to servers, and how those
// that cannot end in time are answered.
#include <algorithm>

#include "call_state.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// A call's expected time as a multiple of the longest recent one.
constexpr double time_allowance = 1.5;
/// The same as a multiple of the route's objective, if no call has ended lately.
constexpr int objectives_allowed = 2;

}  // namespace

void call_service::begin_stop(const shutdown_policy& rules) {
  this->stop = planned_stop{rules, steady::now()};
  for (call* one : this->active) {
    one->until = std::min(one->until, this->stop->began + rules.answers_due());
  }
}

void call_service::continue_stop() {
  if (!this->stop) {
    return;
  }
  const bool ends_all = this->stop->rules.ends_calls(this->stop->elapsed());
  for (call* one : this->active) {
    if (ends_all || (one->is_placing && !this->can_finish(*one))) {
      end_for_stop(*one);
    }
  }
}

void call_service::end_for_stop(call& one) {
  one.ended_by_stop = true;
  one.handle.abandon();
  one.wait.cancel();
}

duration call_service::expected_time(const call& one) {
  const auto longest = this->call_times.longest(one.taken->name, discovery::scheduler_now());
  if (longest) {
    return std::chrono::duration_cast<duration>(*longest * time_allowance);
  }
  const duration objective = one.taken->latency_objective * objectives_allowed;
  return objective > duration{} ? std::min(objective, one.taken->timeout) : one.taken->timeout / 2;
}

bool call_service::can_finish(const call& one) {
  if (!this->stop) {
    return true;
  }
  stopping_call known;
  known.until = std::chrono::duration_cast<duration>(one.time_limit - this->stop->began);
  known.expected_time = this->expected_time(one);
  known.is_stream = one.taken->kind == call_kind::stream;
  return this->stop->rules.may_run(this->stop->elapsed(), known);
}

std::optional<failure> call_service::admit_during_stop(call& one) {
  if (!this->can_finish(one)) {
    return failure{error_kind::host_leaving, "the host stops before the call could end"};
  }
  if (this->stop) {
    one.until = std::min(one.until, this->stop->began + this->stop->rules.answers_due());
  }
  return std::nullopt;
}

asio::awaitable<void> call_service::give_up_for_stop(call& one) {
  failure why{error_kind::host_leaving, "the host stops before the call could end"};
  if (one.possible_runs > 0) {
    why = {error_kind::deadline_exceeded, "the host stops before the server has answered"};
  }
  one.outcome = "ended_by_stop";
  co_await this->give_up(one, why);
}

}  // namespace hawthornlane::front
