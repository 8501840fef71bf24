// Guards against false suspicions by a host whose event loop stalls: answers to its probes are
// unread meanwhile, so the lag must not count as time without an answer.
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

TEST_CASE("event loop lag is the sum of the delays of its passes") {
  struct row {
    const char* what;
    std::vector<duration> passes;
    duration measured_at;
    duration lag;
  };
  const row rows[] = {
      {"no delay", {25ms, 50ms, 75ms, 100ms}, 100ms, 0ms},
      {"one pass skipped", {25ms, 75ms, 100ms}, 100ms, 0ms},
      {"a stall", {25ms, 325ms, 350ms}, 350ms, 250ms},
      {"a stall that has not ended", {25ms}, 325ms, 250ms},
      {"the CPU quota is used up in every period of 100 ms",
       {100ms, 200ms, 300ms, 400ms},
       400ms,
       200ms},
  };
  for (const row& item : rows) {
    INFO(item.what);
    event_loop_lag loop_lag(at(0ms));
    for (const duration pass : item.passes) {
      loop_lag.record_pass(at(pass));
    }
    CHECK(loop_lag.total(at(item.measured_at)) == item.lag);
  }
}

TEST_CASE("a host that stalls right after its first probes suspects no peer because of it") {
  event_loop_lag loop_lag(at(0s));
  std::vector<peer_failure_detector> watches(300, peer_failure_detector(at(0s), 0));
  for (peer_failure_detector& watch : watches) {
    watch.record_probe_sent(at(1ms), loop_lag.total(at(1ms)));
  }
  const auto suspects = [&](timestamp now) {
    return std::count_if(watches.begin(), watches.end(), [&](const peer_failure_detector& watch) {
      return watch.suspected(now, loop_lag.total(now));
    });
  };
  const duration stall = 900ms;
  CHECK(suspects(at(stall)) == 0);
  // The probes time out before the host has read the answers.
  for (peer_failure_detector& watch : watches) {
    watch.record_probe_failed(at(1ms), loop_lag.total(at(stall)));
  }
  loop_lag.record_pass(at(stall));
  CHECK(suspects(at(stall)) == 0);
  // The loop runs without lag again; peers that do not answer now are suspected.
  for (duration now = stall; now <= stall + 300ms; now += 25ms) {
    loop_lag.record_pass(at(now));
  }
  watches[0].record_message(at(stall + 25ms));
  CHECK(suspects(at(stall + 300ms)) == 299);
}
