// Tests of residency, pauses and releases.
#include <catch2/catch.hpp>

#include "hawthornlane/cache/pause_predictor.h"
#include "hawthornlane/cache/prefix_cache_model.h"
#include "hawthornlane/cache/release_tracker.h"

using namespace hawthornlane;

namespace {
const program_id one("p1");
const program_id two("p2");
const backend_server_id server("s1");
timestamp at(int seconds) { return timestamp(std::chrono::seconds(seconds)); }
}  // namespace

TEST_CASE("the mirror evicts the least recently used and protects recent ones") {
  prefix_cache_model mirror(token_count(100));
  mirror.use(one, token_count(60), at(0));
  mirror.use(two, token_count(30), at(10));
  CHECK_FALSE(mirror.would_evict_recent(token_count(10), std::chrono::seconds(5), at(11)));
  CHECK_FALSE(mirror.would_evict_recent(token_count(60), std::chrono::seconds(5), at(11)));
  CHECK(mirror.would_evict_recent(token_count(80), std::chrono::seconds(5), at(11)));
  mirror.use(two, token_count(50), at(12));
  CHECK_FALSE(mirror.holds(one));
  CHECK(mirror.held() == token_count(50));
}

TEST_CASE("a prefix is kept through short pauses and released through long ones") {
  pause_predictor predictor;
  const service_name service("diagnosis");
  for (int sample = 0; sample < 50; ++sample) {
    predictor.add(service, "lookup", std::chrono::seconds(1));
    predictor.add(service, "mechanic", std::chrono::minutes(20));
  }
  const auto decide = [&](const std::string& tool) {
    return predictor.decide(service, tool, 2.0, std::chrono::seconds(30), 0.01);
  };
  CHECK(decide("lookup") == retention::keep);
  CHECK(decide("mechanic") == retention::release);
}

TEST_CASE("a release is ordered again until the server confirms it") {
  release_tracker ledger({});
  ledger.sent(one, server, at(0));
  CHECK(ledger.ended(one, at(1)).size() == 1);
  CHECK(ledger.tick(at(1)).empty());
  CHECK(ledger.tick(at(2)).size() == 1);
  CHECK(ledger.tick(at(3)).empty());
  CHECK(ledger.tick(at(4)).size() == 1);
  ledger.confirmed(one, server);
  CHECK(ledger.tick(at(100)).empty());
  CHECK(ledger.open_releases() == 0);
}

TEST_CASE("an order whose answer was lost ends with a later report, not an older one") {
  release_tracker ledger({});
  ledger.sent(one, server, at(0));
  ledger.ended(one, at(10));
  ledger.reported({server, at(9), {}}, at(11), {});
  CHECK(ledger.open_releases() == 1);
  ledger.reported({server, at(12), {}}, at(13), {});
  CHECK(ledger.open_releases() == 0);
}

TEST_CASE("memory of programs that nobody here knows is ordered out by report") {
  release_tracker ledger({});
  const auto orders = ledger.reported({server, at(5), {one, two}}, at(6), {two});
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().program == one);
  CHECK(ledger.reported({server, at(6), {one, two}}, at(7), {two}).empty());
  CHECK(ledger.tick(at(8)).size() == 1);
}

TEST_CASE("a program that goes on after its release was ordered is not released") {
  release_tracker ledger({});
  ledger.sent(one, server, at(0));
  ledger.ended(one, at(1));
  ledger.sent(one, server, at(2));
  CHECK(ledger.tick(at(10)).empty());
}
