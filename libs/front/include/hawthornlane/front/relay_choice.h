// Chooses the front host that relays requests to a disk host that is not reachable directly. No
// I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane::front {

/// A front host that could relay requests.
struct relay_candidate {
  host_id name;
  availability_zone zone;
  /// Number of disk hosts that it reaches directly.
  std::uint32_t disks_reached = 0;
};

/// Chooses the relay for `asker`: the candidates that reach the most disk hosts, preferably in
/// `zone`, ranked by a hash of both hosts so that askers use different relays. When all used the
/// same relay, 20 hosts that were cut off from the disk hosts waited 175 to 440 ms for a turn's
/// admission instead of 20 ms. Returns nothing if no candidate reaches a disk host.
std::optional<host_id> choose_relay(const std::vector<relay_candidate>& candidates,
                                    const host_id& asker, const availability_zone& zone);

}  // namespace hawthornlane::front
