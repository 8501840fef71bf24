// Guards against overload when many hosts are suspected: messages that name too many hosts, and too
// many probes sent because others suspect a host.
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

TEST_CASE("a message names a limited number of suspects, and all of them in turn") {
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
    std::set<host_key> named_so_far;
    for (int message = 0; message < item.messages_until_all; ++message) {
      CHECK(named_so_far.size() < suspects.size());
      const std::vector<host_key> named = limits.select_to_name(suspects);
      CHECK(named.size() == item.named);
      named_so_far.insert(named.begin(), named.end());
    }
    CHECK(named_so_far == suspects);
  }
}

TEST_CASE("the rotation continues when the host named last is no longer suspected") {
  host_round_robin rotation;
  std::set<host_key> suspects = keys_of(10);
  CHECK(rotation.next(suspects, 4).back() == host_key(4));
  suspects.erase(host_key(4));
  CHECK(rotation.next(suspects, 2) == std::vector{host_key(5), host_key(6)});
}

TEST_CASE("a probe round probes a limited number of reported hosts, and all of them in turn") {
  suspicion_limits limits;
  const std::set<host_key> confirmation_due = keys_of(30);
  std::map<host_key, int> probed;
  for (int round = 0; round < 5; ++round) {
    const auto chosen = limits.select_to_probe(confirmation_due);
    CHECK(chosen.size() == suspicion_limits::max_probes_per_round);
    CHECK_FALSE(limits.admit_reported_probe());
    for (const host_key host : chosen) {
      ++probed[host];
    }
  }
  for (const host_key host : confirmation_due) {
    CHECK(probed[host] == 2);
  }
  // Probes left over in a round may go to hosts that are reported before the next round.
  CHECK(limits.select_to_probe(keys_of(11)).size() == 11);
  CHECK(limits.admit_reported_probe());
  CHECK_FALSE(limits.admit_reported_probe());
}
