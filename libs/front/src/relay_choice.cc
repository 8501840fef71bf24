// Chooses the front host that relays requests to a disk host.
#include "hawthornlane/front/relay_choice.h"

#include <tuple>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane::front {
namespace {

/// Ordered by disk hosts reached, then the asker's zone, then a hash that differs per asker.
using relay_rank = std::tuple<std::uint32_t, bool, std::uint64_t>;

relay_rank rank_of(const relay_candidate& candidate, std::uint64_t asker_key,
                   const availability_zone& zone) {
  const std::uint64_t order = rendezvous_weight(candidate.name.get(), asker_key);
  return {candidate.disks_reached, candidate.zone == zone, order};
}

}  // namespace

std::optional<host_id> choose_relay(const std::vector<relay_candidate>& candidates,
                                    const host_id& asker, const availability_zone& zone) {
  const std::uint64_t asker_key = rendezvous_weight(asker.get(), 0);
  const relay_candidate* best = nullptr;
  for (const relay_candidate& candidate : candidates) {
    if (candidate.disks_reached == 0) {
      continue;
    }
    if (best == nullptr || rank_of(candidate, asker_key, zone) > rank_of(*best, asker_key, zone)) {
      best = &candidate;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->name);
}

}  // namespace hawthornlane::front
