// Which front host passes a question on to a disk host. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane::front {

/// A front host that could pass questions on.
struct relay_candidate {
  host_id name;
  availability_zone zone;
  /// Disk hosts that it reaches itself.
  std::uint32_t disks_reached = 0;
};

/// The one that `asker` uses: of those that reach the most disk hosts one in its zone, and
/// each asker another one. When all used the same, 20 hosts that were cut off from the disk
/// hosts waited 175 to 440 ms for a turn's admission, in place of 20 ms. Nothing when no
/// candidate reaches a disk host.
std::optional<host_id> choose_relay(const std::vector<relay_candidate>& candidates,
                                    const host_id& asker, const availability_zone& zone);

}  // namespace hawthornlane::front
