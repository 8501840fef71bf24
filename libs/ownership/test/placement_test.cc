// Tests of the choice of owners and replicas.
#include "hawthornlane/ownership/placement.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hawthornlane;

namespace {

std::vector<placeable_host> hosts_of(std::size_t count) {
  std::vector<placeable_host> hosts;
  for (std::size_t at = 0; at < count; ++at) {
    hosts.push_back({{host_id("host-" + std::to_string(at)), incarnation(at + 1)},
                     availability_zone("zone-" + std::to_string(at % 3))});
  }
  return hosts;
}

const has_ended nobody = [](const host_incarnation&) { return false; };
const has_ended everybody = [](const host_incarnation&) { return true; };
constexpr duration stagger = std::chrono::seconds(1);

}  // namespace

TEST_CASE("owner and replicas of a shard are in different zones if there are enough zones") {
  const auto hosts = hosts_of(9);
  for (std::uint32_t shard = 0; shard < 50; ++shard) {
    const auto replicas = choose_replicas(shard_id(shard), hosts[0], hosts, {}, 2);
    REQUIRE(replicas.size() == 2);
    std::set<std::size_t> zones{0};
    for (const host_incarnation& replica : replicas) {
      zones.insert((replica.start.get() - 1) % 3);
    }
    INFO("shard " << shard);
    CHECK(zones.size() == 3);
  }
}

TEST_CASE("replicas that are still available are kept") {
  const auto hosts = hosts_of(9);
  const std::vector<host_incarnation> keep{hosts[5].id, hosts[8].id};
  const auto replicas = choose_replicas(shard_id(3), hosts[0], hosts, keep, 2);
  CHECK(std::set<host_incarnation>(replicas.begin(), replicas.end()) ==
        std::set<host_incarnation>(keep.begin(), keep.end()));
}

// Claims at the same time compete for the same map entry. Other hosts have no copy of the log.
TEST_CASE("only replicas claim a shard whose owner ended, one after the other") {
  const auto hosts = hosts_of(5);
  assignment entry;
  entry.at = epoch(4);
  entry.owner = hosts[0].id;
  entry.replicas = {hosts[2].id, hosts[3].id};
  CHECK_FALSE(claim_delay(shard_id(1), entry, hosts[2].id, hosts, nobody, stagger));
  CHECK(claim_delay(shard_id(1), entry, hosts[2].id, hosts, everybody, stagger) == duration(0));
  CHECK(claim_delay(shard_id(1), entry, hosts[3].id, hosts, everybody, stagger) == stagger);
  CHECK_FALSE(claim_delay(shard_id(1), entry, hosts[4].id, hosts, everybody, stagger));
}

TEST_CASE("any host claims a shard when no host that holds its log is left") {
  const auto hosts = hosts_of(4);
  assignment entry;
  entry.at = epoch(4);
  entry.owner = {host_id("lost"), incarnation(99)};
  std::size_t claims = 0;
  for (const placeable_host& host : hosts) {
    claims += claim_delay(shard_id(1), entry, host.id, hosts, everybody, stagger) ? 1 : 0;
  }
  CHECK(claims == 4);
}

// All hosts decide from the same counts in each round. Moves of more than half of the difference
// would go back and forth.
TEST_CASE("balancing ends when all hosts decide at the same time") {
  auto hosts = hosts_of(3);
  std::map<host_incarnation, std::size_t> owned{
      {hosts[0].id, 16}, {hosts[1].id, 0}, {hosts[2].id, 0}};
  int rounds = 0;
  bool moved = true;
  while (moved && rounds < 50) {
    moved = false;
    ++rounds;
    const auto seen = owned;
    for (const placeable_host& host : hosts) {
      if (const auto move = next_move(host.id, seen, hosts)) {
        owned[host.id] -= move->count;
        owned[move->to] += move->count;
        moved = true;
      }
    }
  }
  INFO("rounds " << rounds);
  CHECK(rounds < 10);
  for (const placeable_host& host : hosts) {
    CHECK(owned[host.id] >= 5);
    CHECK(owned[host.id] <= 6);
  }
}
