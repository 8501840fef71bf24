// Who owns a shard, as the platform's shard map says it.
#pragma once

#include <cstdint>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// One entry of the shard map; changed only by conditional update.
struct assignment {
  /// Rises by one with each change of owner; 0 means never owned.
  epoch at;
  host_incarnation owner;
  /// Hosts that hold the log besides the owner; never names the owner.
  std::vector<host_incarnation> replicas;
  /// Chosen by the proposer, so that it can recognise its own write.
  std::uint64_t nonce = 0;

  friend bool operator==(const assignment&, const assignment&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->owner, this->replicas, this->nonce);
  }
};

/// What became of a conditional update of the shard map.
enum class proposal_outcome : std::uint8_t {
  applied,
  rejected,
  /// The answer was lost: the write may have taken effect, or may do so later.
  unknown,
};

}  // namespace hawthornlane
