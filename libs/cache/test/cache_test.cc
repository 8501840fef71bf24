// Tests of the cache model, the prediction of pauses and the releases of engine memory.
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

TEST_CASE("the cache model does not evict out of LRU order or give up recently used prefixes") {
  prefix_cache_model model(token_count(100));
  model.use(one, token_count(60), at(0));
  model.use(two, token_count(30), at(10));
  CHECK_FALSE(model.would_evict_recent(token_count(10), std::chrono::seconds(5), at(11)));
  CHECK_FALSE(model.would_evict_recent(token_count(60), std::chrono::seconds(5), at(11)));
  CHECK(model.would_evict_recent(token_count(80), std::chrono::seconds(5), at(11)));
  model.use(two, token_count(50), at(12));
  CHECK_FALSE(model.holds(one));
  CHECK(model.cached_tokens() == token_count(50));
}

TEST_CASE("prefixes are not released in short pauses or kept through long ones") {
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

TEST_CASE("a release that the server does not confirm is not forgotten") {
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

// The confirmation is lost. A report from before the release may lack the program for another
// reason.
TEST_CASE("a report from before a release does not end it, and a later one does") {
  release_tracker ledger({});
  ledger.sent(one, server, at(0));
  ledger.ended(one, at(10));
  ledger.reported({server, at(9), {}}, at(11), {});
  CHECK(ledger.open_releases() == 1);
  ledger.reported({server, at(12), {}}, at(13), {});
  CHECK(ledger.open_releases() == 0);
}

TEST_CASE("memory of an unknown program in a report is not leaked") {
  release_tracker ledger({});
  const auto orders = ledger.reported({server, at(5), {one, two}}, at(6), {two});
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().program == one);
  CHECK(ledger.reported({server, at(6), {one, two}}, at(7), {two}).empty());
  CHECK(ledger.tick(at(8)).size() == 1);
}

// Requests are repeated until they are confirmed. One that is repeated after the program has
// continued would drop a prefix in use.
TEST_CASE("a program that continues after its release was requested does not lose its memory") {
  release_tracker ledger({});
  ledger.sent(one, server, at(0));
  ledger.ended(one, at(1));
  ledger.sent(one, server, at(2));
  CHECK(ledger.tick(at(10)).empty());
}
