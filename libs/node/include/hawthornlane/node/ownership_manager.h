// The periodic task that claims, replicates and moves shards.
#pragma once

#include <map>
#include <vector>

#include "hawthornlane/node/host_view.h"
#include "hawthornlane/node/runtime.h"
#include "hawthornlane/node/shard_table.h"
#include "hawthornlane/ownership/placement.h"

namespace hawthornlane {

/// Checks every shard periodically. The decisions are made by the placement functions and
/// the shard cores. Not thread-safe: use it from one thread at a time.
class ownership_manager {
public:
  ownership_manager(runtime& time, shard_table& shards, host_view& hosts, std::size_t replicas);

  /// Claims shards whose owners have ended. Call about twice a second.
  void claim_orphans();
  /// Keeps the replica sets of owned shards at their size and replaces ended hosts.
  void maintain_replicas();
  /// Moves at most `max_moves` shards to hosts that own fewer.
  void rebalance(std::size_t max_moves);
  /// Starts to hand each owned shard over to a usable replica; returns the number of shards that
  /// this host still owns.
  std::size_t hand_over_all();
  /// Ticks every shard core and checks the invariants of the next shard.
  void tick();
  [[nodiscard]] std::size_t owned() const;

private:
  std::vector<placeable_host> placeable_hosts() const;
  placeable_host self_host() const;

  runtime& time;
  shard_table& shards;
  host_view& hosts;
  std::size_t replicas;
  /// For each shard without a live owner, when this host first noticed that.
  std::map<shard_id, timestamp> ownerless_since;
};

}  // namespace hawthornlane
