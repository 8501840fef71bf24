// The set of disks that replicate turns and budgets, and its majorities.
#pragma once

#include <algorithm>
#include <set>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// Identity of a disk's contents, created at first use. An emptied disk gets a new one.
using disk_id = strong_value<struct disk_id_tag, std::string>;
/// Number of a set; rises by one with each change. Disks refuse requests with a lower
/// epoch than that of the newest set that they know.
using set_epoch = strong_value<struct set_epoch_tag, std::uint64_t>;

/// The disks of one epoch. While `next` is not empty the set is joint: a decision needs a majority
/// of the current members and a majority of the next ones.
struct ledger_set {
  set_epoch epoch;
  std::vector<disk_id> members;
  std::vector<disk_id> next;

  [[nodiscard]] bool joint() const { return !this->next.empty(); }

  [[nodiscard]] bool has_majority(const std::set<disk_id>& answered) const {
    return majority_of(this->members, answered) &&
           (!this->joint() || majority_of(this->next, answered));
  }

  [[nodiscard]] bool has_all(const std::set<disk_id>& answered) const {
    const std::vector<disk_id> all_disks = this->all();
    return std::all_of(all_disks.begin(), all_disks.end(),
                       [&answered](const disk_id& disk) { return answered.contains(disk); });
  }

  /// Members of either set, without duplicates.
  [[nodiscard]] std::vector<disk_id> all() const {
    std::set<disk_id> all_disks(this->members.begin(), this->members.end());
    all_disks.insert(this->next.begin(), this->next.end());
    return {all_disks.begin(), all_disks.end()};
  }

  [[nodiscard]] static bool majority_of(const std::vector<disk_id>& disks,
                                        const std::set<disk_id>& answered) {
    const auto count = std::count_if(disks.begin(), disks.end(),
                                     [&](const disk_id& disk) { return answered.contains(disk); });
    return static_cast<std::size_t>(count) * 2 > disks.size();
  }

  friend bool operator==(const ledger_set&, const ledger_set&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->members, this->next);
  }
};

}  // namespace hawthornlane
