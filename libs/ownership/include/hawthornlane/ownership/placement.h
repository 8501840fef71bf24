// Chooses the hosts that should own and replicate a shard. Safety does not depend on it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/ownership/assignment.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A host that may own or replicate shards.
struct placeable_host {
  host_incarnation id;
  availability_zone zone;
};

/// Whether that incarnation of a host is known to have ended.
using has_ended = std::function<bool(const host_incarnation&)>;

/// Orders the hosts by their preference as owners of `shard`, by rendezvous hashing. Hosts with
/// the same list get the same order, and a host that joins or leaves changes it little.
std::vector<placeable_host> ranked(shard_id shard, std::vector<placeable_host> hosts);

/// Chooses at most `count` replicas for a shard of `owner`: first the hosts of `keep` that are
/// still in `hosts`, then hosts of zones without a copy, then any others.
std::vector<host_incarnation> choose_replicas(shard_id shard, const placeable_host& owner,
                                              const std::vector<placeable_host>& hosts,
                                              const std::vector<host_incarnation>& keep,
                                              std::size_t count);

/// Time that `self` should wait before it claims a shard that has no owner or whose owner has
/// ended; nothing when it should not claim. The replicas claim in their order in `entry`,
/// `stagger` apart. When none of them is left, any host may claim, in the order of `ranked`.
std::optional<duration> claim_delay(shard_id shard, const assignment& entry,
                                    const host_incarnation& self,
                                    const std::vector<placeable_host>& hosts,
                                    const has_ended& ended, duration stagger);

/// Number of shards that this host should hand over to another one.
struct shard_move {
  host_incarnation to;
  std::size_t count = 0;
};

/// The next move that balances the numbers of shards. Only the host with the most shards moves
/// any, to the host with the fewest, and at most half of the difference; otherwise hosts that
/// decide at the same time would move shards back and forth.
std::optional<shard_move> next_move(const host_incarnation& self,
                                    const std::map<host_incarnation, std::size_t>& owned,
                                    const std::vector<placeable_host>& hosts);

}  // namespace hawthornlane
