// All programs of one shard, as replicated between an owner and its replicas.
#pragma once

#include <map>

#include "hawthornlane/program/program_state.h"

namespace hawthornlane {

/// The state that the records of one shard's log lead to.
struct shard_state {
  std::map<program_id, program_state> programs;
  /// The first epoch from which on the log is complete: a call with a ticket of an older epoch may
  /// have run without a record in this state. Invariant: while one owner serves, it decreases only
  /// once every replica that was missing at the takeover is sealed.
  epoch first_complete_epoch;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->programs, this->first_complete_epoch);
  }
};

/// Applies one record; returns false and changes nothing when it contradicts the state.
///
/// `index` is the record's position and `full` the last position that every replica is known to
/// hold.
bool apply(shard_state& state, const log_record& record, record_index index, record_index full);

/// Merges `other`, the state of the log of a replica that was sealed at an older epoch, into
/// `base`. Where histories diverge, the history of `base` remains; the calls of `other` are added
/// to `diverged_turns` and charged.
void merge_state(shard_state& base, const shard_state& other);

}  // namespace hawthornlane
