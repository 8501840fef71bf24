// The periodic duty that claims, replicates and moves shards.
#pragma once

#include <map>
#include <vector>

#include "hawthornlane/node/host_view.h"
#include "hawthornlane/node/runtime.h"
#include "hawthornlane/node/shard_table.h"
#include "hawthornlane/ownership/placement.h"

namespace hawthornlane {

/// Looks at every shard now and then; all decisions are the placement library's
/// and the shard cores'. Used from one thread at a time.
class ownership_manager {
public:
  ownership_manager(runtime& time, shard_table& shards, host_view& hosts, std::size_t replicas);

  /// Claims shards whose owners ended; call about twice a second.
  void claim_orphans();
  /// Brings replica sets to their size and replaces ended hosts.
  void maintain_replicas();
  /// Moves at most `most` shards to hosts that own fewer.
  void rebalance(std::size_t most);
  /// Hands every owned shard to a replica; the number still owned.
  std::size_t hand_over_all();
  /// Ticks every core that has work.
  void tick();
  [[nodiscard]] std::size_t owned() const;

private:
  std::vector<placeable_host> placeable() const;
  placeable_host own() const;

  runtime& time;
  shard_table& shards;
  host_view& hosts;
  std::size_t replicas;
  /// Since when a shard has been seen without an owner.
  std::map<shard_id, timestamp> orphaned_since;
};

}  // namespace hawthornlane
