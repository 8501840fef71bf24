// Decides which of two front hosts sends the next probe. No I/O, clock or randomness.
#pragma once

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Times of the last probes between this host and one peer.
struct probe_times {
  /// When this host last sent a probe.
  timestamp last_sent{};
  /// When this host sent the last probe that was answered.
  timestamp last_acked{};
  /// When the last probe of the peer arrived.
  timestamp last_received{};
};

/// Whether this host probes the peer now. A probe and its answer carry the state of both hosts, so
/// the two take turns, one probe per interval. If both probed in every interval, 83 hosts would
/// send 5,200 probes a second, half of them redundant. A failed probe is retried
/// sooner, by either host. `goes_first` is true for exactly one of the two hosts, which probes next
/// after both probed at the same time.
[[nodiscard]] bool is_probe_due(const probe_times& times, bool goes_first, duration probe_interval,
                                timestamp now);

/// Phase within the probe interval, from 0 to 1, at which a pair of hosts starts to probe, spread
/// evenly over pairs.
[[nodiscard]] double probe_phase(const host_id& host, const host_id& other);

}  // namespace hawthornlane::front
