// All programs of one shard, as replicated between an owner and its replicas.
#pragma once

#include <map>

#include "hawthornlane/program/program_state.h"

namespace hawthornlane {

/// The materialised log of one shard.
struct shard_state {
  std::map<program_id, program_state> programs;
  /// Tickets of epochs below this may have been run without a trace in this
  /// state. Invariant: it never falls while one owner serves, except when every
  /// replica that was missing at its takeover has been sealed.
  epoch unknown_below;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->programs, this->unknown_below);
  }
};

/// Applies one record; false when it contradicts the state, which is then unchanged.
///
/// `index` is the record's position and `full` the last position that every
/// replica is known to hold.
bool apply(shard_state& state, const log_record& record, record_index index, record_index full);

/// Merges into `base` what only `other` knows: the log of a replica that was
/// sealed at an older epoch. Where histories part, `base` stays the history and
/// the other calls are kept as side answers and charged.
void absorb(shard_state& base, const shard_state& other);

}  // namespace hawthornlane
