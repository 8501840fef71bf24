// Estimates the speed of a backend server from the times of calls at it.
#include "hawthornlane/placement/server_speed.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornlane {
namespace {

/// Weight of a new time in the moving average of a kind's typical time, after the first 50 calls.
constexpr double typical_newest_weight = 0.02;
/// Weight of a new time in the moving average of the slowdown of all calls. A host has about 20
/// calls per second, so the average follows a change of load within a second.
constexpr double common_newest_weight = 0.05;
/// Lower bound of call times, so that the logarithm is finite; no measured call is faster.
constexpr double min_seconds = 0.001;
/// Calls of a kind that must be known before a call of this kind yields a sample.
constexpr std::uint32_t min_calls_to_compare = 5;
/// Samples are clamped to this logarithm either way: 20 times slower or faster.
constexpr double max_log_ratio = 3;
/// Lower bound of the variance of a kind: its calls differ by at least 20%.
constexpr double min_variance = 0.04;
/// Units of the fields of `speed_estimate`.
constexpr double units_per_log_ratio = 1000;
constexpr double units_per_weight = 8;

double decay_factor(duration age, duration decay_time) {
  return std::exp(-std::max(0.0, to_seconds(age)) / to_seconds(decay_time));
}

template <class Integer>
Integer rounded(double value) {
  constexpr double lowest = std::numeric_limits<Integer>::min();
  constexpr double upper_bound = std::numeric_limits<Integer>::max();
  return static_cast<Integer>(std::lround(std::clamp(value, lowest, upper_bound)));
}

double log_ratio_of(std::int16_t word) { return word / units_per_log_ratio; }
double weight_of(std::uint16_t word) { return word / units_per_weight; }

/// Weighted mean of the own and the reported estimate, and of a prior of 0 with weight `before`.
double combined_mean(const decaying_mean& own, const decaying_mean& reported, double before,
                     double upper_bound, duration decay_time, timestamp now) {
  const double own_weight = own.weight_at(upper_bound, decay_time, now);
  const double reported_weight = reported.weight_at(upper_bound, decay_time, now);
  const double sum = own_weight * own.mean() + reported_weight * reported.mean();
  return sum / (own_weight + reported_weight + before);
}

}  // namespace

void decaying_mean::add(double sample, double sample_weight, duration decay_time, timestamp now) {
  const double before = this->decayed(this->weight, decay_time, now);
  this->weight = before + sample_weight;
  this->updated_at = now;
  if (sample_weight > 0) {
    this->value += sample_weight / this->weight * (sample - this->value);
  }
}

double decaying_mean::weight_at(double upper_bound, duration decay_time, timestamp now) const {
  return this->decayed(std::min(this->weight, upper_bound), decay_time, now);
}

double decaying_mean::decayed(double from, duration decay_time, timestamp now) const {
  return from == 0 ? 0 : from * decay_factor(now - this->updated_at, decay_time);
}

void server_speed::add_sample(const slowdown_sample& sample, const speed_rules& rules,
                              timestamp now) {
  const double from_lasting = sample.log_ratio - this->lasting(rules, now);
  this->own_temporary.add(from_lasting, sample.weight, rules.temporary_decay_time, now);
  this->own_lasting.add(sample.log_ratio, sample.weight, rules.lasting_decay_time, now);
}

void server_speed::set_remote_estimate(const speed_estimate& word, timestamp now) {
  this->remote_lasting = {log_ratio_of(word.slow), weight_of(word.slow_weight), now};
  this->remote_temporary = {log_ratio_of(word.fast), weight_of(word.fast_weight), now};
}

speed_estimate server_speed::own_estimate(const speed_rules& rules, timestamp now) const {
  const double slow_weight =
      this->own_lasting.weight_at(rules.max_weight, rules.lasting_decay_time, now);
  const double fast_weight =
      this->own_temporary.weight_at(rules.max_weight, rules.temporary_decay_time, now);
  speed_estimate word;
  word.slow = rounded<std::int16_t>(this->own_lasting.mean() * units_per_log_ratio);
  word.slow_weight = rounded<std::uint16_t>(slow_weight * units_per_weight);
  word.fast = rounded<std::int16_t>(this->own_temporary.mean() * units_per_log_ratio);
  word.fast_weight = rounded<std::uint16_t>(fast_weight * units_per_weight);
  return word;
}

double server_speed::lasting(const speed_rules& rules, timestamp now) const {
  return combined_mean(this->own_lasting, this->remote_lasting, 1, rules.max_weight,
                       rules.lasting_decay_time, now);
}

double server_speed::expected(const speed_rules& rules, timestamp now) const {
  const double before = rules.server_variance / rules.temporary_variance;
  const double fast = combined_mean(this->own_temporary, this->remote_temporary, before,
                                    rules.max_weight, rules.temporary_decay_time, now);
  return std::clamp(this->lasting(rules, now) + fast, -max_log_ratio, max_log_ratio);
}

double server_speed::weight(const speed_rules& rules, timestamp now) const {
  return this->own_lasting.weight_at(rules.max_weight, rules.lasting_decay_time, now) +
         this->remote_lasting.weight_at(rules.max_weight, rules.lasting_decay_time, now);
}

void speed_mean::add(const speed_estimate& word, duration age, const speed_rules& rules) {
  this->lasting.add(log_ratio_of(word.slow), weight_of(word.slow_weight),
                    decay_factor(age, rules.lasting_decay_time));
  this->temporary.add(log_ratio_of(word.fast), weight_of(word.fast_weight),
                      decay_factor(age, rules.temporary_decay_time));
}

void speed_mean::decayed_sum::add(double log_ratio, double weight, double decay) {
  this->log_ratios += weight * decay * log_ratio;
  this->decayed_weight += weight * decay;
  this->whole += weight;
}

double speed_mean::decayed_sum::weight(double upper_bound) const {
  // The weight is capped before it decays, so that the reports of many hosts are forgotten as soon
  // as that of one.
  return this->whole > upper_bound ? this->decayed_weight * upper_bound / this->whole
                                   : this->decayed_weight;
}

speed_estimate speed_mean::word(const speed_rules& rules) const {
  const auto reported = [&](const decayed_sum& sum) {
    return rounded<std::uint16_t>(sum.weight(rules.max_weight) * units_per_weight);
  };
  speed_estimate mean;
  mean.slow_weight = reported(this->lasting);
  mean.fast_weight = reported(this->temporary);
  if (mean.slow_weight > 0) {
    mean.slow = rounded<std::int16_t>(this->lasting.log_ratios / this->lasting.decayed_weight *
                                      units_per_log_ratio);
  }
  if (mean.fast_weight > 0) {
    mean.fast = rounded<std::int16_t>(this->temporary.log_ratios / this->temporary.decayed_weight *
                                      units_per_log_ratio);
  }
  return mean;
}

std::optional<slowdown_sample> typical_times::compare(std::uint64_t kind, timed_part part,
                                                      duration took, double load_slowdown,
                                                      double expected, const speed_rules& rules) {
  kind_times& times = this->kinds[{kind, part}];
  const double log_time = std::log(std::max(to_seconds(took), min_seconds) / load_slowdown);
  ++times.calls;
  if (times.calls == 1) {
    times.mean = log_time;
    return std::nullopt;
  }
  const double from_typical = log_time - times.mean;
  const double log_ratio =
      std::clamp(from_typical - this->common_slowdown, -max_log_ratio, max_log_ratio);
  const double residual = log_ratio - expected;
  const double variance = std::max(times.variance, min_variance);
  const double newest_weight = std::max(typical_newest_weight, 1.0 / times.calls);
  times.mean += newest_weight * from_typical;
  times.variance += newest_weight * (residual * residual - times.variance);
  if (times.calls <= min_calls_to_compare) {
    return std::nullopt;
  }
  this->common_slowdown += common_newest_weight * residual;
  return slowdown_sample{log_ratio, rules.server_variance / variance};
}

}  // namespace hawthornlane
