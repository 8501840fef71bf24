// Limits the calls in flight at one backend server.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Bounds and targets of a window, the limit of calls in flight at one server. Sizes in calls.
struct window_limits {
  double min_size = 1;
  double max_size = 64;
  double initial_size = 8;
  /// The time between tokens that callers are promised.
  duration token_time_target = std::chrono::milliseconds(29);
};

/// A window that adapts to the server's measured time between tokens: additive increase while the
/// target is met and the window is full, multiplicative decrease while the target is missed.
/// Engines have no priorities, and only calls that are still outside the engine can be reordered.
/// So calls beyond the window wait outside.
class server_window {
public:
  explicit server_window(window_limits configured)
      : limits(configured), window_size(configured.initial_size) {}

  /// A call ended with this mean time between tokens.
  void on_finished(duration token_time, bool window_was_full) {
    constexpr double decrease_factor = 0.93;
    constexpr double slack = 0.9;
    if (token_time > this->limits.token_time_target) {
      this->window_size = std::max(this->limits.min_size, this->window_size * decrease_factor);
    } else if (window_was_full && token_time < this->limits.token_time_target * slack) {
      this->window_size =
          std::min(this->limits.max_size, this->window_size + 1.0 / this->window_size);
    }
  }
  /// The server failed or has just come back: halve the window.
  void on_failed() { this->window_size = std::max(this->limits.min_size, this->window_size / 2); }

  [[nodiscard]] std::int64_t size() const { return static_cast<std::int64_t>(this->window_size); }

private:
  window_limits limits;
  /// Calls. Invariant: between `min_size` and `max_size`.
  double window_size;
};

}  // namespace hawthornlane
