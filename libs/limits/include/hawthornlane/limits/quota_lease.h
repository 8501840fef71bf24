// Which part of the quotas a host keeps, and whether it may be sure that it still does. No I/O,
// clock or randomness.
#pragma once

#include <algorithm>
#include <set>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_set.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// For so long the word of the store, or of a majority of the set, holds. A member that has been
/// silent for longer may be replaced.
constexpr duration quota_lease_duration = std::chrono::milliseconds(3000);

/// The last answer of another disk to a probe.
struct member_probe_result {
  disk_id disk;
  timestamp received_at{};
  /// The epoch of the newest set of which that disk has been told by one that joins it.
  set_epoch fence;
};

/// The part of each quota that a disk's host keeps by this set. While the set is joint the next
/// one may come into force unheard, so that a member keeps what it has in both: one that leaves
/// keeps nothing, one that joins begins with the next set.
inline double quota_share(const ledger_set& set, const disk_id& self) {
  const auto part_in = [&self](const std::vector<disk_id>& disks) {
    const bool is_in = std::find(disks.begin(), disks.end(), self) != disks.end();
    return is_in ? 1.0 / static_cast<double>(disks.size()) : 0.0;
  };
  const double now = part_in(set.members);
  return set.joint() ? std::min(now, part_in(set.next)) : now;
}

/// What a member of the set knows of its place in it.
struct quota_lease_view {
  disk_id self;
  const ledger_set& set;
  /// When the store last named `set`, while this process ran.
  timestamp set_confirmed_at{};
  std::vector<member_probe_result> heard;
};

/// Nobody can have put another host in this one's place: the store has just named it, or a
/// majority answers it, and none of them knows of a newer set. A member that the store does not
/// reach learns in this way that its place was given away: whoever joins a set raises the fence
/// at so many members that every majority has one of them.
inline bool holds_quota_lease(const quota_lease_view& view, timestamp now) {
  const bool is_outdated =
      std::any_of(view.heard.begin(), view.heard.end(),
                  [&view](const member_probe_result& word) { return word.fence > view.set.epoch; });
  if (is_outdated) {
    return false;
  }
  if (now - view.set_confirmed_at < quota_lease_duration) {
    return true;
  }
  std::set<disk_id> answering{view.self};
  for (const member_probe_result& word : view.heard) {
    if (now - word.received_at < quota_lease_duration) {
      answering.insert(word.disk);
    }
  }
  return ledger_set::majority_of(view.set.members, answering);
}

}  // namespace hawthornlane
