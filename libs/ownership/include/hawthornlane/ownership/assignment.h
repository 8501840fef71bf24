// Entries of the platform's shard map: the owner and the replicas of a shard.
#pragma once

#include <cstdint>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// One entry of the shard map. It is changed only by conditional update.
struct assignment {
  /// Increases by one with each change of owner. 0: the shard was never owned.
  epoch at;
  host_incarnation owner;
  /// Hosts that hold the log in addition to the owner. Never contains the owner.
  std::vector<host_incarnation> replicas;
  /// Chosen by the proposer to recognise its own write.
  std::uint64_t nonce = 0;

  friend bool operator==(const assignment&, const assignment&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->owner, this->replicas, this->nonce);
  }
};

/// Result of a conditional update of the shard map.
enum class proposal_outcome : std::uint8_t {
  applied,
  rejected,
  /// The answer was lost: the write may have been applied, or may still be applied later.
  unknown,
};

}  // namespace hawthornlane
