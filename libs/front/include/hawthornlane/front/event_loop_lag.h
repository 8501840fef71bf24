// How long this host's own event loop has stood still. No I/O or clock: passes are told.
//
// Answers a host that waits for its share of the processor, as all do at a start of 300 hosts:
// answers to its probes lie unread meanwhile, and by the time alone it would suspect everybody.
#pragma once

#include <algorithm>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Sums up the time by which passes of the event loop came late.
class event_loop_lag {
public:
  /// A pass that comes this long after the one before is not late: two paces of the sweeper that
  /// brings them about, 25 ms each.
  static constexpr duration fair_gap = std::chrono::milliseconds(50);

  explicit event_loop_lag(timestamp now) : last_pass(now) {}

  /// The event loop has come round again.
  void pass(timestamp now) {
    this->sum = this->total(now);
    this->last_pass = now;
  }
  /// Since the start, the gap that lasts included; only rises.
  [[nodiscard]] duration total(timestamp now) const {
    const duration over = now - this->last_pass - fair_gap;
    return this->sum + std::max(over, duration::zero());
  }

private:
  timestamp last_pass;
  duration sum{};
};

}  // namespace hawthornlane::front
