// Which share of the quotas a host manages, and how long it can be sure of it. Two hosts that grant
// the same share exceed the quota.
#include "hawthornlane/limits/quota_lease.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

disk_id disk(char name) { return disk_id(std::string(1, name)); }

std::vector<disk_id> disks(const std::string& names) {
  std::vector<disk_id> all;
  for (const char name : names) {
    all.push_back(disk(name));
  }
  return all;
}

timestamp at(duration time) { return timestamp{} + time; }

}  // namespace

TEST_CASE(
    "hosts that know different sets during a change do not manage more than the whole quota") {
  struct row {
    const char* what;
    std::string members;
    std::string next;
    /// Shares of `a` and of `e` under the joint set.
    double share_of_a;
    double share_of_e;
  };
  const row item = GENERATE(values<row>({
      {"the set does not change", "abc", "", 1.0 / 3, 0},
      {"e takes a's place", "abc", "bce", 0, 0},
      {"two join", "abc", "abcde", 0.2, 0},
      {"one leaves", "abcde", "abcd", 0.2, 0},
      {"only a remains", "ae", "a", 0.5, 0},
  }));
  INFO(item.what);
  const ledger_set before{set_epoch(1), disks(item.members), {}};
  const ledger_set joint{set_epoch(2), disks(item.members), disks(item.next)};
  const ledger_set after{set_epoch(3), disks(item.next.empty() ? item.members : item.next), {}};
  CHECK(quota_share(joint, disk('a')) == Approx(item.share_of_a));
  CHECK(quota_share(joint, disk('e')) == Approx(item.share_of_e));
  // Each host knows the joint set, the one before it or the one after it.
  for (const ledger_set& other : {before, after}) {
    double most = 0;
    for (const disk_id& host : disks("abcde")) {
      most += std::max(quota_share(joint, host), quota_share(other, host));
    }
    CHECK(most <= 1 + 1e-9);
  }
}

TEST_CASE("a lease is not held without a recent confirmation or when a newer set is known") {
  struct row {
    const char* what;
    duration set_confirmed;
    /// When `b` and `c` last responded, and the fence that `b` reported.
    duration b_responded;
    duration c_responded;
    std::uint64_t fence_of_b;
    bool holds;
  };
  const row item = GENERATE(values<row>({
      {"the store has just confirmed the set", 9s, 0s, 0s, 0, true},
      {"a majority responds", 0s, 9s, 0s, 0, true},
      {"no other member responds", 0s, 0s, 0s, 0, false},
      {"the other members have become silent", 0s, 7s, 7s, 0, false},
      {"a member reports the fence of the same set", 0s, 9s, 9s, 4, true},
      {"a responding member reports a newer set", 0s, 9s, 9s, 5, false},
      {"a member that has become silent reported a newer set", 9s, 2s, 9s, 5, false},
  }));
  INFO(item.what);
  const ledger_set set{set_epoch(4), disks("abc"), {}};
  quota_lease_view view{disk('a'), set, at(item.set_confirmed), {}};
  view.probe_results = {{disk('b'), at(item.b_responded), set_epoch(item.fence_of_b)},
                        {disk('c'), at(item.c_responded), set_epoch(0)}};
  CHECK(holds_quota_lease(view, at(10s)) == item.holds);
}
