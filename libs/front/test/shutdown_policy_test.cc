// Guards against a planned stop that cuts off callers which still use the host, that runs calls for
// which the time is too short, or that does not end before the process is killed.
#include "hawthornlane/front/shutdown_policy.h"

#include <catch2/catch.hpp>
#include <string>

#include "hawthornlane/front/recent_call_times.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

TEST_CASE("a stopping host serves until its address has expired and closes before the kill") {
  struct row {
    std::string name;
    shutdown_policy stop;
    duration elapsed;
    std::size_t calls;
    bool rejects_calls;
    bool may_close;
  };
  const shutdown_policy usual{30s, 2s};
  const shutdown_policy short_grace{5s, 2s};
  for (const row& item : {
           row{"callers may still hold its address", usual, 5s, 0, false, false},
           row{"address expired, idle", usual, 6s, 0, false, true},
           row{"address expired, calls in flight", usual, 6s, 3, false, false},
           row{"shortly before the kill, new calls are rejected", usual, 26800ms, 3, true, false},
           row{"just before the kill, with calls in flight", usual, 29600ms, 3, true, true},
           row{"grace shorter than the address lifetime", short_grace, 1800ms, 0, true, true},
           row{"the same, before calls are rejected", short_grace, 1700ms, 0, false, false},
       }) {
    INFO(item.name);
    CHECK(item.stop.rejects_calls(item.elapsed) == item.rejects_calls);
    CHECK(item.stop.may_close(item.elapsed, item.calls) == item.may_close);
  }
}

TEST_CASE("a stopping host exits once its connections are closed, and always before the kill") {
  const shutdown_policy stop{8s, 2s};
  CHECK(stop.may_exit(6s, 0));
  CHECK_FALSE(stop.may_exit(7800ms, 1));
  CHECK(stop.may_exit(7900ms, 1));
}

TEST_CASE("a stopping host runs no call that is expected to end after the process") {
  struct row {
    std::string name;
    duration elapsed;
    stopping_call call;
    bool may_run;
  };
  const shutdown_policy stop{8s, 2s};
  for (const row& item : {
           row{"its time limit ends before", 4400ms, {7400ms, 3s, false}, true},
           row{"a stream whose time limit ends before", 4400ms, {7400ms, 3s, true}, true},
           row{"a stream that may last longer, early", 1s, {7500ms, 1s, true}, true},
           row{"a stream that may last longer, late", 3s, {7500ms, 1s, true}, false},
           row{"it may last longer, but is expected to end in time", 5s, {9s, 2s, false}, true},
           row{"it is expected to end too late", 6s, {9s, 2s, false}, false},
           row{"the same at the beginning", 0s, {9s, 7500ms, false}, false},
       }) {
    INFO(item.name);
    CHECK(stop.may_run(item.elapsed, item.call) == item.may_run);
  }
}

TEST_CASE("a long call is not forgotten before two periods have passed") {
  recent_call_times times;
  const route_name route("a");
  timestamp now(1000s);
  CHECK_FALSE(times.longest(route, now));
  times.record(route, 900ms, now);
  times.record(route, 200ms, now);
  CHECK(times.longest(route, now) == 900ms);
  now += 61s;
  times.record(route, 300ms, now);
  CHECK(times.longest(route, now) == 900ms);
  CHECK_FALSE(times.longest(route_name("b"), now));
  now += 61s;
  CHECK(times.longest(route, now) == 300ms);
  now += 200s;
  CHECK_FALSE(times.longest(route, now));
}
