// How fast a backend server is, by the times of calls at it.
#include "hawthornlane/placement/server_speed.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornlane {
namespace {

/// Part of a new time in what is usual, once some fifty are known.
constexpr double usual_newest_part = 0.02;
/// Part of a new time in what all calls took of late: a host sees some twenty calls a second,
/// so this follows a load within a second.
constexpr double common_newest_part = 0.05;
/// Below the quickest call that is measured.
constexpr double least_seconds = 0.001;
/// Calls of a kind before one says something of its server.
constexpr std::uint32_t calls_to_compare = 5;
/// The most that single samples are taken for: twenty times slower or faster.
constexpr double most_pace = 3;
/// Calls of a kind are taken to differ by a fifth at least.
constexpr double least_variance = 0.04;
constexpr double word_per_pace = 1000;
constexpr double word_per_weight = 8;

double fading_factor(duration age, duration fading) {
  return std::exp(-std::max(0.0, to_seconds(age)) / to_seconds(fading));
}

template <class Integer>
Integer rounded(double value) {
  constexpr double least = std::numeric_limits<Integer>::min();
  constexpr double most = std::numeric_limits<Integer>::max();
  return static_cast<Integer>(std::lround(std::clamp(value, least, most)));
}

double pace_of(std::int16_t word) { return word / word_per_pace; }
double weight_of(std::uint16_t word) { return word / word_per_weight; }

/// What own and told samples say together beside `before` of knowing nothing.
double joined(const fading_mean& own, const fading_mean& told, double before, double most,
              duration fading, timestamp now) {
  const double own_weight = own.weight_at(most, fading, now);
  const double told_weight = told.weight_at(most, fading, now);
  const double sum = own_weight * own.mean() + told_weight * told.mean();
  return sum / (own_weight + told_weight + before);
}

}  // namespace

void fading_mean::add(double sample, double by, duration fading, timestamp now) {
  const double before = this->faded(this->weight, fading, now);
  this->weight = before + by;
  this->renewed = now;
  if (by > 0) {
    this->value += by / this->weight * (sample - this->value);
  }
}

double fading_mean::weight_at(double most, duration fading, timestamp now) const {
  return this->faded(std::min(this->weight, most), fading, now);
}

double fading_mean::faded(double from, duration fading, timestamp now) const {
  return from == 0 ? 0 : from * fading_factor(now - this->renewed, fading);
}

void server_speed::note(const server_speed_sample& sample, const speed_rules& rules,
                        timestamp now) {
  const double from_slow = sample.pace - this->slow(rules, now);
  this->own_fast.add(from_slow, sample.weight, rules.fast_fading, now);
  this->own_slow.add(sample.pace, sample.weight, rules.slow_fading, now);
}

void server_speed::hear(const speed_word& word, timestamp now) {
  this->told_slow = {pace_of(word.slow), weight_of(word.slow_weight), now};
  this->told_fast = {pace_of(word.fast), weight_of(word.fast_weight), now};
}

speed_word server_speed::own_word(const speed_rules& rules, timestamp now) const {
  const double slow_weight = this->own_slow.weight_at(rules.most_weight, rules.slow_fading, now);
  const double fast_weight = this->own_fast.weight_at(rules.most_weight, rules.fast_fading, now);
  speed_word word;
  word.slow = rounded<std::int16_t>(this->own_slow.mean() * word_per_pace);
  word.slow_weight = rounded<std::uint16_t>(slow_weight * word_per_weight);
  word.fast = rounded<std::int16_t>(this->own_fast.mean() * word_per_pace);
  word.fast_weight = rounded<std::uint16_t>(fast_weight * word_per_weight);
  return word;
}

double server_speed::slow(const speed_rules& rules, timestamp now) const {
  return joined(this->own_slow, this->told_slow, 1, rules.most_weight, rules.slow_fading, now);
}

double server_speed::expected(const speed_rules& rules, timestamp now) const {
  const double before = rules.server_variance / rules.spell_variance;
  const double fast =
      joined(this->own_fast, this->told_fast, before, rules.most_weight, rules.fast_fading, now);
  return std::clamp(this->slow(rules, now) + fast, -most_pace, most_pace);
}

double server_speed::weight(const speed_rules& rules, timestamp now) const {
  return this->own_slow.weight_at(rules.most_weight, rules.slow_fading, now) +
         this->told_slow.weight_at(rules.most_weight, rules.slow_fading, now);
}

void speed_mean::add(const speed_word& word, duration age, const speed_rules& rules) {
  this->slow.add(pace_of(word.slow), weight_of(word.slow_weight),
                 fading_factor(age, rules.slow_fading));
  this->fast.add(pace_of(word.fast), weight_of(word.fast_weight),
                 fading_factor(age, rules.fast_fading));
}

void speed_mean::faded_sum::add(double pace, double weight, double fading) {
  this->slowdowns += weight * fading * pace;
  this->faded += weight * fading;
  this->whole += weight;
}

double speed_mean::faded_sum::weight(double most) const {
  // Capped before it fades: what many hosts have told is forgotten as soon as what one has.
  return this->whole > most ? this->faded * most / this->whole : this->faded;
}

speed_word speed_mean::word(const speed_rules& rules) const {
  const auto told = [&](const faded_sum& sum) {
    return rounded<std::uint16_t>(sum.weight(rules.most_weight) * word_per_weight);
  };
  speed_word mean;
  mean.slow_weight = told(this->slow);
  mean.fast_weight = told(this->fast);
  if (mean.slow_weight > 0) {
    mean.slow = rounded<std::int16_t>(this->slow.slowdowns / this->slow.faded * word_per_pace);
  }
  if (mean.fast_weight > 0) {
    mean.fast = rounded<std::int16_t>(this->fast.slowdowns / this->fast.faded * word_per_pace);
  }
  return mean;
}

std::optional<server_speed_sample> typical_times::compare(std::uint64_t kind, timed_part part,
                                                          duration took, double load,
                                                          double expected,
                                                          const speed_rules& rules) {
  kind_times& times = this->kinds[{kind, part}];
  const double log_time = std::log(std::max(to_seconds(took), least_seconds) / load);
  ++times.calls;
  if (times.calls == 1) {
    times.mean = log_time;
    return std::nullopt;
  }
  const double from_usual = log_time - times.mean;
  const double pace = std::clamp(from_usual - this->common, -most_pace, most_pace);
  const double unexplained = pace - expected;
  const double variance = std::max(times.variance, least_variance);
  const double newest_part = std::max(usual_newest_part, 1.0 / times.calls);
  times.mean += newest_part * from_usual;
  times.variance += newest_part * (unexplained * unexplained - times.variance);
  if (times.calls <= calls_to_compare) {
    return std::nullopt;
  }
  this->common += common_newest_part * unexplained;
  return server_speed_sample{pace, rules.server_variance / variance};
}

}  // namespace hawthornlane
