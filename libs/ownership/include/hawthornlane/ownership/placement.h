// Which hosts should own and replicate a shard: preference only, never safety.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/ownership/assignment.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A host that may get work.
struct placeable_host {
  host_incarnation id;
  availability_zone zone;
};

/// Whether that incarnation of a host is known to have ended.
using has_ended = std::function<bool(const host_incarnation&)>;

/// Hosts in the order in which they should own `shard`: the same at every host
/// that sees the same hosts, and little changed when one comes or goes.
std::vector<placeable_host> ranked(shard_id shard, std::vector<placeable_host> hosts);

/// Replicas for a shard owned by `owner`: those of `keep` that are still there,
/// then others, zones that hold no copy yet first; at most `count`.
std::vector<host_incarnation> choose_replicas(shard_id shard, const placeable_host& owner,
                                              const std::vector<placeable_host>& hosts,
                                              const std::vector<host_incarnation>& keep,
                                              std::size_t count);

/// How long `self` should wait before it claims a shard whose owner has ended or
/// that never had one; nothing when it should not claim. Replicas go first, in
/// rank order, `stagger` apart; when none of them is left, any host may.
std::optional<duration> claim_delay(shard_id shard, const assignment& entry,
                                    const host_incarnation& self,
                                    const std::vector<placeable_host>& hosts,
                                    const has_ended& ended, duration stagger);

/// Shards that this host should give to another one.
struct shard_move {
  host_incarnation to;
  std::size_t count = 0;
};

/// A move that evens out the counts: only the host with the most shards gives,
/// to the one with the fewest, and at most half of the difference, so that hosts
/// that all decide at once do not swap shards to and fro.
std::optional<shard_move> next_move(const host_incarnation& self,
                                    const std::map<host_incarnation, std::size_t>& owned,
                                    const std::vector<placeable_host>& hosts);

}  // namespace hawthornlane
