// When and how the set of disks changes.
#include "hawthornlane/turn_ledger/set_change.h"

#include <algorithm>

namespace hawthornlane {
namespace {

/// A smaller set cannot lose a disk and keep every record.
constexpr std::size_t min_members = 2;

bool contains(const std::vector<disk_id>& disks, const disk_id& disk) {
  return std::find(disks.begin(), disks.end(), disk) != disks.end();
}

std::vector<disk_id> without(std::vector<disk_id> disks, const disk_id& disk) {
  std::erase(disks, disk);
  return disks;
}

const disk_view* find(const set_view& view, const disk_id& disk) {
  for (const disk_view& item : view.disks) {
    if (item.disk == disk) {
      return &item;
    }
  }
  return nullptr;
}

bool is_reachable(const set_view& view, const disk_id& disk) {
  const disk_view* item = find(view, disk);
  return item != nullptr && item->reachable;
}

/// True if this disk may act among `disks`: the first reachable one may act at once, and each later
/// one when those before it have had their time.
bool may_act(const set_view& view, std::vector<disk_id> disks) {
  std::sort(disks.begin(), disks.end());
  std::size_t before = 0;
  for (const disk_id& disk : disks) {
    if (!is_reachable(view, disk)) {
      continue;
    }
    if (disk == view.self) {
      return before <= view.skipped_candidates;
    }
    ++before;
  }
  return false;
}

/// True if this disk reaches, itself included, so many members that records can be copied from
/// them. Without them a change could not end, and this disk may be the one that is cut off.
bool reaches_read_quorum(const set_view& view, const ledger_set& set) {
  const auto reached = std::count_if(set.members.begin(), set.members.end(),
                                     [&](const disk_id& disk) { return is_reachable(view, disk); });
  return static_cast<std::size_t>(reached) >= read_quorum(set.members);
}

/// Number of members below which a set does not fall by choice.
std::size_t needed_members(const set_view& view) { return std::min(min_members, view.target_size); }

/// True if a set of these disks can go on after the loss of one of them.
bool bears_a_loss(const set_view& view, const std::vector<disk_id>& disks) {
  return disks.size() >= needed_members(view) &&
         std::all_of(disks.begin(), disks.end(), [&view](const disk_id& disk) {
           const disk_view* item = find(view, disk);
           return item != nullptr && item->reachable && item->answers;
         });
}

/// True if the joint set only lets go of disks that are lost.
bool lets_go_of_lost(const set_view& view, const ledger_set& joint) {
  std::vector<disk_id> leaving = joint.members;
  std::erase_if(leaving, [&joint](const disk_id& disk) { return contains(joint.next, disk); });
  return !leaving.empty() &&
         std::none_of(leaving.begin(), leaving.end(),
                      [&view](const disk_id& disk) { return is_reachable(view, disk); });
}

ledger_set next_epoch(const ledger_set& from) {
  ledger_set proposed = from;
  proposed.epoch = from.epoch.next();
  return proposed;
}

set_decision propose_first(const set_view& view) {
  std::vector<disk_id> disks;
  for (const disk_view& item : view.disks) {
    if (!item.retiring) {
      disks.push_back(item.disk);
    }
  }
  std::sort(disks.begin(), disks.end());
  if (disks.empty() || disks.front() != view.self) {
    return {};
  }
  disks.resize(std::min(disks.size(), view.target_size));
  return {set_step::propose, {set_epoch(1), disks, {}}, "first set"};
}

/// The disks that must have copied before the joint set may end.
std::vector<disk_id> required_copiers(const ledger_set& set) {
  if (set.next.size() < set.members.size()) {
    return set.next;
  }
  std::vector<disk_id> joiners;
  for (const disk_id& disk : set.next) {
    if (!contains(set.members, disk)) {
      joiners.push_back(disk);
    }
  }
  return joiners;
}

set_decision decide_joint(const set_view& view, const ledger_set& set) {
  const std::vector<disk_id> copiers = required_copiers(set);
  const auto has_copied = [&](const disk_id& disk) {
    const disk_view* item = find(view, disk);
    return item != nullptr && item->copied >= set.epoch;
  };
  if (contains(copiers, view.self) && !has_copied(view.self)) {
    return {set_step::copy, {}, "joining"};
  }
  const bool all_copied = std::all_of(copiers.begin(), copiers.end(), has_copied);
  if (all_copied && (lets_go_of_lost(view, set) || bears_a_loss(view, set.next))) {
    if (!may_act(view, set.next)) {
      return {};
    }
    ledger_set proposed = next_epoch(set);
    proposed.members = set.next;
    proposed.next.clear();
    return {set_step::propose, proposed, "copied"};
  }
  const bool copier_unreachable = std::any_of(
      copiers.begin(), copiers.end(),
      [&](const disk_id& disk) { return !has_copied(disk) && !is_reachable(view, disk); });
  const bool member_lost =
      all_copied && !std::all_of(set.next.begin(), set.next.end(),
                                 [&view](const disk_id& disk) { return is_reachable(view, disk); });
  const bool may_abandon = copier_unreachable || member_lost || view.joint_overdue;
  if (may_abandon && reaches_read_quorum(view, set) && may_act(view, set.members)) {
    ledger_set proposed = next_epoch(set);
    proposed.next.clear();
    return {set_step::propose, proposed,
            copier_unreachable ? "a joining disk is gone"
            : member_lost      ? "another member is gone"
                               : "a joining disk does not copy"};
  }
  return {};
}

/// The disks that may join. A retiring one does if the set needs it and there is no other.
std::vector<disk_id> spares_of(const set_view& view, const ledger_set& set, bool has_lost_disk) {
  std::vector<disk_id> spares;
  std::vector<disk_id> retiring;
  for (const disk_view& item : view.disks) {
    if (item.reachable && !contains(set.members, item.disk)) {
      (item.retiring ? retiring : spares).push_back(item.disk);
    }
  }
  const bool needs_one = has_lost_disk || set.members.size() < needed_members(view);
  return spares.empty() && needs_one ? retiring : spares;
}

set_decision decide_single(const set_view& view, const ledger_set& set) {
  if (!reaches_read_quorum(view, set)) {
    return {};
  }
  std::vector<disk_id> lost;
  std::vector<disk_id> retiring;
  std::vector<disk_id> due;
  for (const disk_id& disk : set.members) {
    const disk_view* item = find(view, disk);
    if (item == nullptr || !item->reachable) {
      lost.push_back(disk);
    } else if (item->retiring) {
      retiring.push_back(disk);
      if (item->must_leave) {
        due.push_back(disk);
      }
    }
  }
  const std::vector<disk_id> spares = spares_of(view, set, !lost.empty());
  // With two disks both must confirm each record, so the loss of one blocks the set. The other one
  // has every confirmed record, so it can continue alone until a disk joins.
  if (set.members.size() == min_members && lost.size() == 1) {
    const std::vector<disk_id> remaining = without(set.members, lost.front());
    if (!may_act(view, remaining)) {
      return {};
    }
    ledger_set proposed = next_epoch(set);
    proposed.next = remaining;
    return {set_step::propose, proposed, "one of two is lost"};
  }
  const std::vector<disk_id>& leaving = retiring.empty() ? lost : retiring;
  const bool too_few = set.members.size() < view.target_size;
  if (!spares.empty() && (!leaving.empty() || too_few)) {
    if (!may_act(view, spares)) {
      return {};
    }
    ledger_set proposed = next_epoch(set);
    proposed.next = set.members;
    // Replace a lost disk first: without it the set tolerates one loss less.
    if (!lost.empty()) {
      proposed.next = without(set.members, lost.front());
    } else if (!retiring.empty()) {
      proposed.next = without(set.members, retiring.front());
    }
    proposed.next.push_back(view.self);
    if (proposed.next.size() < needed_members(view)) {
      // A retiring disk that is alone stays beside the spare.
      proposed.next = set.members;
      proposed.next.push_back(view.self);
    }
    if (lost.empty() && !bears_a_loss(view, proposed.next)) {
      return {};
    }
    const bool grows = proposed.next.size() > set.members.size();
    return {set_step::propose, proposed, grows ? "too few disks" : "replacement"};
  }
  const disk_view* lost_view = lost.empty() ? nullptr : find(view, lost.front());
  const bool is_abandoned = lost.size() == 1 && (lost_view == nullptr || lost_view->abandoned);
  // No disk replaces the lost one. A set of two bears a further loss, which this one does not.
  if (is_abandoned && set.members.size() == min_members + 1) {
    const std::vector<disk_id> remaining = without(set.members, lost.front());
    if (!bears_a_loss(view, remaining) || !may_act(view, remaining)) {
      return {};
    }
    ledger_set proposed = next_epoch(set);
    proposed.next = remaining;
    return {set_step::propose, proposed, "loss without a successor"};
  }
  const bool may_shrink = lost.empty() && set.members.size() > min_members;
  // A retiring disk stays a member until it must leave: a smaller set would tolerate no loss in the
  // meantime.
  if (!due.empty() && may_shrink) {
    const std::vector<disk_id> remaining = without(set.members, due.front());
    if (!bears_a_loss(view, remaining) || !may_act(view, remaining)) {
      return {};
    }
    ledger_set proposed = next_epoch(set);
    proposed.next = remaining;
    return {set_step::propose, proposed, "retirement without a spare"};
  }
  return {};
}

}  // namespace

std::size_t read_quorum(const std::vector<disk_id>& members) {
  const std::size_t majority = members.size() / 2 + 1;
  return members.size() - majority + 1;
}

bool may_complete_retirement(const set_view& view) {
  return view.set && !contains(view.set->all(), view.self) && bears_a_loss(view, view.set->members);
}

set_decision decide_set_change(const set_view& view) {
  if (!view.set) {
    return propose_first(view);
  }
  return view.set->joint() ? decide_joint(view, *view.set) : decide_single(view, *view.set);
}

}  // namespace hawthornlane
