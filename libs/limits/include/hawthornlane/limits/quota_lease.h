// Which share of the quotas a host manages, and whether it can be sure that it still does. No I/O,
// clock or randomness.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_set.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// How long a confirmation by the store, or by a majority of the set, is valid. A member that has
/// been silent for longer may be replaced.
constexpr duration quota_lease_duration = std::chrono::milliseconds(2000);

/// Time for which a confirmation may be on its way to a host, whose lease begins when it arrives.
constexpr duration max_confirmation_delay = std::chrono::milliseconds(500);

/// The last response of another disk to a probe, or what this disk itself knows.
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

/// The share of each quota that a host manages while the set changes. It shrinks at once. It grows
/// only when no other host can still grant by its larger share of an earlier set: each such host
/// knows the newer set, or its lease has ended. Otherwise both would grant the same share.
class quota_share_tracker {
public:
  /// Call this with each newer set that the store returns. The first one is in force at once.
  void adopt(const ledger_set& newer, const disk_id& self, timestamp now) {
    if (this->set) {
      this->note_reductions(newer, now);
    } else {
      this->managed = quota_share(newer, self);
    }
    this->set = newer;
  }

  /// Share at this time. `reports`: the newest sets that the other disks know.
  double share(const disk_id& self, const std::vector<member_probe_result>& reports,
               timestamp now) {
    std::erase_if(this->reductions, [&reports, now](const auto& item) {
      const disk_id& disk = item.first;
      const reduction& reduced = item.second;
      const auto knows = [&](const member_probe_result& report) {
        return report.disk == disk && report.fence >= reduced.epoch;
      };
      return now >= reduced.lease_end || std::any_of(reports.begin(), reports.end(), knows);
    });
    const double wanted = this->set ? quota_share(*this->set, self) : 0.0;
    this->managed = this->reductions.empty() ? wanted : std::min(this->managed, wanted);
    return this->managed;
  }

private:
  /// A host's share has become smaller.
  struct reduction {
    /// Of the set that made it smaller.
    set_epoch epoch;
    /// The host may grant by its earlier share until then, if it has not heard of that set.
    timestamp lease_end{};
  };

  void note_reductions(const ledger_set& newer, timestamp now) {
    for (const disk_id& disk : this->set->all()) {
      if (quota_share(newer, disk) < quota_share(*this->set, disk)) {
        this->reductions[disk] = {newer.epoch, now + quota_lease_duration + max_confirmation_delay};
      }
    }
  }

  std::optional<ledger_set> set;
  double managed = 0;
  std::map<disk_id, reduction> reductions;
};

/// What a member of the set knows about its membership.
struct quota_lease_view {
  disk_id self;
  const ledger_set& set;
  /// When the store last confirmed `set` to this process.
  timestamp set_confirmed_at{};
  /// Latest responses of the other disks, and the newest set that this one has been told of.
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
