// Health of a backend server, judged by the outcomes and times of one host's calls to it.
#include "hawthornlane/placement/server_health.h"

#include <algorithm>
#include <cmath>

namespace hawthornlane {
namespace {

/// Weight of a new time in the moving average of a kind's typical time. It is small, so that a few
/// slow servers do not shift the average to their own times.
constexpr double typical_newest_weight = 0.02;
/// Weight of a new time in the moving average of the slowdown of all calls. A host has about 20
/// calls per second, so the average follows a burst within half a second.
constexpr double common_newest_weight = 0.1;
/// Lower bound of call times, so that the logarithm is finite; no measured call is faster.
constexpr double min_seconds = 0.001;

/// Weight of one sample in the estimate of a server's slowdown.
double weight_of(const time_sample& sample, const health_rules& rules) {
  return rules.server_variance / (rules.server_variance + sample.variance);
}

}  // namespace

time_sample baseline_times::compare(std::uint64_t kind, duration took, bool lower_bound) {
  const double log_time = std::log(std::max(to_seconds(took), min_seconds));
  const auto found = this->baselines.find(kind);
  if (found == this->baselines.end()) {
    if (!lower_bound) {
      this->baselines[kind].mean = log_time;
    }
    return {};
  }
  kind_times& times = found->second;
  const double from_baseline = log_time - times.mean;
  const double log_ratio = from_baseline - this->common_slowdown;
  const time_sample sample{lower_bound ? std::max(log_ratio, 0.0) : log_ratio, times.variance};
  if (lower_bound) {
    return sample;
  }
  times.mean += typical_newest_weight * from_baseline;
  times.variance += typical_newest_weight * (log_ratio * log_ratio - times.variance);
  this->common_slowdown += common_newest_weight * log_ratio;
  return sample;
}

double server_health::decaying_estimate::at(const health_rules& rules, timestamp now) const {
  const double age = to_seconds(now - this->updated_at);
  return this->value * std::exp(-age / to_seconds(rules.decay_time));
}

bool server_health::decaying_estimate::exceeds(double bound, const health_rules& rules,
                                               timestamp now) const {
  return this->value > bound && this->at(rules, now) > bound;
}

void server_health::decaying_estimate::update(double sample, double weight,
                                              const health_rules& rules, timestamp now) {
  const double before = this->at(rules, now);
  this->value = before + weight * (sample - before);
  this->updated_at = now;
}

bool server_health::degraded(const health_rules& rules, timestamp now) const {
  return this->slowdown.exceeds(rules.degraded_log_ratio, rules, now) ||
         this->faults.exceeds(rules.degraded_failure_rate, rules, now);
}

void server_health::record_time(const time_sample& sample, const health_rules& rules,
                                timestamp now) {
  this->slowdown.update(sample.log_ratio, weight_of(sample, rules), rules, now);
}

void server_health::record_pending_time(const time_sample& sample, const health_rules& rules,
                                        timestamp now) {
  const double at_least = sample.log_ratio * weight_of(sample, rules);
  if (at_least > this->slowdown.at(rules, now)) {
    this->slowdown = {at_least, now};
  }
}

void server_health::record_outcome(server_outcome outcome, const health_rules& rules,
                                   timestamp now) {
  if (outcome == server_outcome::caller_left) {
    return;
  }
  const bool answered = outcome == server_outcome::answered;
  const bool full = outcome == server_outcome::refused;
  if (!full) {
    this->faults.update(answered ? 0.0 : 1.0, rules.newest_weight, rules, now);
  }
  if (answered) {
    this->failures = 0;
  }
  if (answered || outcome == server_outcome::error_answer) {
    return;
  }
  ++this->failures;
  const bool excludes_at_once = outcome == server_outcome::unreachable;
  if (!excludes_at_once && this->failures < rules.failures_to_exclude) {
    return;
  }
  constexpr std::uint32_t max_doublings = 6;
  const std::uint32_t doublings = std::min(this->failures - 1, max_doublings);
  const duration pause = rules.first_exclusion * (1U << doublings);
  this->excluded_until = now + std::min(pause, rules.longest_exclusion);
}

}  // namespace hawthornlane
