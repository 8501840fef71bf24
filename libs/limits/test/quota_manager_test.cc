// Quotas over several managers: no span exceeds the limit, whatever faults hosts and links have,
// and calls below the limit are not refused.
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
constexpr quota_tolerance tolerance{5s, 0.1, 20};

timestamp at(double seconds) { return timestamp(from_seconds(seconds)); }

quota_request request_for(account_limit limit, std::uint64_t version = 1) {
  return {north, limit, limit_version(version)};
}

bool is_granted(quota_manager& manager, account_limit limit, double seconds,
                std::uint64_t version = 1) {
  return manager.ask(request_for(limit, version), at(seconds)).outcome == quota_outcome::granted;
}

int granted_of(quota_manager& manager, account_limit limit, double seconds, int calls) {
  int granted = 0;
  for (int call = 0; call < calls; ++call) {
    granted += is_granted(manager, limit, seconds) ? 1 : 0;
  }
  return granted;
}

/// The largest number of calls in any span of that length.
std::size_t max_calls_in_span(std::vector<double> times, double span) {
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

TEST_CASE("a manager grants no more than its share of the burst and then of the rate") {
  quota_manager manager;
  manager.set_share(0.2, at(0));
  const account_limit limit{50, 20};
  CHECK(granted_of(manager, limit, 100, 100) == 4);
  CHECK(granted_of(manager, limit, 100.4, 100) == 4);
  CHECK(granted_of(manager, limit, 100.5, 100) == 1);
}

TEST_CASE("a manager uses its share of the operator's tolerance") {
  quota_manager manager(tolerance);
  manager.set_share(0.2, at(0));
  // (50 * 5 + 20) / 10 + 20 calls are tolerated, and 0.9 of them used.
  CHECK(granted_of(manager, {50, 20}, 100, 100) == 12);
}

TEST_CASE("a call retried after the time given in a refusal is granted") {
  quota_manager manager;
  manager.set_share(0.5, at(0));
  const account_limit limit{4, 2};
  REQUIRE(is_granted(manager, limit, 10));
  const quota_response answer = manager.ask(request_for(limit), at(10));
  REQUIRE(answer.outcome == quota_outcome::refused);
  CHECK(answer.retry_after == duration(500ms));
  CHECK(is_granted(manager, limit, 10.5));
}

TEST_CASE("a host that is not a quota manager grants nothing") {
  quota_manager manager;
  CHECK(manager.ask(request_for({5, 5}), at(10)).outcome == quota_outcome::not_kept);
  manager.set_share(0.5, at(10));
  manager.set_share(0, at(11));
  CHECK(manager.ask(request_for({5, 5}), at(20)).outcome == quota_outcome::not_kept);
}

// A new manager does not know what its predecessor granted. If it started with full buckets, the
// same share would be granted twice.
TEST_CASE("a new quota manager does not grant again what others granted before") {
  quota_manager manager;
  manager.set_share(0.5, at(10));
  const account_limit limit{10, 100};
  CHECK(granted_of(manager, limit, 10, 100) == 0);
  CHECK(granted_of(manager, limit, 11, 100) == 5);
}

// Without the log, each restart would grant the burst once more.
TEST_CASE("a restart does not refill the buckets") {
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
  // The time between the last record and the restart is unknown and does not count.
  after.set_share(1, at(7));
  CHECK(granted_of(after, limit, 7, 10) == 3);
  CHECK(granted_of(after, limit, 7.5, 10) == 5);
  // An account without earlier requests has a full bucket.
  CHECK(after.ask({client_account("east"), limit, limit_version(1)}, at(7)).outcome ==
        quota_outcome::granted);

  quota_manager from_snapshot;
  from_snapshot.restore(before.whole(at(100.3)));
  from_snapshot.set_share(1, at(1));
  CHECK(granted_of(from_snapshot, limit, 1, 10) == 3);
}

// Another host granted the share in the meantime, so the old levels are obsolete.
TEST_CASE("a host that was no manager for a time does not reuse its old buckets") {
  const account_limit limit{10, 10};
  quota_manager before;
  before.set_share(1, at(0));
  REQUIRE(is_granted(before, limit, 100));
  quota_manager after;
  after.restore(before.take_changes(at(100)));
  after.set_share(0, at(0));
  after.set_share(1, at(50));
  CHECK(granted_of(after, limit, 50, 10) == 0);
  // The same holds for the next process.
  REQUIRE(is_granted(after, limit, 50.1));
  quota_manager last;
  last.restore(before.whole(at(100)));
  last.restore(after.take_changes(at(50.1)));
  last.set_share(1, at(0));
  CHECK(granted_of(last, limit, 0, 10) == 0);
}

// Front hosts learn of a configuration at different times, so requests with the old and the new
// limit alternate.
TEST_CASE("a limit of an older configuration does not replace a newer one") {
  struct row {
    std::string what;
    account_limit first;
    account_limit second;
    std::uint64_t second_version;
    int granted;
  };
  const row item = GENERATE(values<row>({
      {"lowered", {100, 100}, {2, 2}, 2, 2},
      {"the older limit does not come back", {100, 100}, {2, 2}, 0, 50},
      {"raised: the bucket fills from now on", {2, 2}, {100, 100}, 2, 1},
      {"lifted", {2, 2}, {0, 0}, 2, 50},
  }));
  INFO(item.what);
  quota_manager manager;
  manager.set_share(1, at(0));
  REQUIRE(is_granted(manager, item.first, 100, 1));
  int granted = 0;
  for (int call = 0; call < 50; ++call) {
    granted += is_granted(manager, item.second, 100, item.second_version) ? 1 : 0;
  }
  CHECK(granted == item.granted);
}

TEST_CASE("dropping an idle account neither refunds nor costs calls") {
  quota_manager manager;
  manager.set_share(0.5, at(0));
  const account_limit limit{10, 10};
  REQUIRE(granted_of(manager, limit, 100, 5) == 5);
  manager.forget_idle(at(100.5));
  CHECK(manager.accounts() == 1);
  manager.forget_idle(at(101));
  // The grants are not logged yet.
  CHECK(manager.accounts() == 1);
  manager.take_changes(at(101));
  manager.forget_idle(at(101));
  CHECK(manager.accounts() == 0);
  CHECK(granted_of(manager, limit, 101, 10) == 5);
}

TEST_CASE("a round does not end before a grant or the last response") {
  enum class reply { grant, refusal, no_response, not_kept };
  struct row {
    std::vector<reply> replies;
    quota_decision decision;
  };
  const row item = GENERATE(values<row>({
      {{reply::grant}, quota_decision::granted},
      {{reply::refusal, reply::grant}, quota_decision::granted},
      {{reply::refusal, reply::refusal}, quota_decision::over_limit},
      {{reply::refusal, reply::no_response}, quota_decision::over_limit},
      {{reply::no_response, reply::no_response}, quota_decision::unknown},
      {{reply::not_kept, reply::not_kept}, quota_decision::unknown},
      {{}, quota_decision::unknown},
  }));
  quota_round round(item.replies.size());
  for (const reply& kind : item.replies) {
    REQUIRE(round.decision() == quota_decision::undecided);
    const auto manager = round.ask_next();
    REQUIRE(manager);
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
      case reply::no_response:
        round.failed();
        break;
    }
  }
  CHECK(round.decision() == item.decision);
}

namespace {

/// Quota managers, the front hosts that ask them, and message loss between them.
class lossy_deployment {
public:
  lossy_deployment(std::uint64_t seed, std::size_t count)
      : random(seed), managers(count, quota_manager(tolerance)) {
    for (quota_manager& manager : this->managers) {
      manager.set_share(this->share(), at(0));
    }
  }

  /// A call at a front host that reaches each manager with probability `delivery_rate` and loses
  /// each response with probability `response_loss_rate`.
  bool call(account_limit limit, double seconds, double delivery_rate, double response_loss_rate,
            std::uint64_t version = 1) {
    std::vector<std::size_t> order(this->managers.size());
    for (std::size_t index = 0; index < order.size(); ++index) {
      order[index] = index;
    }
    std::shuffle(order.begin(), order.end(), this->random);
    quota_round round(order.size());
    while (round.decision() == quota_decision::undecided) {
      const std::size_t manager = *round.ask_next();
      if (!this->happens(delivery_rate)) {
        round.failed();
        continue;
      }
      const quota_response answer =
          this->managers[order[manager]].ask(request_for(limit, version), at(seconds));
      if (this->happens(response_loss_rate)) {
        round.failed();
      } else {
        round.answered(answer);
      }
    }
    return round.decision() == quota_decision::granted;
  }
  void restart_some(double seconds, double chance) {
    for (quota_manager& manager : this->managers) {
      if (this->happens(chance)) {
        // A restart: all earlier grants have been logged, so the new manager restores a snapshot.
        const quota_record snapshot = manager.whole(at(seconds));
        manager = quota_manager(tolerance);
        if (this->happens(0.7)) {
          manager.restore(snapshot);
        }
        manager.set_share(this->share(), at(seconds));
      }
    }
  }
  bool happens(double chance) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < chance;
  }
  double random_pause(double rate) {
    return std::exponential_distribution<double>(rate)(this->random);
  }

private:
  [[nodiscard]] double share() const { return 1.0 / static_cast<double>(this->managers.size()); }

  std::mt19937_64 random;
  std::vector<quota_manager> managers;
};

/// Calls that the operator allows in a time span of length `window`.
double max_calls_in_window(account_limit limit) {
  const double quota_calls = limit.calls_per_second * window + limit.burst;
  return quota_calls * (1 + tolerance.excess) + tolerance.slack;
}

}  // namespace

TEST_CASE("lost messages and restarts do not lead to more calls than the quota in any span") {
  const std::uint64_t seed = GENERATE(range(1, 41));
  lossy_deployment deployment(seed, seed % 2 == 0 ? 5 : 3);
  const account_limit limit{10.0 + static_cast<double>(seed), static_cast<double>(seed)};
  std::vector<double> granted;
  double now = 20;
  while (now < 80) {
    now += deployment.random_pause(limit.calls_per_second * 6);
    const double delivery_rate = now < 40 ? 1 : 0.5;
    if (deployment.call(limit, now, delivery_rate, 0.1)) {
      granted.push_back(now);
    }
    deployment.restart_some(now, 0.001);
  }
  const double most = max_calls_in_window(limit);
  INFO("seed " << seed);
  CHECK(static_cast<double>(max_calls_in_span(granted, window)) <= most);
  // The quota is used: the first twenty seconds have no faults but lost responses.
  const auto before_message_loss =
      std::count_if(granted.begin(), granted.end(), [](double time) { return time < 40; });
  CHECK(static_cast<double>(before_message_loss) >= 0.8 * limit.calls_per_second * 20);
}

// A divided quota can refuse a call while its tokens are spread over several managers, each of
// which has less than one.
TEST_CASE("dividing a quota refuses at most 1% of the calls that one bucket would grant") {
  const double rate = GENERATE(2.0, 8.0, 30.0, 200.0);
  quota_manager exact;
  exact.set_share(1, at(0));
  lossy_deployment deployment(static_cast<std::uint64_t>(rate), 5);
  const account_limit limit{1.6 * rate, 1.6 * rate};
  int calls = 0;
  int refused = 0;
  double now = 100;
  while (now < 400) {
    now += deployment.random_pause(rate);
    ++calls;
    const bool is_granted_exactly = is_granted(exact, limit, now);
    const bool is_granted_divided = deployment.call(limit, now, 1, 0);
    refused += is_granted_exactly && !is_granted_divided ? 1 : 0;
  }
  INFO(rate << ": " << refused << " of " << calls);
  CHECK(refused <= calls / 100);
}

// Requests of hosts that do not know the new limit yet carry the old one; a manager must apply the
// newest limit to all requests.
TEST_CASE("hosts that do not know a lowered limit yet cannot exceed it") {
  lossy_deployment deployment(3, 5);
  const account_limit before{100, 100};
  const account_limit after{10, 10};
  double now = 50;
  std::vector<double> granted;
  while (now < 70) {
    now += deployment.random_pause(300);
    const bool knows_new_limit = now > 52 && deployment.happens(0.5);
    if (deployment.call(knows_new_limit ? after : before, now, 1, 0, knows_new_limit ? 2 : 1) &&
        now > 52.1) {
      granted.push_back(now);
    }
  }
  CHECK(static_cast<double>(max_calls_in_span(granted, window)) <= max_calls_in_window(after));
}
