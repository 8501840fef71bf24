// How late an event loop counts as being, and whom its host suspects meanwhile.
#include "hawthornlane/front/event_loop_lag.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "hawthornlane/front/peer_failure_detector.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

timestamp at(duration since) { return timestamp(1h + since); }

}  // namespace

TEST_CASE("the lateness of a loop is what its passes come too late by") {
  struct row {
    const char* what;
    std::vector<duration> passes;
    duration asked_at;
    duration late;
  };
  const row rows[] = {
      {"in time", {25ms, 50ms, 75ms, 100ms}, 100ms, 0ms},
      {"one pass left out", {25ms, 75ms, 100ms}, 100ms, 0ms},
      {"a stop", {25ms, 325ms, 350ms}, 350ms, 250ms},
      {"a stop that lasts", {25ms}, 325ms, 250ms},
      {"its share of the processor is used up in each tenth of a second",
       {100ms, 200ms, 300ms, 400ms},
       400ms,
       200ms},
  };
  for (const row& item : rows) {
    INFO(item.what);
    event_loop_lag lateness(at(0ms));
    for (const duration pass : item.passes) {
      lateness.pass(at(pass));
    }
    CHECK(lateness.total(at(item.asked_at)) == item.late);
  }
}

TEST_CASE("a host that stands still right after its first probes suspects nobody for it") {
  event_loop_lag lateness(at(0s));
  std::vector<peer_failure_detector> watches(300, peer_failure_detector(at(0s), 0));
  for (peer_failure_detector& watch : watches) {
    watch.probe_sent(at(1ms), lateness.total(at(1ms)));
  }
  const auto suspects = [&](timestamp now) {
    return std::count_if(watches.begin(), watches.end(), [&](const peer_failure_detector& watch) {
      return watch.suspected(now, lateness.total(now));
    });
  };
  const duration stands_still = 900ms;
  CHECK(suspects(at(stands_still)) == 0);
  // The limits of its probes pass before it has read the answers.
  for (peer_failure_detector& watch : watches) {
    watch.probe_failed(at(1ms), lateness.total(at(stands_still)));
  }
  lateness.pass(at(stands_still));
  CHECK(suspects(at(stands_still)) == 0);
  // It goes on in time; whoever does not answer now is suspected.
  for (duration now = stands_still; now <= stands_still + 300ms; now += 25ms) {
    lateness.pass(at(now));
  }
  watches[0].heard(at(stands_still + 25ms));
  CHECK(suspects(at(stands_still + 300ms)) == 299);
}
