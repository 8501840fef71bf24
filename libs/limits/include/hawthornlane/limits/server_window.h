// Limits the calls in flight at one backend server.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Bounds and targets of a window; sizes in calls.
struct window_limits {
  double least = 1;
  double most = 64;
  double initial = 8;
  /// The time between tokens that callers are promised.
  duration token_time_target = std::chrono::milliseconds(29);
};

/// Adapts to a backend server's measured time between tokens: additive increase while the target is
/// met and the window is full, multiplicative decrease while it is missed. Engines have no
/// priorities, and only calls that are still outside the engine can be reordered. The window keeps
/// the excess outside.
class server_window {
public:
  explicit server_window(window_limits bounds) : limits(bounds), current(bounds.initial) {}

  /// A call ended with this mean time between tokens.
  void on_finished(duration token_time, bool window_was_full) {
    constexpr double decrease = 0.93;
    constexpr double slack = 0.9;
    if (token_time > this->limits.token_time_target) {
      this->current = std::max(this->limits.least, this->current * decrease);
    } else if (window_was_full && token_time < this->limits.token_time_target * slack) {
      this->current = std::min(this->limits.most, this->current + 1.0 / this->current);
    }
  }
  /// The server failed or has just come back: halve the window.
  void on_failed() { this->current = std::max(this->limits.least, this->current / 2); }

  [[nodiscard]] std::int64_t size() const { return static_cast<std::int64_t>(this->current); }

private:
  window_limits limits;
  /// Calls. Invariant: between `least` and `most`.
  double current;
};

}  // namespace hawthornlane
