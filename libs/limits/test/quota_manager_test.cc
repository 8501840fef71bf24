// Quotas over several keepers: nothing beyond the limit in any span, whatever becomes of keepers
// and of what connects them; nothing refused below it.
#include "hawthornlane/limits/quota_manager.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "hawthornlane/limits/quota_round.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

const client_account north("north");

constexpr double window = 5;
constexpr quota_tolerance tolerant{5s, 0.1, 20};

timestamp at(double seconds) { return timestamp(from_seconds(seconds)); }

quota_request question_of(account_limit limit, std::uint64_t version = 1) {
  return {north, limit, limit_version(version)};
}

bool is_granted(quota_manager& keeper, account_limit limit, double seconds,
                std::uint64_t version = 1) {
  return keeper.ask(question_of(limit, version), at(seconds)).outcome == quota_outcome::granted;
}

int granted_of(quota_manager& keeper, account_limit limit, double seconds, int calls) {
  int granted = 0;
  for (int call = 0; call < calls; ++call) {
    granted += is_granted(keeper, limit, seconds) ? 1 : 0;
  }
  return granted;
}

/// The most calls in any span of that length.
std::size_t most_in_a_span(std::vector<double> times, double span) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > span) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace

TEST_CASE("a keeper grants its part of the burst at once and then its part of the rate") {
  quota_manager keeper;
  keeper.set_share(0.2, at(0));
  const account_limit limit{50, 20};
  CHECK(granted_of(keeper, limit, 100, 100) == 4);
  CHECK(granted_of(keeper, limit, 100.4, 100) == 4);
  CHECK(granted_of(keeper, limit, 100.5, 100) == 1);
}

TEST_CASE("a keeper's burst grows by its part of what the operator tolerates") {
  quota_manager keeper(tolerant);
  keeper.set_share(0.2, at(0));
  // (50 * 5 + 20) / 10 + 20 are tolerated, and nine tenths of them used.
  CHECK(granted_of(keeper, {50, 20}, 100, 100) == 12);
}

TEST_CASE("a refusal says when there is room again") {
  quota_manager keeper;
  keeper.set_share(0.5, at(0));
  const account_limit limit{4, 2};
  REQUIRE(is_granted(keeper, limit, 10));
  const quota_response answer = keeper.ask(question_of(limit), at(10));
  REQUIRE(answer.outcome == quota_outcome::refused);
  CHECK(answer.retry_after == duration(500ms));
  CHECK(is_granted(keeper, limit, 10.5));
}

TEST_CASE("who keeps no quotas grants nothing") {
  quota_manager keeper;
  CHECK(keeper.ask(question_of({5, 5}), at(10)).outcome == quota_outcome::not_kept);
  keeper.set_share(0.5, at(10));
  keeper.set_share(0, at(11));
  CHECK(keeper.ask(question_of({5, 5}), at(20)).outcome == quota_outcome::not_kept);
}

TEST_CASE("who begins to keep quotas begins with nothing to give") {
  quota_manager keeper;
  keeper.set_share(0.5, at(10));
  const account_limit limit{10, 100};
  CHECK(granted_of(keeper, limit, 10, 100) == 0);
  CHECK(granted_of(keeper, limit, 11, 100) == 5);
}

TEST_CASE("who goes on after a restart has the buckets that were written down") {
  const account_limit limit{10, 10};
  const client_account south("south");
  quota_manager before;
  before.set_share(1, at(0));
  REQUIRE(granted_of(before, limit, 100, 10) == 10);
  std::vector<quota_record> log{before.take_changes(at(100))};
  REQUIRE(before.ask({south, limit, limit_version(1)}, at(100.3)).outcome ==
          quota_outcome::granted);
  log.push_back(before.take_changes(at(100.3)));
  CHECK(before.take_changes(at(100.3)).bucket_records.empty());

  quota_manager after;
  for (const quota_record& record : log) {
    after.restore(record);
  }
  // The time between the last record and the restart is not known, and counts nothing.
  after.set_share(1, at(7));
  CHECK(granted_of(after, limit, 7, 10) == 3);
  CHECK(granted_of(after, limit, 7.5, 10) == 5);
  // Who was not asked for before is not held to have used anything.
  CHECK(after.ask({client_account("east"), limit, limit_version(1)}, at(7)).outcome ==
        quota_outcome::granted);

  quota_manager from_whole;
  from_whole.restore(before.whole(at(100.3)));
  from_whole.set_share(1, at(1));
  CHECK(granted_of(from_whole, limit, 1, 10) == 3);
}

TEST_CASE("what was written down counts no more for one that was no keeper since") {
  const account_limit limit{10, 10};
  quota_manager before;
  before.set_share(1, at(0));
  REQUIRE(is_granted(before, limit, 100));
  quota_manager after;
  after.restore(before.take_changes(at(100)));
  after.set_share(0, at(0));
  after.set_share(1, at(50));
  CHECK(granted_of(after, limit, 50, 10) == 0);
  // Nor for the process after that one.
  REQUIRE(is_granted(after, limit, 50.1));
  quota_manager last;
  last.restore(before.whole(at(100)));
  last.restore(after.take_changes(at(50.1)));
  last.set_share(1, at(0));
  CHECK(granted_of(last, limit, 0, 10) == 0);
}

TEST_CASE("the limit of the newest configuration is in force") {
  struct row {
    std::string what;
    account_limit first;
    account_limit second;
    std::uint64_t second_version;
    int granted;
  };
  const row item = GENERATE(values<row>({
      {"lowered", {100, 100}, {2, 2}, 2, 2},
      {"an older one does not come back", {100, 100}, {2, 2}, 0, 50},
      {"raised: filled from now on", {2, 2}, {100, 100}, 2, 1},
      {"lifted", {2, 2}, {0, 0}, 2, 50},
  }));
  INFO(item.what);
  quota_manager keeper;
  keeper.set_share(1, at(0));
  REQUIRE(is_granted(keeper, item.first, 100, 1));
  int granted = 0;
  for (int call = 0; call < 50; ++call) {
    granted += is_granted(keeper, item.second, 100, item.second_version) ? 1 : 0;
  }
  CHECK(granted == item.granted);
}

TEST_CASE("an account that is idle is forgotten and loses nothing by it") {
  quota_manager keeper;
  keeper.set_share(0.5, at(0));
  const account_limit limit{10, 10};
  REQUIRE(granted_of(keeper, limit, 100, 5) == 5);
  keeper.forget_idle(at(100.5));
  CHECK(keeper.accounts() == 1);
  keeper.forget_idle(at(101));
  // What was granted is not written down yet.
  CHECK(keeper.accounts() == 1);
  keeper.take_changes(at(101));
  keeper.forget_idle(at(101));
  CHECK(keeper.accounts() == 0);
  CHECK(granted_of(keeper, limit, 101, 10) == 5);
}

TEST_CASE("a round ends with the first grant, with the last refusal, or with no answer") {
  enum class reply { grant, refusal, silence, not_kept };
  struct row {
    std::vector<reply> replies;
    quota_decision decision;
  };
  const row item = GENERATE(values<row>({
      {{reply::grant}, quota_decision::granted},
      {{reply::refusal, reply::grant}, quota_decision::granted},
      {{reply::refusal, reply::refusal}, quota_decision::over_limit},
      {{reply::refusal, reply::silence}, quota_decision::over_limit},
      {{reply::silence, reply::silence}, quota_decision::unknown},
      {{reply::not_kept, reply::not_kept}, quota_decision::unknown},
      {{}, quota_decision::unknown},
  }));
  quota_round round(item.replies.size());
  for (const reply& kind : item.replies) {
    REQUIRE(round.decision() == quota_decision::undecided);
    const auto keeper = round.ask_next();
    REQUIRE(keeper);
    switch (kind) {
      case reply::grant:
        round.answered({quota_outcome::granted, {}});
        break;
      case reply::refusal:
        round.answered({quota_outcome::refused, 30ms});
        break;
      case reply::not_kept:
        round.answered({quota_outcome::not_kept, {}});
        break;
      case reply::silence:
        round.failed();
        break;
    }
  }
  CHECK(round.decision() == item.decision);
}

namespace {

/// Keepers, the front hosts that ask them, and what goes wrong between them.
class quota_world {
public:
  quota_world(std::uint64_t seed, std::size_t count)
      : random(seed), keepers(count, quota_manager(tolerant)) {
    for (quota_manager& keeper : this->keepers) {
      keeper.set_share(this->part(), at(0));
    }
  }

  /// A call at a front host that reaches each keeper with that chance; an answer may get lost.
  bool call(account_limit limit, double seconds, double reach, double loss,
            std::uint64_t version = 1) {
    std::vector<std::size_t> order(this->keepers.size());
    for (std::size_t index = 0; index < order.size(); ++index) {
      order[index] = index;
    }
    std::shuffle(order.begin(), order.end(), this->random);
    quota_round round(order.size());
    while (round.decision() == quota_decision::undecided) {
      const std::size_t keeper = *round.ask_next();
      if (!this->happens(reach)) {
        round.failed();
        continue;
      }
      const quota_response answer =
          this->keepers[order[keeper]].ask(question_of(limit, version), at(seconds));
      if (this->happens(loss)) {
        round.failed();
      } else {
        round.answered(answer);
      }
    }
    return round.decision() == quota_decision::granted;
  }
  void restart_some(double seconds, double chance) {
    for (quota_manager& keeper : this->keepers) {
      if (this->happens(chance)) {
        // What was granted is written down by then; what becomes of the time in between, too.
        const quota_record known = keeper.whole(at(seconds));
        keeper = quota_manager(tolerant);
        if (this->happens(0.7)) {
          keeper.restore(known);
        }
        keeper.set_share(this->part(), at(seconds));
      }
    }
  }
  bool happens(double chance) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < chance;
  }
  double pause(double rate) { return std::exponential_distribution<double>(rate)(this->random); }

private:
  [[nodiscard]] double part() const { return 1.0 / static_cast<double>(this->keepers.size()); }

  std::mt19937_64 random;
  std::vector<quota_manager> keepers;
};

/// What the operator allows in a window.
double most_in_window(account_limit limit) {
  const double owed = limit.calls_per_second * window + limit.burst;
  return owed * (1 + tolerant.excess) + tolerant.slack;
}

}  // namespace

TEST_CASE("no span holds more than the quota, whatever happens to hosts and links") {
  const std::uint64_t seed = GENERATE(range(1, 41));
  quota_world world(seed, seed % 2 == 0 ? 5 : 3);
  const account_limit limit{10.0 + static_cast<double>(seed), static_cast<double>(seed)};
  std::vector<double> granted;
  double now = 20;
  while (now < 80) {
    now += world.pause(limit.calls_per_second * 6);
    const double reach = now < 40 ? 1 : 0.5;
    if (world.call(limit, now, reach, 0.1)) {
      granted.push_back(now);
    }
    world.restart_some(now, 0.001);
  }
  const double most = most_in_window(limit);
  INFO("seed " << seed);
  CHECK(static_cast<double>(most_in_a_span(granted, window)) <= most);
  // And what there is is used: the first twenty seconds have no fault but lost answers.
  const auto in_calm =
      std::count_if(granted.begin(), granted.end(), [](double time) { return time < 40; });
  CHECK(static_cast<double>(in_calm) >= 0.8 * limit.calls_per_second * 20);
}

TEST_CASE("an account is hardly ever refused what one exact bucket would grant it") {
  const double rate = GENERATE(2.0, 8.0, 30.0, 200.0);
  quota_manager exact;
  exact.set_share(1, at(0));
  quota_world world(static_cast<std::uint64_t>(rate), 5);
  const account_limit limit{1.6 * rate, 1.6 * rate};
  int calls = 0;
  int refused = 0;
  double now = 100;
  while (now < 400) {
    now += world.pause(rate);
    ++calls;
    const bool is_owed = is_granted(exact, limit, now);
    const bool is_served = world.call(limit, now, 1, 0);
    refused += is_owed && !is_served ? 1 : 0;
  }
  INFO(rate << ": " << refused << " of " << calls);
  CHECK(refused <= calls / 100);
}

TEST_CASE("a lowered quota binds at once, also for hosts that do not know of it yet") {
  quota_world world(3, 5);
  const account_limit before{100, 100};
  const account_limit after{10, 10};
  double now = 50;
  std::vector<double> granted;
  while (now < 70) {
    now += world.pause(300);
    const bool knows = now > 52 && world.happens(0.5);
    if (world.call(knows ? after : before, now, 1, 0, knows ? 2 : 1) && now > 52.1) {
      granted.push_back(now);
    }
  }
  CHECK(static_cast<double>(most_in_a_span(granted, window)) <= most_in_window(after));
}
