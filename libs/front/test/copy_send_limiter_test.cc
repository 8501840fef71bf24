// Guards against a link that is overloaded with copies, and against naming hosts that do not have
// the newest state.
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

TEST_CASE("concurrent copies are limited by total bytes, with two allowed at any size") {
  struct row {
    const char* what;
    std::size_t bytes;
    int given;
  };
  const row rows[] = {
      {"a large configuration", 1'000'000, 2},
      {"half of the byte limit", copy_send_limiter::max_burst_bytes / 2, 2},
      {"a quarter of the byte limit", copy_send_limiter::max_burst_bytes / 4, 4},
      {"a small registry", 2000, 32},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_send_limiter send_state;
    int given = 0;
    for (int number = 0; number < 60; ++number) {
      given += send_state.try_begin(kind, host(number), item.bytes, at(0ms)) ? 1 : 0;
    }
    CHECK(given == item.given);
  }
}

TEST_CASE("a copy counts as in flight until it is confirmed, requested again or timed out") {
  struct row {
    const char* what;
    std::function<void(copy_send_limiter&)> then;
    duration later;
    bool another;
  };
  const row rows[] = {
      {"in flight", [](copy_send_limiter&) {}, 999ms, false},
      {"confirmed", [](copy_send_limiter& send_state) { send_state.taken(kind, host(0)); }, 1ms,
       true},
      {"arrived", [](copy_send_limiter& send_state) { send_state.received(kind, host(0)); }, 1ms,
       true},
      {"a copy of another kind arrived",
       [](copy_send_limiter& send_state) { send_state.received(copy_kind::hosts, host(0)); }, 1ms,
       false},
      {"a copy of another kind confirmed",
       [](copy_send_limiter& send_state) { send_state.taken(copy_kind::hosts, host(0)); }, 1ms,
       false},
      {"timed out", [](copy_send_limiter&) {}, 1000ms, true},
      {"requested again: still counted once",
       [](copy_send_limiter& send_state) {
         CHECK(send_state.try_begin(kind, host(0), 1'000'000, at(1ms)));
       },
       2ms, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_send_limiter send_state;
    REQUIRE(send_state.try_begin(kind, host(0), 1'000'000, at(0ms)));
    REQUIRE(send_state.try_begin(kind, host(1), 1'000'000, at(0ms)));
    item.then(send_state);
    CHECK(send_state.try_begin(kind, host(2), 1'000'000, at(item.later)) == item.another);
  }
}

TEST_CASE("a host is named only when it has applied its copy, not when that has arrived") {
  copy_send_limiter send_state;
  REQUIRE(send_state.try_begin(kind, host(0), 10, at(0ms)));
  send_state.received(kind, host(0));
  CHECK(send_state.holders(kind).empty());
  send_state.taken(kind, host(0));
  CHECK(send_state.holders(kind) == std::vector{host(0)});
}

TEST_CASE("only the last hosts that received the newest state are named") {
  copy_send_limiter send_state;
  const auto take = [&send_state](int number) {
    REQUIRE(send_state.try_begin(kind, host(number), 10, at(0ms)));
    send_state.taken(kind, host(number));
  };
  for (int number = 0; number < 6; ++number) {
    take(number);
  }
  CHECK(send_state.holders(kind) == std::vector<host_id>{host(5), host(4), host(3), host(2)});
  CHECK(send_state.holders(copy_kind::hosts).empty());
  // A copy that was in flight when the state changed is not of the newest state.
  REQUIRE(send_state.try_begin(kind, host(7), 10, at(0ms)));
  send_state.invalidate(kind);
  send_state.taken(kind, host(7));
  CHECK(send_state.holders(kind).empty());
  // A confirmation of a copy that was never sent is ignored.
  send_state.taken(kind, host(8));
  CHECK(send_state.holders(kind).empty());
  take(9);
  CHECK(send_state.holders(kind) == std::vector<host_id>{host(9)});
}
