// Addresses that a caller gets, by its zone and the number of ready hosts there.
#include "hawthornlane/front/address_choice.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

TEST_CASE("callers get only addresses in their zone if it has enough hosts") {
  const auto [what, hosts, zone, expected] =
      GENERATE(Catch::Generators::table<const char*, std::string, std::string, std::size_t>({
          {"two hosts in the zone are enough", "aabbcc", "a", 2},
          {"one host is not enough", "abbcc", "a", 5},
          {"a zone without hosts", "bbcc", "a", 4},
          {"an unknown zone", "aabb", "x", 4},
          {"a small zone that would be overloaded", "aabbbbbbbbcccccccc", "a", 18},
          {"no host is ready", "", "a", 0},
      }));
  std::vector<host_entry> ready;
  for (const char letter : hosts) {
    host_entry host;
    host.zone = availability_zone(std::string(1, letter));
    host.callers_at = "10.0.0." + std::to_string(ready.size());
    ready.push_back(host);
  }
  INFO(what);
  CHECK(addresses_for(availability_zone(zone), ready).size() == expected);
}
