// What one host believes of another one by its own probes and by what others tell.
#include "hawthornlane/front/peer_failure_detector.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr detector_timing pace{1300ms, 4s};

enum class event { heard, probe_failed, told_by_a, told_by_b };

timestamp at(duration since) { return timestamp(1h + since); }

bool probe_due(const peer_failure_detector& watch, timestamp now) {
  return watch.doubted(now) || watch.turn_due(false, pace, now);
}

}  // namespace

TEST_CASE("another host is believed gone by own probes that others confirm, or by its silence") {
  struct row {
    const char* what;
    std::vector<event> events;
    bool lives;
  };
  using enum event;
  const row rows[] = {
      {"nothing happened", {}, true},
      {"an own probe failed", {probe_failed}, true},
      {"others suspect it, and this host has not asked", {told_by_a, told_by_b}, true},
      {"one other confirms", {probe_failed, told_by_a}, true},
      {"the same one twice", {probe_failed, told_by_a, told_by_a}, true},
      {"two others confirm", {probe_failed, told_by_a, told_by_b}, false},
      {"in another order", {told_by_a, told_by_b, probe_failed}, false},
      {"a word came since", {probe_failed, told_by_a, told_by_b, heard}, true},
      {"what was told before the word is void", {told_by_a, told_by_b, heard, probe_failed}, true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    peer_failure_detector watch(at(0s), 0);
    duration now = 0ms;
    for (const event what : item.events) {
      now += 100ms;
      switch (what) {
        case heard:
          watch.heard(at(now));
          break;
        case probe_failed:
          watch.probe_failed(at(now));
          break;
        case told_by_a:
          watch.told_by(host_id("a"), at(now));
          break;
        case told_by_b:
          watch.told_by(host_id("b"), at(now));
          break;
      }
    }
    CHECK(watch.lives(pace, at(now)) == item.lives);
    CHECK_FALSE(watch.lives(pace, at(now + pace.silence)));
  }
}

TEST_CASE("a probe that began before the last word came does not count as failed") {
  peer_failure_detector watch(at(0s), 0);
  watch.heard(at(500ms));
  watch.probe_failed(at(400ms));
  CHECK_FALSE(watch.suspected(at(600ms)));
  watch.probe_failed(at(600ms));
  CHECK(watch.suspected(at(600ms)));
}

TEST_CASE("a probe that waits for long is told of before it fails") {
  peer_failure_detector watch(at(0s), 0);
  watch.heard(at(100ms));
  watch.probe_sent(at(200ms));
  CHECK_FALSE(watch.suspected(at(390ms)));
  // The next one, sent meanwhile, does not hide it.
  watch.probe_sent(at(350ms));
  CHECK(watch.suspected(at(400ms)));
  CHECK(watch.lives(pace, at(400ms)));
  watch.heard(at(450ms));
  CHECK_FALSE(watch.suspected(at(900ms)));
}

TEST_CASE("a host that others suspect is asked at once, unless it was just heard") {
  peer_failure_detector watch(at(0s), 0);
  watch.probe_sent(at(0s));
  watch.probe_answered(at(0s));
  watch.told_by(host_id("a"), at(200ms));
  CHECK_FALSE(probe_due(watch, at(200ms)));
  CHECK(probe_due(watch, at(700ms)));
  watch.probe_sent(at(700ms));
  CHECK_FALSE(probe_due(watch, at(800ms)));
  watch.told_by(host_id("b"), at(900ms));
  CHECK(probe_due(watch, at(900ms)));
  watch.probe_failed(at(900ms));
  CHECK_FALSE(probe_due(watch, at(950ms)));
}

TEST_CASE("time in which this host's own event loop was late does not count as waiting") {
  struct row {
    const char* what;
    duration waits;
    duration late;
    bool suspected;
    bool suspected_once_failed;
  };
  const row rows[] = {
      {"the loop is in time", 200ms, 0ms, true, true},
      {"an answer may lie unread", 400ms, 250ms, false, true},
      {"enough time was left", 400ms, 200ms, true, true},
      {"hardly any time was left", 500ms, 301ms, false, false},
      {"it stood still all the time", 2s, 2s, false, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    // What was late before the probe does not bear on it.
    constexpr duration late_before = 7s;
    peer_failure_detector watch(at(0s), 0);
    watch.heard(at(100ms));
    watch.probe_sent(at(200ms), late_before);
    const timestamp now = at(200ms + item.waits);
    CHECK(watch.suspected(now, late_before + item.late) == item.suspected);
    watch.probe_failed(at(200ms), item.late);
    CHECK(watch.suspected(now, late_before + item.late) == item.suspected_once_failed);
  }
}
