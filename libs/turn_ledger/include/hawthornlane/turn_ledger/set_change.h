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
  /// It has answered lately, or has been silent for a short time only.
  bool reachable = true;
  /// The operator wants its host emptied.
  bool retiring = false;
  /// So much of the time to empty it has passed that it leaves without a spare.
  bool must_leave = false;
  /// The epoch of the joint set up to which it has copied.
  set_epoch copied;
};

/// Everything that one disk host knows when it decides.
struct set_view {
  disk_id self;
  /// Nothing before the first set was made.
  std::optional<ledger_set> set;
  /// Registered disks, this one included. A member that is not among them is lost:
  /// its host has come back with an empty disk or has been removed.
  std::vector<disk_view> disks;
  /// The first disk that can make a change makes it. So many before this one have
  /// had their time and did not: they may not reach the store.
  std::size_t skipped_candidates = 0;
  /// Disks that a set should have: twice the losses to be borne at once, and one.
  std::size_t target_size = 3;
};

/// What this disk host should do now.
enum class set_step : std::uint8_t {
  nothing,
  /// Write the proposed set if the store still holds the one decided upon.
  propose,
  /// Raise the fence at a read quorum of the old members, copy what they hold, and
  /// then report the joint set's epoch as copied.
  copy,
};

struct set_decision {
  set_step step = set_step::nothing;
  ledger_set proposed;
  const char* reason = "";
};

/// Old members from which a copier must have copied, after it raised their fences:
/// so many that every majority of the old set has one of them.
std::size_t read_quorum(const std::vector<disk_id>& members);

/// Decides for one disk host. Several may decide at once: each change is a
/// conditional update, so one wins.
set_decision decide_set_change(const set_view& view);

}  // namespace hawthornlane
