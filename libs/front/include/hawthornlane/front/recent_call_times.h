// The longest times that calls of each route have lately taken at servers. No I/O, clock or
// randomness.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

#include "hawthornlane/fleet/configuration.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Keeps the longest time of the current period and of the one before it.
class recent_call_times {
public:
  /// `took`: time at the server of a call that was answered, or that was given up.
  void record(const route_name& route, duration took, timestamp now) {
    this->begin_period(now);
    duration& longest_time = this->current[route];
    longest_time = std::max(longest_time, took);
  }

  /// Nothing if no call of the route has ended in the last two periods.
  [[nodiscard]] std::optional<duration> longest(const route_name& route, timestamp now) {
    this->begin_period(now);
    std::optional<duration> found;
    for (const auto* period : {&this->current, &this->previous}) {
      const auto item = period->find(route);
      if (item != period->end()) {
        found = std::max(found.value_or(duration{}), item->second);
      }
    }
    return found;
  }

private:
  static constexpr duration period = std::chrono::seconds(60);

  void begin_period(timestamp now) {
    if (now < this->period_ends) {
      return;
    }
    const bool is_next = now < this->period_ends + period;
    this->previous = is_next ? std::move(this->current) : std::map<route_name, duration>();
    this->current.clear();
    this->period_ends = now + period;
  }

  timestamp period_ends{};
  std::map<route_name, duration> current;
  std::map<route_name, duration> previous;
};

}  // namespace hawthornlane::front
