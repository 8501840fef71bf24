// Which of two front hosts probes the other one next. No I/O, clock or randomness.
#pragma once

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Probes between this host and one other.
struct probe_times {
  /// When this host last sent one.
  timestamp tried{};
  /// When it last sent one that was answered.
  timestamp probed{};
  /// When the other host's last probe came.
  timestamp was_probed{};
};

/// Whether this host probes the other one now. A probe and its answer tell both hosts all
/// that they would tell each other, so they take turns, one probe a `pause`: were both to probe
/// at every pause, 83 hosts would send 5,200 a second (worked out), of which half tell nothing
/// new. A probe that fails is sent again sooner, by either host.
/// `goes_first` is true for one of the two: its turn it is when both probed at once.
[[nodiscard]] bool is_probe_due(const probe_times& moments, bool goes_first, duration pause,
                                timestamp now);

}  // namespace hawthornlane::front
