// How a host's part of scarce places follows from the demand.
#include "hawthornlane/placement/in_flight_limit.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

TEST_CASE("a host may have its part of the places, once places are scarce") {
  struct row {
    const char* what;
    service_load load;
    std::optional<std::uint32_t> window;
  };
  const row rows[] = {
      {"no server is in good health", {0, 5, 50}, std::nullopt},
      {"idle", {216, 0, 0}, std::nullopt},
      {"as many calls as places", {216, 4, 212}, std::nullopt},
      {"half as many again", {216, 6, 318}, 6},
      {"twice as many", {216, 8, 424}, 6},
      {"this host has more callers than others", {216, 80, 352}, 60},
      {"this host has hardly any", {216, 0, 432}, 2},
      {"this host alone", {48, 100, 0}, 72},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(compute_in_flight_limit(item.load) == item.window);
  }
}
