// How many suspects a message names and how many hosts are probed on others' word.
#include "hawthornlane/front/suspicion_limits.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

std::set<host_key> keys_of(std::uint32_t count) {
  std::set<host_key> keys;
  for (std::uint32_t number = 0; number < count; ++number) {
    keys.insert(host_key(number));
  }
  return keys;
}

}  // namespace

TEST_CASE("a message names few suspects, and all of them in turn") {
  struct row {
    std::uint32_t suspects;
    std::size_t named;
    int messages_until_all;
  };
  const row rows[] = {{0, 0, 0}, {1, 1, 1}, {48, 48, 1}, {49, 48, 2}, {299, 48, 7}};
  for (const row& item : rows) {
    INFO(item.suspects << " suspects");
    suspicion_limits limits;
    const std::set<host_key> suspects = keys_of(item.suspects);
    std::set<host_key> told;
    for (int message = 0; message < item.messages_until_all; ++message) {
      CHECK(told.size() < suspects.size());
      const std::vector<host_key> named = limits.to_name(suspects);
      CHECK(named.size() == item.named);
      told.insert(named.begin(), named.end());
    }
    CHECK(told == suspects);
  }
}

TEST_CASE("the turn goes on when the host that was named last is no more suspected") {
  host_round_robin rotation;
  std::set<host_key> suspects = keys_of(10);
  CHECK(rotation.next(suspects, 4).back() == host_key(4));
  suspects.erase(host_key(4));
  CHECK(rotation.next(suspects, 2) == std::vector{host_key(5), host_key(6)});
}

TEST_CASE("few hosts are probed on others' word between two looks, and all of them in turn") {
  suspicion_limits limits;
  const std::set<host_key> doubted = keys_of(30);
  std::map<host_key, int> probed;
  for (int look = 0; look < 5; ++look) {
    const auto chosen = limits.to_probe(doubted);
    CHECK(chosen.size() == suspicion_limits::most_probes);
    CHECK_FALSE(limits.admit_probe());
    for (const host_key host : chosen) {
      ++probed[host];
    }
  }
  for (const host_key host : doubted) {
    CHECK(probed[host] == 2);
  }
  // What a look leaves may go to hosts that others tell of before the next one.
  CHECK(limits.to_probe(keys_of(11)).size() == 11);
  CHECK(limits.admit_probe());
  CHECK_FALSE(limits.admit_probe());
}
