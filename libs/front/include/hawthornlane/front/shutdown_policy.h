// Decides when a stopping front host rejects calls and when it may exit. No I/O or clock.
#pragma once

#include <chrono>
#include <cstddef>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Rules of a planned stop. Parameter `elapsed`: time since the stop began.
struct shutdown_policy {
  /// Time from the beginning of the stop until the process is killed.
  duration grace{};
  /// How long an address answer is valid.
  duration address_time{};

  /// Callers may keep an address answer for up to three times its validity.
  static constexpr int max_address_age_factor = 3;
  /// With calls still in flight the host exits this long before the kill, so that it ends by
  /// itself.
  static constexpr duration exit_margin = std::chrono::milliseconds(400);
  /// Calls that arrive within this time before the kill are rejected, since the kill might cut them
  /// off; callers then use another host.
  static constexpr duration rejection_window = std::chrono::milliseconds(3200);

  [[nodiscard]] bool rejects_calls(duration elapsed) const {
    return elapsed >= this->grace - rejection_window;
  }

  /// Whether no caller can still hold an address answer with this host, or calls are rejected.
  [[nodiscard]] bool is_address_expired(duration elapsed) const {
    return elapsed >= this->address_time * max_address_age_factor || this->rejects_calls(elapsed);
  }

  [[nodiscard]] bool may_exit(duration elapsed, std::size_t calls_under_way) const {
    const bool idle = calls_under_way == 0;
    return (this->is_address_expired(elapsed) && idle) || elapsed >= this->grace - exit_margin;
  }
};

}  // namespace hawthornlane::front
