// Tests of backend servers that leave or expire around an outage of the platform's store, with
// complete hosts and stand-ins.
#include <algorithm>
#include <catch2/catch.hpp>

#include "deployment.h"
#include "deployment_calls.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::store_behavior;
using steady = std::chrono::steady_clock;

namespace {

/// From the store's confirmation that a server is gone to the last call that it may get.
constexpr auto drain_time = 2000ms;
constexpr auto outage = 3500ms;
constexpr auto calm = 4000ms;

/// Ends an outage of the store, which answers 503 or not at all.
void play_outage(deployment& all, store_behavior how) {
  all.store().set_behavior(how);
  all.run_for(outage);
  all.store().set_behavior(store_behavior::serving);
}

double reads_of(deployment& all, int front) { return all.metric(front, "store_reads").value_or(0); }

/// The front host that reads the store for all.
int reader_of(deployment& all) {
  const double before = reads_of(all, 0);
  all.run_for(2000ms);
  return reads_of(all, 0) > before ? 0 : 1;
}

/// Sends calls at once, so that all servers get some; returns how many of them ran at `server`.
int runs_of_burst(deployment& all, int front, const stand_ins::scripted_backend& server) {
  constexpr int calls = 12;
  static int sent = 0;
  std::vector<std::shared_ptr<std::optional<call_result>>> results;
  std::vector<std::string> ids;
  for (int number = 0; number < calls; ++number) {
    ids.push_back("burst" + std::to_string(++sent));
    results.push_back(all.begin_call(front, plain("/safe/x", ids.back())));
  }
  all.run_until([&results] {
    return std::all_of(results.begin(), results.end(), [](const auto& item) { return *item; });
  });
  int runs = 0;
  for (const std::string& id : ids) {
    runs += server.runs(id);
  }
  return runs;
}

}  // namespace

// Each host used to take the time since its own last failed read for an outage.
TEST_CASE("a host that reads the store long after an outage does not keep servers that are gone") {
  deployment all({2, 3, 1, 3});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1); }));
  play_outage(all, store_behavior::busy);
  all.run_for(calm);
  const int reader = reader_of(all);
  const int other = 1 - reader;
  const stand_ins::scripted_backend& leaving = *all.apps[0];
  CHECK(runs_of_burst(all, other, leaving) > 0);
  const double before = reads_of(all, other);
  all.kill_front(reader);
  REQUIRE(all.run_until([&] { return reads_of(all, other) > before; }));
  all.store().remove("servers", leaving.instance());
  const auto confirmed = steady::now();
  int late = 0;
  while (steady::now() - confirmed < drain_time + 1000ms) {
    const bool may_reach = steady::now() - confirmed <= drain_time;
    const int runs = runs_of_burst(all, other, leaving);
    late += may_reach ? 0 : runs;
  }
  CHECK(late == 0);
}

// Only the host that read first used to defer the removals; the others took its listing.
TEST_CASE("no host drops live servers whose entries have expired in an outage of the store") {
  deployment all({3, 3, 1, 2});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1) && all.ready(2); }));
  all.run_for(1000ms);
  const auto how = GENERATE(store_behavior::busy, store_behavior::silent);
  all.store().set_behavior(how);
  all.run_for(outage);
  for (const auto& server : all.apps) {
    all.store().remove("servers", server->instance());
  }
  all.store().set_behavior(store_behavior::serving);
  const auto back_at = steady::now();
  bool listed_again = false;
  int failed = 0;
  for (int number = 0; steady::now() - back_at < 4000ms; ++number) {
    // Servers renew their entries within two seconds of the store's return.
    if (!listed_again && steady::now() - back_at > 1800ms) {
      listed_again = true;
      for (const auto& server : all.apps) {
        all.list_backend(*server, "apps");
      }
    }
    const call_result result = all.call(number % 3, plain("/safe/x", "c" + std::to_string(number)));
    failed += result.status == 200 ? 0 : 1;
    all.run_for(10ms);
  }
  CHECK(failed == 0);
}

// Hosts used to drop each response of the store that took longer than 1.5 s, and learned nothing.
TEST_CASE("no host misses a configuration while the store takes seconds for each response") {
  // From the store's confirmation, while the store is slow (`config-apply-ms`, `stretch-max-ms`).
  constexpr auto apply_time = 2000ms;
  constexpr auto stretch_time = 5000ms;
  constexpr int fronts = 3;
  const auto delay = GENERATE(1000ms, 2000ms, 3000ms);
  INFO("a response takes " << delay.count() << " ms");
  deployment all({fronts, 3, 1, 1});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1) && all.ready(2); }));
  all.store().set_response_delay(delay);
  all.run_for(delay);
  for (int version = 5; version <= 6; ++version) {
    const std::string path = "/changed-" + std::to_string(version) + "/";
    all.configure(version, "/safe/", path);
    all.run_for(apply_time + stretch_time);
    for (int front = 0; front < fronts; ++front) {
      const std::string id = std::to_string(version) + "-" + std::to_string(front);
      CHECK(all.call(front, plain(path + "x", "new-" + id)).status == 200);
      CHECK(all.call(front, plain("/safe/x", "old-" + id)).status == 404);
    }
  }
}
