// Choice of the relay for requests to disk hosts, and its spread over the candidates.
#include "hawthornlane/front/relay_choice.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

relay_candidate host(const std::string& name, const std::string& zone, std::uint32_t disks) {
  return {host_id(name), availability_zone(zone), disks};
}

}  // namespace

TEST_CASE("the relay is the host that reaches the most disk hosts") {
  struct row {
    const char* what;
    std::vector<relay_candidate> candidates;
    std::optional<host_id> chosen;
  };
  const row rows[] = {
      {"no candidate", {}, std::nullopt},
      {"no candidate that reaches a disk", {host("a", "here", 0)}, std::nullopt},
      {"the most disks", {host("a", "here", 1), host("b", "there", 3)}, host_id("b")},
      {"the same zone", {host("a", "there", 3), host("b", "here", 3)}, host_id("b")},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(choose_relay(item.candidates, host_id("asker"), availability_zone("here")) ==
          item.chosen);
  }
}

TEST_CASE("askers spread over the relays that reach equally many disk hosts") {
  std::vector<relay_candidate> candidates;
  for (int number = 0; number < 36; ++number) {
    candidates.push_back(host("front-" + std::to_string(number), number % 4 == 0 ? "a" : "b", 3));
  }
  std::map<host_id, int> asked;
  constexpr int askers = 20;
  for (int number = 0; number < askers; ++number) {
    const auto chosen = choose_relay(candidates, host_id("cut-" + std::to_string(number)),
                                     availability_zone(number % 2 == 0 ? "a" : "b"));
    REQUIRE(chosen);
    ++asked[*chosen];
  }
  for (const auto& [name, count] : asked) {
    CHECK(count <= 5);
  }
  CHECK(asked.size() >= 8);
}
