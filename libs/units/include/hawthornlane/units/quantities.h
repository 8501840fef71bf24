// Quantities with units: time on the scheduler's clock, and tokens.
#pragma once

#include <chrono>
#include <cstdint>

#include "hawthornlane/units/strong_value.h"

namespace hawthornlane {

/// Microseconds; used for every timeout and latency in the decision libraries.
using duration = std::chrono::microseconds;

/// The clock of the decision libraries. It has no `now()`: they never read the time, callers
/// pass it in.
struct scheduler_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<scheduler_clock>;
  static constexpr bool is_steady = true;
};

/// A point in time on the scheduler's clock; comparable only within one process.
using timestamp = scheduler_clock::time_point;

/// A number of model tokens; signed, so that a difference cannot wrap around.
using token_count = strong_value<struct token_count_tag, std::int64_t>;

constexpr token_count operator+(token_count a, token_count b) {
  return token_count(a.get() + b.get());
}
constexpr token_count operator-(token_count a, token_count b) {
  return token_count(a.get() - b.get());
}

/// Converts to seconds as a floating-point number, for models and metrics.
constexpr double to_seconds(duration d) { return std::chrono::duration<double>(d).count(); }

/// Converts from seconds, truncated to whole microseconds.
constexpr duration from_seconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace hawthornlane
