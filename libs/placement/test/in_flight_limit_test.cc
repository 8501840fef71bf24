// Tests the limit of a host's calls in flight for different demands.
#include "hawthornlane/placement/in_flight_limit.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

TEST_CASE("a host is limited to its share of the places only under overload") {
  struct row {
    const char* what;
    service_load load;
    std::optional<std::uint32_t> window;
  };
  const row rows[] = {
      {"no server is healthy", {0, 5, 50}, std::nullopt},
      {"idle", {216, 0, 0}, std::nullopt},
      {"as many calls as places", {216, 4, 212}, std::nullopt},
      {"1.5 times as many calls as places", {216, 6, 318}, 6},
      {"twice as many calls as places", {216, 8, 424}, 6},
      {"this host has more calls than others", {216, 80, 352}, 60},
      {"this host has no calls", {216, 0, 432}, 2},
      {"this is the only host", {48, 100, 0}, 72},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(compute_in_flight_limit(item.load) == item.window);
  }
}
