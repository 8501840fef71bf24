// Tests how the outcomes and times of calls affect a server's health.
#include "hawthornlane/placement/server_health.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

timestamp at(duration since) { return timestamp(since); }

}  // namespace

TEST_CASE("a server that fails often is degraded, and is used again after a while") {
  using enum server_outcome;
  struct row {
    const char* what;
    std::vector<server_outcome> outcomes;
    bool degraded;
  };
  const row rows[] = {
      {"no calls", {}, false},
      {"answers only", {answered, answered, answered}, false},
      {"one failure", {answered, failed}, false},
      {"two failures in a row", {failed, error_answer}, true},
      {"two failures in three calls", {error_answer, answered, error_answer}, true},
      {"two failures in six calls",
       {failed, answered, answered, answered, answered, failed},
       false},
      {"refusals of a full server", {refused, refused, refused}, false},
      {"callers that disconnect", {caller_left, caller_left, caller_left}, false},
  };
  const health_rules rules;
  for (const row& item : rows) {
    INFO(item.what);
    server_health health;
    duration now = 0s;
    for (const server_outcome outcome : item.outcomes) {
      now += 50ms;
      health.record_outcome(outcome, rules, at(now));
    }
    CHECK(health.degraded(rules, at(now)) == item.degraded);
    CHECK_FALSE(health.degraded(rules, at(now + 8s)));
  }
}

TEST_CASE("a server is degraded if its calls are much slower than those of other servers") {
  struct row {
    const char* what;
    /// Call times of this server and of all others, as multiples of the usual time.
    double own;
    double others;
    /// Calls are alternately longer and shorter by this factor.
    double spread;
    int calls;
    bool degraded;
  };
  const row rows[] = {
      {"as fast as the others", 1, 1, 1.3, 20, false},
      {"1.5 times slower", 1.5, 1, 1.3, 20, false},
      {"4 times slower, first call, low variance", 4, 1, 1.3, 1, false},
      {"4 times slower, second call, low variance", 4, 1, 1.3, 2, true},
      {"8 times slower, first call, low variance", 8, 1, 1.3, 1, true},
      {"4 times slower, first call, high variance", 4, 1, 2.7, 1, false},
      {"4 times slower, tenth call, high variance", 4, 1, 2.7, 10, true},
      {"all servers are slow: overload", 4, 4, 1.3, 20, false},
      {"slower than others under overload", 16, 4, 1.3, 6, true},
  };
  constexpr std::uint64_t kind = 7;
  constexpr duration usual = 50ms;
  const health_rules rules;
  for (const row& item : rows) {
    INFO(item.what);
    baseline_times times;
    server_health health;
    int made = 0;
    const auto took = [&](double factor) {
      const double spread = ++made % 2 == 0 ? item.spread : 1 / item.spread;
      return from_seconds(to_seconds(usual) * factor * spread);
    };
    constexpr int calls_before = 500;
    for (int number = 0; number < calls_before; ++number) {
      times.compare(kind, took(1), false);
    }
    duration now = 1s;
    for (int number = 0; number < item.calls; ++number) {
      constexpr int other_servers = 20;
      for (int other = 0; other < other_servers; ++other) {
        times.compare(kind, took(item.others), false);
      }
      now += 50ms;
      health.record_time(times.compare(kind, took(item.own), false), rules, at(now));
    }
    CHECK(health.degraded(rules, at(now)) == item.degraded);
  }
}

TEST_CASE("the time so far of a pending call can make a server slower but never faster") {
  baseline_times times;
  CHECK(times.compare(1, 5s, true).log_ratio == 0);
  times.compare(1, 100ms, false);
  CHECK(times.compare(1, 1ms, true).log_ratio == 0);
  CHECK(times.compare(1, 1s, true).log_ratio == Approx(2.3).margin(0.01));
}
