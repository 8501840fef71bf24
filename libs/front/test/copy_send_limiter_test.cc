// How many copies a host gives at a time, and whom it names.
#include "hawthornlane/front/copy_send_limiter.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr auto kind = copy_kind::configuration;

timestamp at(duration since_start) { return timestamp(1h + since_start); }

host_id host(int number) { return host_id("front-" + std::to_string(number)); }

}  // namespace

TEST_CASE("as many copies go out at once as are few bytes, and two of any size") {
  struct row {
    const char* what;
    std::size_t bytes;
    int given;
  };
  const row rows[] = {
      {"a whole configuration", 1'000'000, 2},
      {"half of what may go at once", copy_send_limiter::burst_bytes / 2, 2},
      {"a quarter of it", copy_send_limiter::burst_bytes / 4, 4},
      {"a registry of some servers", 2000, 32},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_send_limiter outlet;
    int given = 0;
    for (int number = 0; number < 60; ++number) {
      given += outlet.begin(kind, host(number), item.bytes, at(0ms)) ? 1 : 0;
    }
    CHECK(given == item.given);
  }
}

TEST_CASE("a copy counts until its receiver has it, asks again, or must have given up") {
  struct row {
    const char* what;
    std::function<void(copy_send_limiter&)> then;
    duration later;
    bool another;
  };
  const row rows[] = {
      {"on its way", [](copy_send_limiter&) {}, 999ms, false},
      {"taken", [](copy_send_limiter& outlet) { outlet.taken(kind, host(0)); }, 1ms, true},
      {"taken of another kind",
       [](copy_send_limiter& outlet) { outlet.taken(copy_kind::hosts, host(0)); }, 1ms, false},
      {"lost", [](copy_send_limiter&) {}, 1000ms, true},
      {"asked for again: still one",
       [](copy_send_limiter& outlet) { CHECK(outlet.begin(kind, host(0), 1'000'000, at(1ms))); },
       2ms, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_send_limiter outlet;
    REQUIRE(outlet.begin(kind, host(0), 1'000'000, at(0ms)));
    REQUIRE(outlet.begin(kind, host(1), 1'000'000, at(0ms)));
    item.then(outlet);
    CHECK(outlet.begin(kind, host(2), 1'000'000, at(item.later)) == item.another);
  }
}

TEST_CASE("the last hosts that have taken the newest state are named") {
  copy_send_limiter outlet;
  const auto take = [&outlet](int number) {
    REQUIRE(outlet.begin(kind, host(number), 10, at(0ms)));
    outlet.taken(kind, host(number));
  };
  for (int number = 0; number < 6; ++number) {
    take(number);
  }
  CHECK(outlet.holders(kind) == std::vector<host_id>{host(5), host(4), host(3), host(2)});
  CHECK(outlet.holders(copy_kind::hosts).empty());
  // A copy that was on its way when the state changed is not of the newest one.
  REQUIRE(outlet.begin(kind, host(7), 10, at(0ms)));
  outlet.renew(kind);
  outlet.taken(kind, host(7));
  CHECK(outlet.holders(kind).empty());
  // Nor has a host taken one that was never given.
  outlet.taken(kind, host(8));
  CHECK(outlet.holders(kind).empty());
  take(9);
  CHECK(outlet.holders(kind) == std::vector<host_id>{host(9)});
}
