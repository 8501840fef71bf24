// When and how the set of disks changes. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane {

/// A disk host as another disk host sees it.
struct disk_view {
  disk_id disk;
  /// It has responded lately, or has been silent only for a short time.
  bool reachable = true;
  /// The operator is draining its host.
  bool retiring = false;
  /// So little of the time for draining is left that it must leave the set even without a spare
  /// disk that replaces it.
  bool must_leave = false;
  /// Epoch of the latest joint set for which it has copied all records.
  set_epoch copied;
  /// False if it is silent. A reachable disk that is silent may be lost, but not for long enough to
  /// be replaced.
  bool answers = true;
  /// It has been silent for so long that the set should go on without it if no disk can replace it.
  bool abandoned = false;
};

/// Everything that a disk host's decision depends on.
struct set_view {
  disk_id self;
  /// Empty before the first set is created.
  std::optional<ledger_set> set;
  /// Registered disks, including this one. A member that is not registered is lost: its host came
  /// back with an empty disk or was removed.
  std::vector<disk_view> disks;
  /// When a change is due, the reachable candidates may make it one after the other, in the order
  /// of their ids; the first that can does. This is the number of candidates that have had their
  /// time and have not made it, perhaps because they cannot reach the store.
  std::size_t skipped_candidates = 0;
  /// The set has been joint for so long that a joining disk must be unable to copy, although it
  /// answers. The change is then taken back, so that another disk can join.
  bool joint_overdue = false;
  /// Disks that a set should have: twice the losses to tolerate at once, plus one.
  std::size_t target_size = 3;
};

/// What this disk host should do now.
enum class set_step : std::uint8_t {
  nothing,
  /// Write the proposed set if the store still holds the set that the decision is based on.
  propose,
  /// Raise the fence at a read quorum of the old members, copy their records, and then report the
  /// joint set's epoch as copied.
  copy,
};

struct set_decision {
  set_step step = set_step::nothing;
  ledger_set proposed;
  const char* reason = "";
};

/// Number of old members that a joining disk must copy from, after it has raised their fences:
/// enough that every majority of the old set contains one of them.
std::size_t read_quorum(const std::vector<disk_id>& members);

/// Whether this disk, which is to retire, may be removed: it is no member, and the set does not
/// need it in place of a lost one.
bool may_complete_retirement(const set_view& view);

/// Decides for one disk host. Several hosts may decide at the same time: each change is a
/// conditional update, so only one succeeds.
set_decision decide_set_change(const set_view& view);

}  // namespace hawthornlane
