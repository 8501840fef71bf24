// Measures the lag of this host's event loop. No I/O or clock: the caller reports each pass.
//
// Avoids false suspicions on a host that waits for CPU time, as all hosts do when 300 start at
// once: answers to its probes are unread meanwhile, and by elapsed time alone it would suspect
// every peer.
#pragma once

#include <algorithm>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Sums up the delays of event loop passes.
class event_loop_lag {
public:
  /// The longest interval between two passes that does not count as lag: two periods of the
  /// sweeper that drives the passes, 25 ms each.
  static constexpr duration tolerated_gap = std::chrono::milliseconds(50);

  explicit event_loop_lag(timestamp now) : last_pass_at(now) {}

  /// Records a pass of the event loop.
  void record_pass(timestamp now) {
    this->sum = this->total(now);
    this->last_pass_at = now;
  }
  /// Total lag since the start, including the current interval. Never decreases.
  [[nodiscard]] duration total(timestamp now) const {
    const duration delay = now - this->last_pass_at - tolerated_gap;
    return this->sum + std::max(delay, duration::zero());
  }

private:
  timestamp last_pass_at;
  duration sum{};
};

}  // namespace hawthornlane::front
