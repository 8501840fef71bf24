// Which addresses a caller gets, by zone and by how many hosts are ready there.
#include "hawthornlane/front/address_choice.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

TEST_CASE("callers stay in their zone while it has hosts enough") {
  const auto [what, hosts, zone, expected] =
      GENERATE(Catch::Generators::table<const char*, std::string, std::string, std::size_t>({
          {"two near hosts are enough", "aabbcc", "a", 2},
          {"one is not", "abbcc", "a", 5},
          {"a zone without hosts", "bbcc", "a", 4},
          {"an unknown zone", "aabb", "x", 4},
          {"a zone that would carry too much", "aabbbbbbbbcccccccc", "a", 18},
          {"nobody is ready", "", "a", 0},
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
