// Which host is asked for a copy, and when.
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

TEST_CASE("a host that is ahead is asked once the store's own news should be here") {
  struct row {
    const char* what;
    bool prompt;
    bool urgent;
    duration after;
    bool asked;
  };
  const row rows[] = {
      {"too early", false, false, 119ms, false},
      {"still ahead", false, false, 120ms, true},
      {"it has just read the store", true, false, 0ms, true},
      {"this host cannot serve without it", false, true, 0ms, true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_fetch_scheduler intake(self);
    intake.heard(kind, one, true, item.prompt, at(0ms));
    intake.heard(kind, one, true, false, at(item.after));
    CHECK(intake.next(kind, item.urgent, at(item.after)).has_value() == item.asked);
  }
}

TEST_CASE("one copy of a kind is under way, however many hosts are ahead") {
  copy_fetch_scheduler intake(self);
  intake.heard(kind, one, true, true, at(0ms));
  intake.heard(kind, two, true, true, at(0ms));
  REQUIRE(intake.next(kind, true, at(0ms)));
  CHECK_FALSE(intake.next(kind, true, at(900ms)));
  // Another kind does not wait for it.
  intake.heard(copy_kind::backends, one, true, true, at(0ms));
  CHECK(intake.next(copy_kind::backends, true, at(0ms)) == one);
  intake.taken(kind);
  intake.renew(kind);
  CHECK_FALSE(intake.next(kind, true, at(1s)));
}

TEST_CASE("whom a host asks after an answer without a copy") {
  struct row {
    const char* what;
    std::function<void(copy_fetch_scheduler&)> answer;
    duration later;
    std::optional<host_id> asked;
  };
  const auto busy = [](std::vector<host_id> holders) {
    return [holders](copy_fetch_scheduler& intake) { intake.busy(kind, holders, at(0ms)); };
  };
  const auto failed = [](copy_fetch_scheduler& intake) { intake.failed(kind, at(0ms)); };
  const row rows[] = {
      {"a busy host rests", busy({}), 59ms, std::nullopt},
      {"and is asked again", busy({}), 60ms, one},
      {"not at once who has taken a copy", busy({two}), 19ms, std::nullopt},
      {"soon who has taken a copy", busy({two}), 20ms, two},
      {"this host itself is not asked", busy({self}), 20ms, std::nullopt},
      {"a silent host rests longer", failed, 499ms, std::nullopt},
      {"and is asked again, where there is no other", failed, 500ms, one},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_fetch_scheduler intake(self);
    intake.heard(kind, one, true, true, at(0ms));
    REQUIRE(intake.next(kind, false, at(0ms)) == one);
    item.answer(intake);
    CHECK(intake.next(kind, false, at(item.later)) == item.asked);
  }
}

TEST_CASE("a host that is busy again and again is asked ever more seldom, by many still more so") {
  struct row {
    std::size_t hosts;
    int questions;
  };
  const row rows[] = {
      // At 0, 60, 180, 420 ms and each 240 ms from there on.
      {1, 10},
      {120, 10},
      // At 0, 120, 360, 840 ms and each 480 ms from there on.
      {240, 6},
      // At 0, 180, 540, 1,260 and 1,980 ms.
      {360, 5},
  };
  for (const row& item : rows) {
    INFO(item.hosts << " hosts");
    copy_fetch_scheduler intake(self);
    intake.count_hosts(item.hosts);
    intake.heard(kind, one, true, true, at(0ms));
    int questions = 0;
    for (duration now{}; now < 2s; now += 5ms) {
      if (intake.next(kind, false, at(now))) {
        ++questions;
        intake.busy(kind, {}, at(now));
      }
    }
    CHECK(questions == item.questions);
  }
}

TEST_CASE("hosts that lack the same do not all ask the same one") {
  std::map<host_id, int> asked;
  for (int number = 0; number < 60; ++number) {
    copy_fetch_scheduler intake(host_id("front-" + std::to_string(number)));
    for (const char* holder : {"a", "b", "c", "d"}) {
      intake.heard(kind, host_id(holder), true, true, at(0ms));
    }
    ++asked[*intake.next(kind, true, at(0ms))];
  }
  CHECK(asked.size() == 4);
  for (const auto& [holder, times] : asked) {
    CHECK(times < 30);
  }
}

TEST_CASE("a host that is gone, or no more ahead, is not asked") {
  copy_fetch_scheduler intake(self);
  intake.heard(kind, one, true, true, at(0ms));
  intake.heard(kind, two, true, true, at(0ms));
  intake.forget(one);
  intake.heard(kind, two, false, false, at(1ms));
  CHECK_FALSE(intake.next(kind, true, at(1s)));
}

TEST_CASE("a host that fails again and again rests longer, until it answers") {
  copy_fetch_scheduler intake(self);
  const auto asked_from = [&intake](duration from) {
    while (!intake.next(kind, true, at(from))) {
      from += 10ms;
    }
    return from;
  };
  intake.heard(kind, one, true, true, at(0ms));
  duration now = asked_from(0ms);
  for (const duration pause : {500ms, 2000ms, 2000ms}) {
    intake.failed(kind, at(now));
    // News of a newer state do not end the rest.
    intake.renew(kind);
    intake.heard(kind, one, true, true, at(now));
    const duration next = asked_from(now);
    CHECK(next - now == pause);
    now = next;
  }
  intake.taken(kind);
  REQUIRE(asked_from(now) == now);
  intake.failed(kind, at(now));
  CHECK(asked_from(now) - now == 500ms);
}

TEST_CASE("a host that does not answer this one is asked only where no other is ahead") {
  struct row {
    const char* what;
    std::vector<host_id> ahead;
    std::optional<host_id> asked;
  };
  const row rows[] = {
      {"alone", {one}, one},
      {"beside one that answers", {one, two}, two},
  };
  for (const row& item : rows) {
    INFO(item.what);
    copy_fetch_scheduler intake(self, [](const host_id& other) { return other != one; });
    for (const host_id& host : item.ahead) {
      intake.heard(kind, host, true, true, at(0ms));
    }
    CHECK(intake.next(kind, true, at(0ms)) == item.asked);
    // It may still be named by a host that reaches it.
    intake.busy(kind, {one}, at(0ms));
    CHECK(intake.next(kind, true, at(1s)) == item.asked);
  }
}
