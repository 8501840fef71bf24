// When a front host that is to leave turns calls away, and when it may end. No I/O or clock.
#pragma once

#include <chrono>
#include <cstddef>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// `since`: the time since the planned stop began.
struct shutdown_policy {
  /// From the beginning of the stop until the process is killed.
  duration grace{};
  /// How long an answer to callers who ask for addresses stays good.
  duration address_time{};

  /// Callers keep an address answer up to three times as long as it says.
  static constexpr int longest_keep_factor = 3;
  /// Before the kill, so that what is still under way ends by itself.
  static constexpr duration stop_margin = std::chrono::milliseconds(400);
  /// Calls that come this long before the end are turned away: callers then find
  /// another host, while a call taken now might be cut by the kill.
  static constexpr duration turn_away_before = std::chrono::milliseconds(3200);

  [[nodiscard]] bool turns_away(duration since) const {
    return since >= this->grace - turn_away_before;
  }

  /// Callers cannot know the host any more, or find it turning them away.
  [[nodiscard]] bool is_forgotten(duration since) const {
    return since >= this->address_time * longest_keep_factor || this->turns_away(since);
  }

  [[nodiscard]] bool may_end(duration since, std::size_t calls_under_way) const {
    const bool idle = calls_under_way == 0;
    return (this->is_forgotten(since) && idle) || since >= this->grace - stop_margin;
  }
};

}  // namespace hawthornlane::front
