// Guards against a live peer declared failed, and a failed one detected late. A peer counts as
// failed after an own probe failed and two other hosts confirm it, or after the silence timeout.
#include "hawthornlane/front/peer_failure_detector.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr detector_timing timing{1300ms, 4s};

enum class event { message_arrived, probe_failed, reported_by_a, reported_by_b };

timestamp at(duration since) { return timestamp(1h + since); }

bool probe_due(const peer_failure_detector& watch, timestamp now) {
  return watch.confirmation_due(now) || watch.regular_probe_due(false, timing, now);
}

}  // namespace

TEST_CASE("a peer counts as failed only by a failed probe that two others confirm, or by silence") {
  struct row {
    const char* what;
    std::vector<event> events;
    bool is_alive;
  };
  using enum event;
  const row rows[] = {
      {"no event", {}, true},
      {"an own probe failed", {probe_failed}, true},
      {"others suspect it, and this host has not probed it", {reported_by_a, reported_by_b}, true},
      {"one other host confirms", {probe_failed, reported_by_a}, true},
      {"the same host confirms twice", {probe_failed, reported_by_a, reported_by_a}, true},
      {"two other hosts confirm", {probe_failed, reported_by_a, reported_by_b}, false},
      {"in another order", {reported_by_a, reported_by_b, probe_failed}, false},
      {"a message arrived afterwards",
       {probe_failed, reported_by_a, reported_by_b, message_arrived},
       true},
      {"reports from before the last message do not count",
       {reported_by_a, reported_by_b, message_arrived, probe_failed},
       true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    peer_failure_detector watch(at(0s), 0);
    duration now = 0ms;
    for (const event what : item.events) {
      now += 100ms;
      switch (what) {
        case message_arrived:
          watch.record_message(at(now));
          break;
        case probe_failed:
          watch.record_probe_failed(at(now));
          break;
        case reported_by_a:
          watch.record_suspicion(host_id("a"), at(now));
          break;
        case reported_by_b:
          watch.record_suspicion(host_id("b"), at(now));
          break;
      }
    }
    CHECK(watch.is_alive(timing, at(now)) == item.is_alive);
    CHECK_FALSE(watch.is_alive(timing, at(now + timing.silence_timeout)));
  }
}

TEST_CASE("a probe sent before the last message of the peer does not count as failed") {
  peer_failure_detector watch(at(0s), 0);
  watch.record_message(at(500ms));
  watch.record_probe_failed(at(400ms));
  CHECK_FALSE(watch.suspected(at(600ms)));
  watch.record_probe_failed(at(600ms));
  CHECK(watch.suspected(at(600ms)));
}

TEST_CASE("a probe that is unanswered for long raises a suspicion before it fails") {
  peer_failure_detector watch(at(0s), 0);
  watch.record_message(at(100ms));
  watch.record_probe_sent(at(200ms));
  CHECK_FALSE(watch.suspected(at(390ms)));
  // A second probe sent meanwhile does not restart the wait.
  watch.record_probe_sent(at(350ms));
  CHECK(watch.suspected(at(400ms)));
  CHECK(watch.is_alive(timing, at(400ms)));
  watch.record_message(at(450ms));
  CHECK_FALSE(watch.suspected(at(900ms)));
}

TEST_CASE("a peer that others suspect is probed at once, unless it has just sent a message") {
  peer_failure_detector watch(at(0s), 0);
  watch.record_probe_sent(at(0s));
  watch.record_probe_answered(at(0s));
  watch.record_suspicion(host_id("a"), at(200ms));
  CHECK_FALSE(probe_due(watch, at(200ms)));
  CHECK(probe_due(watch, at(700ms)));
  watch.record_probe_sent(at(700ms));
  CHECK_FALSE(probe_due(watch, at(800ms)));
  watch.record_suspicion(host_id("b"), at(900ms));
  CHECK(probe_due(watch, at(900ms)));
  watch.record_probe_failed(at(900ms));
  CHECK_FALSE(probe_due(watch, at(950ms)));
}

TEST_CASE("lag of this host's event loop does not count as waiting for an answer") {
  struct row {
    const char* what;
    duration probe_age;
    duration lag;
    bool suspected;
    bool suspected_once_failed;
  };
  const row rows[] = {
      {"no lag", 200ms, 0ms, true, true},
      {"an answer may be unread", 400ms, 250ms, false, true},
      {"enough time was left", 400ms, 200ms, true, true},
      {"too little time was left", 500ms, 301ms, false, false},
      {"the loop stalled all the time", 2s, 2s, false, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    // Lag before the probe has no effect.
    constexpr duration lag_before = 7s;
    peer_failure_detector watch(at(0s), 0);
    watch.record_message(at(100ms));
    watch.record_probe_sent(at(200ms), lag_before);
    const timestamp now = at(200ms + item.probe_age);
    CHECK(watch.suspected(now, lag_before + item.lag) == item.suspected);
    watch.record_probe_failed(at(200ms), item.lag);
    CHECK(watch.suspected(now, lag_before + item.lag) == item.suspected_once_failed);
  }
}
