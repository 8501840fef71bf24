// Claims, replicates and moves shards.
#include "hawthornlane/node/ownership_manager.h"

#include <algorithm>

namespace hawthornlane {
namespace {

constexpr duration claim_delay_step = std::chrono::milliseconds(800);
/// A shard must be without an owner for this long before it is claimed. After a start, this
/// leaves time for the shard map and the member list to arrive.
constexpr duration min_ownerless_time = std::chrono::milliseconds(300);

bool same_set(std::vector<host_incarnation> a, std::vector<host_incarnation> b) {
  std::sort(a.begin(), a.end());
  std::sort(b.begin(), b.end());
  return a == b;
}

}  // namespace

ownership_manager::ownership_manager(runtime& clock, shard_table& table, host_view& view,
                                     std::size_t replica_count)
    : time(clock), shards(table), hosts(view), replicas(replica_count) {}

std::vector<placeable_host> ownership_manager::placeable_hosts() const {
  std::vector<placeable_host> out;
  for (const member& host : this->hosts.usable()) {
    out.push_back({host.id, host.zone});
  }
  return out;
}

placeable_host ownership_manager::self_host() const {
  const member self = this->hosts.self();
  return {self.id, self.zone};
}

void ownership_manager::claim_orphans() {
  const timestamp now = this->time.now();
  const std::vector<placeable_host> candidates = this->placeable_hosts();
  const placeable_host self = this->self_host();
  const has_ended ended = [this](const host_incarnation& host) {
    return this->hosts.has_ended(host);
  };
  for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
    const shard_id shard(number);
    assignment entry;
    bool is_follower = false;
    this->shards.read(shard, [&](const shard_core& core) {
      entry = core.known_assignment();
      is_follower = core.role() == shard_core::role_kind::follower && !core.proposal_open();
    });
    const auto delay = is_follower
                           ? claim_delay(shard, entry, self.id, candidates, ended, claim_delay_step)
                           : std::nullopt;
    if (!delay) {
      this->ownerless_since.erase(shard);
      continue;
    }
    const auto [since, first] = this->ownerless_since.emplace(shard, now);
    if (now - since->second < min_ownerless_time + *delay) {
      continue;
    }
    this->ownerless_since.erase(shard);
    std::vector<host_incarnation> next =
        choose_replicas(shard, self, candidates, entry.replicas, this->replicas);
    this->shards.change(shard, [&](shard_core& core) {
      return core.claim(std::move(next), this->time.random(), now);
    });
  }
}

void ownership_manager::maintain_replicas() {
  const std::vector<placeable_host> candidates = this->placeable_hosts();
  const placeable_host self = this->self_host();
  for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
    const shard_id shard(number);
    this->shards.change(shard, [&](shard_core& core) -> actions {
      if (!core.serving() || core.proposal_open()) {
        return {};
      }
      const std::vector<host_incarnation>& current = core.known_assignment().replicas;
      std::vector<host_incarnation> next =
          choose_replicas(shard, self, candidates, current, this->replicas);
      // A replica that is suspected but has not ended is kept, since dropping it would lose a copy.
      for (const host_incarnation& replica : current) {
        const bool kept = std::find(next.begin(), next.end(), replica) != next.end();
        if (!kept && next.size() < this->replicas && !this->hosts.has_ended(replica)) {
          next.push_back(replica);
        }
      }
      // Adds new replicas first; old ones are removed once enough replicas are in sync, and even
      // those that have ended only once one that stays is: `change_replicas` refuses it earlier.
      const bool in_sync = core.in_sync_replicas() >= std::min(next.size(), current.size());
      const bool one_stays = std::any_of(
          next.begin(), next.end(),
          [&core](const host_incarnation& replica) { return core.is_in_sync(replica); });
      for (const host_incarnation& replica : current) {
        const bool kept = std::find(next.begin(), next.end(), replica) != next.end();
        if (!kept && (!one_stays || (!in_sync && !this->hosts.has_ended(replica)))) {
          next.push_back(replica);
        }
      }
      if (same_set(next, current)) {
        return {};
      }
      return core.change_replicas(std::move(next), this->time.random(), this->time.now());
    });
  }
}

void ownership_manager::rebalance(std::size_t max_moves) {
  std::map<host_incarnation, std::size_t> counts;
  std::vector<shard_id> owned_shards;
  this->shards.read_all([&](const shard_core& core) {
    ++counts[core.known_assignment().owner];
    if (core.serving() && core.open_calls() == 0) {
      owned_shards.push_back(core.shard());
    }
  });
  const placeable_host self = this->self_host();
  const auto move = next_move(self.id, counts, this->placeable_hosts());
  if (!move) {
    return;
  }
  std::size_t moved = 0;
  for (const shard_id shard : owned_shards) {
    if (moved == std::min(max_moves, move->count)) {
      break;
    }
    this->shards.change(shard, [&](shard_core& core) -> actions {
      if (!core.serving() || core.proposal_open()) {
        return {};
      }
      std::vector<host_incarnation> replicas_now = core.known_assignment().replicas;
      const bool is_replica =
          std::find(replicas_now.begin(), replicas_now.end(), move->to) != replicas_now.end();
      ++moved;
      if (is_replica) {
        return core.hand_over(move->to);
      }
      replicas_now.push_back(move->to);
      return core.change_replicas(std::move(replicas_now), this->time.random(), this->time.now());
    });
  }
}

std::size_t ownership_manager::hand_over_all() {
  const std::vector<placeable_host> candidates = this->placeable_hosts();
  std::size_t still_owned = 0;
  for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
    this->shards.change(shard_id(number), [&](shard_core& core) -> actions {
      if (core.role() == shard_core::role_kind::follower) {
        return {};
      }
      ++still_owned;
      for (const host_incarnation& replica : core.known_assignment().replicas) {
        const bool usable =
            std::any_of(candidates.begin(), candidates.end(),
                        [&replica](const placeable_host& host) { return host.id == replica; });
        if (usable) {
          return core.hand_over(replica);
        }
      }
      return {};
    });
  }
  return still_owned;
}

void ownership_manager::tick() {
  const timestamp now = this->time.now();
  for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
    this->shards.change(shard_id(number), [now](shard_core& core) { return core.tick(now); });
  }
  this->shards.check_next();
}

std::size_t ownership_manager::owned() const {
  std::size_t count = 0;
  this->shards.read_all([&count](const shard_core& core) { count += core.serving() ? 1 : 0; });
  return count;
}

}  // namespace hawthornlane
