// Which share of the quotas a host manages, and whether it can be sure that it still does. No I/O,
// clock or randomness.
#pragma once

#include <algorithm>
#include <set>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_set.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// How long a confirmation by the store, or by a majority of the set, is valid. A member that has
/// been silent for longer may be replaced.
constexpr duration quota_lease_duration = std::chrono::milliseconds(2000);

/// The last response of another disk to a probe.
struct member_probe_result {
  disk_id disk;
  timestamp received_at{};
  /// Epoch of the newest set that `disk` knows, e.g. because a joining disk has announced it. If it
  /// is above the epoch of this host's set, this host may have been replaced.
  set_epoch fence;
};

/// The share of each quota that a disk's host manages under this set. While the set is joint, the
/// next set may come into force before this host learns of it. So a member manages the smaller of
/// its shares in both: one that leaves manages none, and one that joins starts with the next set.
inline double quota_share(const ledger_set& set, const disk_id& self) {
  const auto share_in = [&self](const std::vector<disk_id>& disks) {
    const bool is_in = std::find(disks.begin(), disks.end(), self) != disks.end();
    return is_in ? 1.0 / static_cast<double>(disks.size()) : 0.0;
  };
  const double now = share_in(set.members);
  return set.joint() ? std::min(now, share_in(set.next)) : now;
}

/// What a member of the set knows about its membership.
struct quota_lease_view {
  disk_id self;
  const ledger_set& set;
  /// When the store last confirmed `set` to this process.
  timestamp set_confirmed_at{};
  /// Latest responses of the other disks.
  std::vector<member_probe_result> probe_results;
};

/// True if no other host can have replaced this one: within `quota_lease_duration` the store has
/// confirmed the set or a majority has responded, and no responder knows a newer set. This lets a
/// member that is cut off from the store detect its replacement: a joining disk raises the fence at
/// so many members that every majority contains one of them.
inline bool holds_quota_lease(const quota_lease_view& view, timestamp now) {
  const bool is_outdated =
      std::any_of(view.probe_results.begin(), view.probe_results.end(),
                  [&view](const member_probe_result& word) { return word.fence > view.set.epoch; });
  if (is_outdated) {
    return false;
  }
  if (now - view.set_confirmed_at < quota_lease_duration) {
    return true;
  }
  std::set<disk_id> responding{view.self};
  for (const member_probe_result& word : view.probe_results) {
    if (now - word.received_at < quota_lease_duration) {
      responding.insert(word.disk);
    }
  }
  return ledger_set::majority_of(view.set.members, responding);
}

}  // namespace hawthornlane
