// Admission of programs under a quota. An admitted program must be able to finish: if a new program
// may take the calls that programs in progress still need, none of them ends, and the calls already
// granted are wasted.
#include "hawthornlane/limits/active_programs.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>

#include "hawthornlane/limits/quota_manager.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

timestamp at(double seconds) { return timestamp(from_seconds(seconds)); }

}  // namespace

TEST_CASE("a new program is not admitted on calls that programs in progress still need") {
  active_programs begun;
  CHECK(begun.needed(0, 1, at(0)) == 0);
  CHECK(begun.needed(10, 0.2, at(0)) == Approx(2));
  begun.admit(program_key(7), at(0));
  CHECK(begun.needed(10, 1, at(0)) == Approx(10 + 9));
  begun.record_call(program_key(7), at(1));
  begun.record_grant(program_key(7));
  CHECK(begun.needed(10, 1, at(1)) == Approx(10 + 8));
  CHECK(begun.needed(10, 0.1, at(1)) == Approx(1));
  // Nothing is reserved for a program that makes no calls, but it is still admitted when it asks
  // again.
  CHECK(begun.needed(10, 1, at(3)) == Approx(10 + 8));
  CHECK(begun.needed(10, 1, at(3.5)) == Approx(10));
  begun.remove_expired(at(15.5));
  CHECK(begun.contains(program_key(7), at(15.5)));
  CHECK_FALSE(begun.contains(program_key(7), at(16.5)));
  begun.remove_expired(at(16.5));
  CHECK(begun.empty());
}

TEST_CASE("the estimate of calls per program converges to the real number") {
  program_size_estimate size;
  for (int program = 0; program < 50; ++program) {
    size.record_start();
    for (int call = 1; call < 8; ++call) {
      size.record_call();
    }
    CHECK((size.mean() > 0) == (program >= 5));
  }
  CHECK(size.mean() == Approx(8).epsilon(0.05));
}

TEST_CASE(
    "reservations block neither programs in progress nor, with a full bucket, a new program") {
  const account_limit limit{1, 9};
  quota_manager manager;
  manager.set_share(1, at(0));
  const auto ask = [&](std::uint64_t program, bool starts_at, double seconds) {
    quota_request request{client_account("north"), limit, limit_version(1)};
    request.program = quota_program{program_key(program), starts_at};
    return manager.ask(request, at(seconds)).outcome == quota_outcome::granted;
  };
  // Programs of six calls; the bucket is full before each of them.
  for (std::uint64_t program = 1; program <= 8; ++program) {
    for (int call = 0; call < 6; ++call) {
      REQUIRE(ask(program, call == 0, 100.0 * static_cast<double>(program)));
    }
  }
  // The next program is admitted when the bucket has room for six more calls.
  CHECK_FALSE(ask(9, true, 802.5));
  CHECK(ask(10, false, 802.5));
  CHECK(ask(9, true, 804.5));
  // An admitted program continues whatever else is requested, also with a call marked as a possible
  // first one.
  CHECK_FALSE(ask(11, true, 804.5));
  CHECK(ask(9, true, 804.5));
  CHECK(ask(12, true, 820));
}

// A program admitted elsewhere, or before a restart, asks here for many calls. Counted without its
// beginning, they would raise the mean and keep new programs out.
TEST_CASE(
    "calls of programs that were not admitted here do not raise the estimate of calls per "
    "program") {
  const account_limit limit{1000, 60};
  quota_manager manager;
  manager.set_share(1, at(0));
  const auto ask = [&](const char* account, std::uint64_t program, bool starts_at, double seconds) {
    quota_request request{client_account(account), limit, limit_version(1)};
    request.program = quota_program{program_key(program), starts_at};
    return manager.ask(request, at(seconds)).outcome == quota_outcome::granted;
  };
  for (std::uint64_t program = 1; program <= 10; ++program) {
    for (int call = 0; call < 4; ++call) {
      REQUIRE(ask("north", program, call == 0, 100 + static_cast<double>(program)));
    }
  }
  for (int call = 0; call < 5000; ++call) {
    ask("south", 99, false, 200 + 0.01 * call);
  }
  CHECK(manager.calls_of_a_program() == Approx(4));
}

// The call after the turn may be marked as a possible first one. Treated as the start of a new
// program, it would be refused while the bucket is low.
TEST_CASE("an admitted program is not treated as a new one after a turn of several seconds") {
  const account_limit limit{1, 9};
  quota_manager manager;
  manager.set_share(1, at(0));
  const auto ask = [&](std::uint64_t program, double seconds) {
    quota_request request{client_account("north"), limit, limit_version(1)};
    request.program = quota_program{program_key(program), true};
    return manager.ask(request, at(seconds)).outcome == quota_outcome::granted;
  };
  for (std::uint64_t program = 1; program <= 9; ++program) {
    REQUIRE(ask(program, 100));
  }
  CHECK(ask(1, 106));
}

namespace {

constexpr double turn_duration_s = 0.23;
constexpr double pause_duration_s = 0.06;

/// A program is a sequence of steps; a step is a set of chains of calls that run in parallel.
struct simulated_program {
  program_key key;
  std::vector<std::vector<std::vector<double>>> steps;
  double ideal_duration_s = 0;
  double started_at = 0;
  int granted = 0;
  bool failed = false;
  bool counted = false;
};

/// One account and its five quota managers. Programs consist of turns, with tool calls after most
/// turns and sub-programs after some.
class simulated_account {
public:
  /// `marks_first_calls`: requests mark the first call of a program, so that managers reserve
  /// calls.
  simulated_account(std::uint64_t seed, double usual_calls, bool marks_first_calls)
      : random(seed),
        reserves_calls(marks_first_calls),
        limit{1.6 * usual_calls, 1.6 * usual_calls} {
    for (quota_manager& manager : this->managers) {
      manager = quota_manager(quota_tolerance{5s, 0.1, 20});
      manager.set_share(1.0 / static_cast<double>(this->managers.size()), at(0));
    }
  }

  /// The load is `usual` calls a second, and `times` that during the overload from `overload_start`
  /// on.
  void play(double usual, double times) {
    constexpr double length = overload_start + 30;
    constexpr double mean_calls = 16.2;
    double starts_at = 0;
    while (starts_at < length) {
      const bool in_overload =
          starts_at >= overload_start && starts_at < overload_start + overload_length;
      starts_at += std::exponential_distribution<double>(usual * (in_overload ? times : 1) /
                                                         mean_calls)(this->random);
      const auto program = this->make_program(starts_at);
      this->schedule(starts_at, [=, this] { this->do_step(program, 0); });
    }
    while (!this->events.empty()) {
      const auto next = this->events.begin();
      this->now = next->first;
      const std::function<void()> callback = std::move(next->second);
      this->events.erase(next);
      callback();
    }
  }

  /// Work of the programs that began during the overload, in seconds on an idle server.
  double total_work = 0;
  /// The part of `total_work` that belongs to programs that ended in time.
  double completed_work = 0;

private:
  using program_ptr = std::shared_ptr<simulated_program>;
  using chain = std::vector<double>;

  /// Late enough for the managers to have estimated the calls per program. In a deployment other
  /// accounts' programs provide the estimate within seconds.
  static constexpr double overload_start = 300;
  static constexpr double overload_length = 6.5;

  double draw(double mean, double spread) {
    const double variance = std::log(1 + spread * spread);
    return std::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                               std::sqrt(variance))(this->random);
  }
  bool happens(double chance) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < chance;
  }
  void schedule(double when, std::function<void()> callback) {
    this->events.emplace(when, std::move(callback));
  }

  program_ptr make_program(double starts_at) {
    const auto program = std::make_shared<simulated_program>();
    const bool is_chat = this->happens(0.765);
    program->key = program_key(this->random());
    program->started_at = starts_at;
    program->counted = starts_at >= overload_start && starts_at < overload_start + overload_length;
    const double mean_turns = is_chat ? 4 : 7;
    const int turns =
        static_cast<int>(std::clamp(std::round(this->draw(mean_turns, 0.4)), 1.0, 2 * mean_turns));
    for (int turn = 0; turn < turns; ++turn) {
      program->steps.push_back({{turn_duration_s}});
      std::vector<chain> parallel_chains;
      for (const auto& [share, seconds] : {std::pair(0.7, 0.052), {0.4, 0.208}, {0.2, 0.139}}) {
        if (this->happens(share)) {
          parallel_chains.push_back({this->draw(seconds, 0.5)});
        }
      }
      if (this->happens(is_chat ? 0.05 : 0.25)) {
        const auto sub_programs = static_cast<std::size_t>(std::max(1.0, this->draw(5, 0.3)));
        parallel_chains.resize(parallel_chains.size() + sub_programs,
                               chain{turn_duration_s, turn_duration_s});
      }
      if (!parallel_chains.empty()) {
        program->steps.push_back(parallel_chains);
      }
    }
    for (const std::vector<chain>& step : program->steps) {
      double longest = 0;
      for (const chain& calls : step) {
        longest = std::max(longest, std::accumulate(calls.begin(), calls.end(), 0.0));
      }
      program->ideal_duration_s += longest + pause_duration_s;
    }
    this->total_work += program->counted ? program->ideal_duration_s : 0;
    return program;
  }

  void do_step(const program_ptr& program, std::size_t step) {
    if (program->failed) {
      return;
    }
    if (step == program->steps.size()) {
      const bool in_time =
          this->now - program->started_at <= 1.3 * program->ideal_duration_s + 0.25;
      this->completed_work += program->counted && in_time ? program->ideal_duration_s : 0;
      return;
    }
    const auto chains_left = std::make_shared<std::size_t>(program->steps[step].size());
    for (const chain& calls : program->steps[step]) {
      this->do_call(program, step, calls, 0, chains_left);
    }
  }
  void do_call(const program_ptr& program, std::size_t step, const chain& calls, int tries,
               const std::shared_ptr<std::size_t>& chains_left) {
    if (program->failed) {
      return;
    }
    if (calls.empty()) {
      *chains_left -= 1;
      if (*chains_left == 0) {
        this->schedule(this->now + pause_duration_s,
                       [=, this] { this->do_step(program, step + 1); });
      }
      return;
    }
    if (this->is_granted(*program)) {
      this->schedule(this->now + calls.front(), [=, this] {
        this->do_call(program, step, {calls.begin() + 1, calls.end()}, 0, chains_left);
      });
      return;
    }
    // A turn is sent six times at most, a tool call twice.
    const int max_retries = calls.front() == turn_duration_s ? 5 : 1;
    program->failed = tries >= max_retries;
    const double wait = std::uniform_real_distribution<double>(0.25, 0.5)(this->random);
    this->schedule(this->now + wait,
                   [=, this] { this->do_call(program, step, calls, tries + 1, chains_left); });
  }
  bool is_granted(simulated_program& program) {
    quota_request request{client_account("north"), this->limit, limit_version(1)};
    request.program = quota_program{program.key, this->reserves_calls && program.granted == 0};
    for (std::size_t turn = 0; turn < this->managers.size(); ++turn) {
      const std::size_t manager = (program.key.get() + turn) % this->managers.size();
      if (this->managers[manager].ask(request, at(this->now)).outcome == quota_outcome::granted) {
        ++program.granted;
        return true;
      }
    }
    return false;
  }

  std::mt19937_64 random;
  bool reserves_calls;
  account_limit limit;
  std::array<quota_manager, 5> managers;
  double now = 0;
  std::multimap<double, std::function<void()>> events;
};

/// Fraction of the programs' server time that belongs to programs that end in time, over several
/// seeds.
double completed_fraction(double usual, double times, bool reserves_calls) {
  constexpr std::uint64_t seeds = 60;
  double completed_work = 0;
  double total_work = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulated_account account(seed, usual, reserves_calls);
    account.play(usual, times);
    completed_work += account.completed_work;
    total_work += account.total_work;
  }
  return completed_work / total_work;
}

}  // namespace

TEST_CASE("reservations let more programs finish in an overload and no fewer at the usual load") {
  const double usual = GENERATE(4.0, 16.0);
  const double overload_without_reservations = completed_fraction(usual, 6.6, false);
  const double overload_with_reservations = completed_fraction(usual, 6.6, true);
  const double usual_without_reservations = completed_fraction(usual, 1, false);
  const double usual_with_reservations = completed_fraction(usual, 1, true);
  INFO(usual << " calls a second");
  CHECK(overload_with_reservations > overload_without_reservations);
  CHECK(usual_with_reservations >= usual_without_reservations);
}
