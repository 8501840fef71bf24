// Choice of owners and replicas by rendezvous hashing.
#include "hawthornlane/ownership/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace hawthornlane {
namespace {

std::uint64_t weight(shard_id shard, const host_id& host) {
  return XXH3_64bits_withSeed(host.get().data(), host.get().size(), shard.get() + 1);
}

bool contains(const std::vector<host_incarnation>& hosts, const host_incarnation& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

bool is_placeable(const std::vector<placeable_host>& hosts, const host_incarnation& host) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&host](const placeable_host& item) { return item.id == host; });
}

/// Position of `self` in `order`; nothing when it is not there.
std::optional<std::size_t> position(const std::vector<host_incarnation>& order,
                                    const host_incarnation& self) {
  const auto found = std::find(order.begin(), order.end(), self);
  if (found == order.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - order.begin());
}

}  // namespace

std::vector<placeable_host> ranked(shard_id shard, std::vector<placeable_host> hosts) {
  std::sort(hosts.begin(), hosts.end(), [shard](const placeable_host& a, const placeable_host& b) {
    return weight(shard, a.id.host) > weight(shard, b.id.host);
  });
  return hosts;
}

std::vector<host_incarnation> choose_replicas(shard_id shard, const placeable_host& owner,
                                              const std::vector<placeable_host>& hosts,
                                              const std::vector<host_incarnation>& keep,
                                              std::size_t count) {
  const std::vector<placeable_host> order = ranked(shard, hosts);
  std::vector<host_incarnation> chosen;
  std::set<availability_zone> zones{owner.zone};
  const auto add = [&](const placeable_host& host) {
    const bool fits = chosen.size() < count && host.id != owner.id && !contains(chosen, host.id);
    if (fits) {
      chosen.push_back(host.id);
      zones.insert(host.zone);
    }
  };
  for (const placeable_host& host : order) {
    if (contains(keep, host.id)) {
      add(host);
    }
  }
  for (const placeable_host& host : order) {
    if (!zones.contains(host.zone)) {
      add(host);
    }
  }
  for (const placeable_host& host : order) {
    add(host);
  }
  return chosen;
}

std::optional<duration> claim_delay(shard_id shard, const assignment& entry,
                                    const host_incarnation& self,
                                    const std::vector<placeable_host>& hosts,
                                    const has_ended& ended, duration stagger) {
  const bool owned = entry.at > epoch(0);
  if (owned && !ended(entry.owner)) {
    return std::nullopt;
  }
  std::vector<host_incarnation> order;
  if (owned) {
    for (const host_incarnation& replica : entry.replicas) {
      if (is_placeable(hosts, replica)) {
        order.push_back(replica);
      }
    }
  }
  if (order.empty()) {
    for (const placeable_host& host : ranked(shard, hosts)) {
      order.push_back(host.id);
    }
  }
  const auto rank = position(order, self);
  if (!rank) {
    return std::nullopt;
  }
  return stagger * static_cast<duration::rep>(*rank);
}

std::optional<shard_move> next_move(const host_incarnation& self,
                                    const std::map<host_incarnation, std::size_t>& owned,
                                    const std::vector<placeable_host>& hosts) {
  const auto count_of = [&owned](const host_incarnation& host) {
    const auto found = owned.find(host);
    return found == owned.end() ? std::size_t{0} : found->second;
  };
  const auto fewer = [&count_of](const placeable_host& a, const placeable_host& b) {
    const std::size_t left = count_of(a.id);
    const std::size_t right = count_of(b.id);
    return left != right ? left < right : a.id < b.id;
  };
  if (hosts.empty()) {
    return std::nullopt;
  }
  const auto [fewest, most] = std::minmax_element(hosts.begin(), hosts.end(), fewer);
  const std::size_t excess = count_of(most->id) - count_of(fewest->id);
  constexpr std::size_t min_excess = 2;
  if (most->id != self || excess < min_excess) {
    return std::nullopt;
  }
  return shard_move{fewest->id, excess / 2};
}

}  // namespace hawthornlane
