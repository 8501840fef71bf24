// Which part of the quotas a host keeps, and for how long it may be sure that it does.
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

TEST_CASE("hosts that know one of two sets that follow each other keep no more than the whole") {
  struct row {
    const char* what;
    std::string members;
    std::string next;
    /// Of `a` and of `e` by the joint set.
    double part_of_a;
    double part_of_e;
  };
  const row item = GENERATE(values<row>({
      {"a set that stays", "abc", "", 1.0 / 3, 0},
      {"e takes a's place", "abc", "bce", 0, 0},
      {"two join", "abc", "abcde", 0.2, 0},
      {"one leaves", "abcde", "abcd", 0.2, 0},
      {"a is left alone", "ae", "a", 0.5, 0},
  }));
  INFO(item.what);
  const ledger_set before{set_epoch(1), disks(item.members), {}};
  const ledger_set joint{set_epoch(2), disks(item.members), disks(item.next)};
  const ledger_set after{set_epoch(3), disks(item.next.empty() ? item.members : item.next), {}};
  CHECK(quota_share(joint, disk('a')) == Approx(item.part_of_a));
  CHECK(quota_share(joint, disk('e')) == Approx(item.part_of_e));
  // Each host knows of the joint set and, as may be, of the one before or behind it.
  for (const ledger_set& other : {before, after}) {
    double most = 0;
    for (const disk_id& host : disks("abcde")) {
      most += std::max(quota_share(joint, host), quota_share(other, host));
    }
    CHECK(most <= 1 + 1e-9);
  }
}

TEST_CASE("a lease ends with the word of the store, of a majority, or of a newer set") {
  struct row {
    const char* what;
    duration told;
    /// When `b` and `c` last answered, and the fence that `b` named.
    duration b;
    duration c;
    std::uint64_t fence_of_b;
    bool holds;
  };
  const row item = GENERATE(values<row>({
      {"the store has just named the set", 9s, 0s, 0s, 0, true},
      {"a majority answers", 0s, 9s, 0s, 0, true},
      {"nobody answers", 0s, 0s, 0s, 0, false},
      {"those who answered fell silent", 0s, 7s, 7s, 0, false},
      {"the fence of this very set", 0s, 9s, 9s, 4, true},
      {"a newer set, by one that answers", 0s, 9s, 9s, 5, false},
      {"a newer set, by one that fell silent", 9s, 2s, 9s, 5, false},
  }));
  INFO(item.what);
  const ledger_set set{set_epoch(4), disks("abc"), {}};
  quota_lease_view view{disk('a'), set, at(item.told), {}};
  view.heard = {{disk('b'), at(item.b), set_epoch(item.fence_of_b)},
                {disk('c'), at(item.c), set_epoch(0)}};
  CHECK(holds_quota_lease(view, at(10s)) == item.holds);
}
