// Guards against requests for copies that overload peers or links: too early, too often, several at
// once, or all to the same host. Also guards against peers that do not answer being preferred.
#include "hawthornlane/front/copy_fetch_scheduler.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr auto kind = copy_kind::configuration;

timestamp at(duration since_start) { return timestamp(1h + since_start); }

const host_id self("self");
const host_id one("one");
const host_id two("two");

}  // namespace

TEST_CASE("a peer with newer state is asked only after the store reader's message is due") {
  struct row {
    const char* what;
    bool immediate;
    bool urgent;
    duration after;
    bool asked;
  };
  const row rows[] = {
      {"too early", false, false, 119ms, false},
      {"still ahead", false, false, 120ms, true},
      {"the peer has just read the store", true, false, 0ms, true},
      {"this host cannot serve without it", false, true, 0ms, true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_fetch_scheduler scheduler(self);
    scheduler.update_peer(kind, one, true, item.immediate, at(0ms));
    scheduler.update_peer(kind, one, true, false, at(item.after));
    CHECK(scheduler.next(kind, item.urgent, at(item.after)).has_value() == item.asked);
  }
}

TEST_CASE("one copy of a kind is in flight, however many peers have newer state") {
  copy_fetch_scheduler scheduler(self);
  scheduler.update_peer(kind, one, true, true, at(0ms));
  scheduler.update_peer(kind, two, true, true, at(0ms));
  REQUIRE(scheduler.next(kind, true, at(0ms)));
  CHECK_FALSE(scheduler.next(kind, true, at(900ms)));
  // A copy of another kind does not wait for it.
  scheduler.update_peer(copy_kind::backends, one, true, true, at(0ms));
  CHECK(scheduler.next(copy_kind::backends, true, at(0ms)) == one);
  scheduler.taken(kind);
  scheduler.invalidate(kind);
  CHECK_FALSE(scheduler.next(kind, true, at(1s)));
}

TEST_CASE("the next request after an answer without a copy waits for the backoff") {
  struct row {
    const char* what;
    std::function<void(copy_fetch_scheduler&)> answer;
    duration later;
    std::optional<host_id> asked;
  };
  const auto busy = [](std::vector<host_id> holders) {
    return [holders](copy_fetch_scheduler& scheduler) { scheduler.busy(kind, holders, at(0ms)); };
  };
  const auto failed = [](copy_fetch_scheduler& scheduler) { scheduler.failed(kind, at(0ms)); };
  const row rows[] = {
      {"a busy peer is not asked during its backoff", busy({}), 59ms, std::nullopt},
      {"a busy peer is asked again after its backoff", busy({}), 60ms, one},
      {"a named holder is not asked at once", busy({two}), 19ms, std::nullopt},
      {"a named holder is asked after the delay between requests", busy({two}), 20ms, two},
      {"this host itself is not asked", busy({self}), 20ms, std::nullopt},
      {"a peer that did not answer has a longer backoff", failed, 499ms, std::nullopt},
      {"a peer that did not answer is asked again when there is no other", failed, 500ms, one},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_fetch_scheduler scheduler(self);
    scheduler.update_peer(kind, one, true, true, at(0ms));
    REQUIRE(scheduler.next(kind, false, at(0ms)) == one);
    item.answer(scheduler);
    CHECK(scheduler.next(kind, false, at(item.later)) == item.asked);
  }
}

TEST_CASE("backoff of a busy peer grows with refusals and with the number of hosts") {
  struct row {
    std::size_t hosts;
    int requests;
  };
  const row rows[] = {
      // At 0, 60, 180, 420 ms and every 240 ms after that.
      {1, 10},
      {120, 10},
      // At 0, 120, 360, 840 ms and every 480 ms after that.
      {240, 6},
      // At 0, 180, 540, 1,260 and 1,980 ms.
      {360, 5},
  };
  for (const row& item : rows) {
    INFO(item.hosts << " hosts");
    copy_fetch_scheduler scheduler(self);
    scheduler.set_host_count(item.hosts);
    scheduler.update_peer(kind, one, true, true, at(0ms));
    int requests = 0;
    for (duration now{}; now < 2s; now += 5ms) {
      if (scheduler.next(kind, false, at(now))) {
        ++requests;
        scheduler.busy(kind, {}, at(now));
      }
    }
    CHECK(requests == item.requests);
  }
}

TEST_CASE("hosts that lack the same state do not all ask the same peer") {
  std::map<host_id, int> asked;
  for (int number = 0; number < 60; ++number) {
    copy_fetch_scheduler scheduler(host_id("front-" + std::to_string(number)));
    for (const char* holder : {"a", "b", "c", "d"}) {
      scheduler.update_peer(kind, host_id(holder), true, true, at(0ms));
    }
    ++asked[*scheduler.next(kind, true, at(0ms))];
  }
  CHECK(asked.size() == 4);
  for (const auto& [holder, times] : asked) {
    CHECK(times < 30);
  }
}

TEST_CASE("a failed peer, or one without newer state, is not asked") {
  copy_fetch_scheduler scheduler(self);
  scheduler.update_peer(kind, one, true, true, at(0ms));
  scheduler.update_peer(kind, two, true, true, at(0ms));
  scheduler.forget(one);
  scheduler.update_peer(kind, two, false, false, at(1ms));
  CHECK_FALSE(scheduler.next(kind, true, at(1s)));
}

TEST_CASE("backoff of a failing peer grows until it sends a copy") {
  copy_fetch_scheduler scheduler(self);
  const auto asked_from = [&scheduler](duration from) {
    while (!scheduler.next(kind, true, at(from))) {
      from += 10ms;
    }
    return from;
  };
  scheduler.update_peer(kind, one, true, true, at(0ms));
  duration now = asked_from(0ms);
  for (const duration pause : {500ms, 2000ms, 2000ms}) {
    scheduler.failed(kind, at(now));
    // A newer state does not end the backoff.
    scheduler.invalidate(kind);
    scheduler.update_peer(kind, one, true, true, at(now));
    const duration next = asked_from(now);
    CHECK(next - now == pause);
    now = next;
  }
  scheduler.taken(kind);
  REQUIRE(asked_from(now) == now);
  scheduler.failed(kind, at(now));
  CHECK(asked_from(now) - now == 500ms);
}

TEST_CASE("a peer that does not answer is asked only when no other has newer state") {
  struct row {
    const char* what;
    std::vector<host_id> ahead;
    std::optional<host_id> asked;
  };
  const row rows[] = {
      {"the only one", {one}, one},
      {"beside a peer that answers", {one, two}, two},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_fetch_scheduler scheduler(self, [](const host_id& other) { return other != one; });
    for (const host_id& host : item.ahead) {
      scheduler.update_peer(kind, host, true, true, at(0ms));
    }
    CHECK(scheduler.next(kind, true, at(0ms)) == item.asked);
    // A peer that reaches it may still name it.
    scheduler.busy(kind, {one}, at(0ms));
    CHECK(scheduler.next(kind, true, at(1s)) == item.asked);
  }
}
