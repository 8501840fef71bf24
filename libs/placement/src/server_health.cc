// Health of a backend server, judged by the outcomes and times of one host's calls to it.
#include "hawthornlane/placement/server_health.h"

#include <algorithm>
#include <cmath>

namespace hawthornlane {
namespace {

/// Weight of a new time in the moving average of a kind's typical time. It is small, so that a few
/// slow servers do not shift the average to their own times.
constexpr double usual_newest_part = 0.02;
/// Weight of a new time in the moving average of the slowdown of all calls. A host has about 20
/// calls per second, so the average follows a burst within half a second.
constexpr double common_newest_part = 0.1;
/// Lower bound of call times, so that the logarithm is finite; no measured call is faster.
constexpr double least_seconds = 0.001;

/// Weight of one sample in the estimate of a server's slowness.
double weight_of(const pace_sample& sample, const health_rules& rules) {
  return rules.server_variance / (rules.server_variance + sample.variance);
}

}  // namespace

pace_sample usual_times::compare(std::uint64_t kind, duration took, bool lower_bound) {
  const double log_time = std::log(std::max(to_seconds(took), least_seconds));
  const auto found = this->usual.find(kind);
  if (found == this->usual.end()) {
    if (!lower_bound) {
      this->usual[kind].mean = log_time;
    }
    return {};
  }
  kind_times& times = found->second;
  const double from_usual = log_time - times.mean;
  const double pace = from_usual - this->common;
  const pace_sample sample{lower_bound ? std::max(pace, 0.0) : pace, times.variance};
  if (lower_bound) {
    return sample;
  }
  times.mean += usual_newest_part * from_usual;
  times.variance += usual_newest_part * (pace * pace - times.variance);
  this->common += common_newest_part * pace;
  return sample;
}

double server_health::belief::at(const health_rules& rules, timestamp now) const {
  const double age = to_seconds(now - this->renewed);
  return this->value * std::exp(-age / to_seconds(rules.fading));
}

bool server_health::belief::exceeds(double bound, const health_rules& rules, timestamp now) const {
  return this->value > bound && this->at(rules, now) > bound;
}

void server_health::belief::renew(double sample, double weight, const health_rules& rules,
                                  timestamp now) {
  const double before = this->at(rules, now);
  this->value = before + weight * (sample - before);
  this->renewed = now;
}

bool server_health::doubted(const health_rules& rules, timestamp now) const {
  return this->slowness.exceeds(rules.doubted_pace, rules, now) ||
         this->faults.exceeds(rules.doubted_faults, rules, now);
}

void server_health::note_pace(const pace_sample& sample, const health_rules& rules, timestamp now) {
  this->slowness.renew(sample.pace, weight_of(sample, rules), rules, now);
}

void server_health::hold_pace(const pace_sample& sample, const health_rules& rules, timestamp now) {
  const double at_least = sample.pace * weight_of(sample, rules);
  if (at_least > this->slowness.at(rules, now)) {
    this->slowness = {at_least, now};
  }
}

void server_health::note(server_outcome outcome, const health_rules& rules, timestamp now) {
  if (outcome == server_outcome::caller_left) {
    return;
  }
  const bool answered = outcome == server_outcome::answered;
  const bool full = outcome == server_outcome::refused;
  if (!full) {
    this->faults.renew(answered ? 0.0 : 1.0, rules.newest_part, rules, now);
  }
  if (answered) {
    this->failures = 0;
  }
  if (answered || outcome == server_outcome::error_answer) {
    return;
  }
  ++this->failures;
  const bool at_once = outcome == server_outcome::unreachable;
  if (!at_once && this->failures < rules.failures_to_exclude) {
    return;
  }
  constexpr std::uint32_t most_doublings = 6;
  const std::uint32_t doublings = std::min(this->failures - 1, most_doublings);
  const duration pause = rules.first_exclusion * (1U << doublings);
  this->excluded_until = now + std::min(pause, rules.longest_exclusion);
}

}  // namespace hawthornlane
