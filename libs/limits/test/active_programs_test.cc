// Programs under a quota: what is held back for those under way, and what callers get by it.
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

TEST_CASE("a program needs its own calls and what those under way are still to make") {
  active_programs begun;
  CHECK(begun.needed(0, 1, at(0)) == 0);
  CHECK(begun.needed(10, 0.2, at(0)) == Approx(2));
  begun.begin(program_key(7), at(0));
  CHECK(begun.needed(10, 1, at(0)) == Approx(10 + 9));
  begun.note_call(program_key(7), at(1));
  begun.note_grant(program_key(7));
  CHECK(begun.needed(10, 1, at(1)) == Approx(10 + 8));
  CHECK(begun.needed(10, 0.1, at(1)) == Approx(1));
  // Nothing is held back for one that is silent, but it goes on when it asks again.
  CHECK(begun.needed(10, 1, at(3)) == Approx(10 + 8));
  CHECK(begun.needed(10, 1, at(3.5)) == Approx(10));
  begun.forget_ended(at(15.5));
  CHECK(begun.contains(program_key(7), at(15.5)));
  CHECK_FALSE(begun.contains(program_key(7), at(16.5)));
  begun.forget_ended(at(16.5));
  CHECK(begun.empty());
}

TEST_CASE("a keeper learns how many calls a program makes") {
  program_size_estimate size;
  for (int program = 0; program < 50; ++program) {
    size.note_begin();
    for (int call = 1; call < 8; ++call) {
      size.note_call();
    }
    CHECK((size.mean() > 0) == (program >= 5));
  }
  CHECK(size.mean() == Approx(8).epsilon(0.05));
}

TEST_CASE("a call that begins no program is granted as before, and a full bucket lets any begin") {
  const account_limit limit{1, 9};
  quota_manager keeper;
  keeper.set_share(1, at(0));
  const auto ask = [&](std::uint64_t program, bool begins, double seconds) {
    quota_request question{client_account("north"), limit, limit_version(1)};
    question.program = quota_program{program_key(program), begins};
    return keeper.ask(question, at(seconds)).outcome == quota_outcome::granted;
  };
  // Programs of six calls, each by a bucket that is full again.
  for (std::uint64_t program = 1; program <= 8; ++program) {
    for (int call = 0; call < 6; ++call) {
      REQUIRE(ask(program, call == 0, 100.0 * static_cast<double>(program)));
    }
  }
  // The next one begins when the bucket has room for six more.
  CHECK_FALSE(ask(9, true, 802.5));
  CHECK(ask(10, false, 802.5));
  CHECK(ask(9, true, 804.5));
  // It goes on whatever is asked beside it, also by a call that could be its first.
  CHECK_FALSE(ask(11, true, 804.5));
  CHECK(ask(9, true, 804.5));
  CHECK(ask(12, true, 820));
}

TEST_CASE("calls of programs whose beginning nobody saw do not make programs look large") {
  const account_limit limit{1000, 60};
  quota_manager keeper;
  keeper.set_share(1, at(0));
  const auto ask = [&](const char* account, std::uint64_t program, bool begins, double seconds) {
    quota_request question{client_account(account), limit, limit_version(1)};
    question.program = quota_program{program_key(program), begins};
    return keeper.ask(question, at(seconds)).outcome == quota_outcome::granted;
  };
  for (std::uint64_t program = 1; program <= 10; ++program) {
    for (int call = 0; call < 4; ++call) {
      REQUIRE(ask("north", program, call == 0, 100 + static_cast<double>(program)));
    }
  }
  for (int call = 0; call < 5000; ++call) {
    ask("south", 99, false, 200 + 0.01 * call);
  }
  CHECK(keeper.calls_of_a_program() == Approx(4));
}

TEST_CASE(
    "a program that has begun goes on after a long turn, also by a call that could be its first") {
  const account_limit limit{1, 9};
  quota_manager keeper;
  keeper.set_share(1, at(0));
  const auto ask = [&](std::uint64_t program, double seconds) {
    quota_request question{client_account("north"), limit, limit_version(1)};
    question.program = quota_program{program_key(program), true};
    return keeper.ask(question, at(seconds)).outcome == quota_outcome::granted;
  };
  for (std::uint64_t program = 1; program <= 9; ++program) {
    REQUIRE(ask(program, 100));
  }
  CHECK(ask(1, 106));
}

namespace {

constexpr double turn_seconds = 0.23;
constexpr double think_seconds = 0.06;

/// A program: its steps follow each other, each of chains of calls that run side by side.
struct played_program {
  program_key key;
  std::vector<std::vector<std::vector<double>>> steps;
  double idle_seconds = 0;
  double began = 0;
  int granted = 0;
  bool failed = false;
  bool counted = false;
};

/// One account and its five keepers, with the programs of the given load: turns, tools after most
/// of them, helpers after some.
class played_account {
public:
  /// `holds_back`: keepers are told which calls begin a program.
  played_account(std::uint64_t seed, double usual_calls, bool tells_programs)
      : random(seed), holds_back(tells_programs), limit{1.6 * usual_calls, 1.6 * usual_calls} {
    for (quota_manager& keeper : this->keepers) {
      keeper = quota_manager(quota_tolerance{5s, 0.1, 20});
      keeper.set_share(1.0 / static_cast<double>(this->keepers.size()), at(0));
    }
  }

  /// Calls a second are `usual`, and `times` that from `rush_begins` on for a while.
  void play(double usual, double times) {
    constexpr double length = rush_begins + 30;
    constexpr double mean_calls = 16.2;
    double begins = 0;
    while (begins < length) {
      const bool in_rush = begins >= rush_begins && begins < rush_begins + rush_length;
      begins += std::exponential_distribution<double>(usual * (in_rush ? times : 1) /
                                                      mean_calls)(this->random);
      const auto program = this->make_program(begins);
      this->later(begins, [=, this] { this->do_step(program, 0); });
    }
    while (!this->events.empty()) {
      const auto next = this->events.begin();
      this->now = next->first;
      const std::function<void()> work = std::move(next->second);
      this->events.erase(next);
      work();
    }
  }

  /// Time on idle servers of the programs of the rush: of all, and of those that ended in time.
  double owed = 0;
  double served = 0;

private:
  using program_ptr = std::shared_ptr<played_program>;
  using chain = std::vector<double>;

  /// By then the keepers have learned how many calls a program makes, as they do from other
  /// accounts within seconds.
  static constexpr double rush_begins = 300;
  static constexpr double rush_length = 6.5;

  double draw(double mean, double spread) {
    const double variance = std::log(1 + spread * spread);
    return std::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                               std::sqrt(variance))(this->random);
  }
  bool happens(double chance) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < chance;
  }
  void later(double when, std::function<void()> work) {
    this->events.emplace(when, std::move(work));
  }

  program_ptr make_program(double begins) {
    const auto program = std::make_shared<played_program>();
    const bool is_chat = this->happens(0.765);
    program->key = program_key(this->random());
    program->began = begins;
    program->counted = begins >= rush_begins && begins < rush_begins + rush_length;
    const double mean_turns = is_chat ? 4 : 7;
    const int turns =
        static_cast<int>(std::clamp(std::round(this->draw(mean_turns, 0.4)), 1.0, 2 * mean_turns));
    for (int turn = 0; turn < turns; ++turn) {
      program->steps.push_back({{turn_seconds}});
      std::vector<chain> beside;
      for (const auto& [share, seconds] : {std::pair(0.7, 0.052), {0.4, 0.208}, {0.2, 0.139}}) {
        if (this->happens(share)) {
          beside.push_back({this->draw(seconds, 0.5)});
        }
      }
      if (this->happens(is_chat ? 0.05 : 0.25)) {
        const auto helpers = static_cast<std::size_t>(std::max(1.0, this->draw(5, 0.3)));
        beside.resize(beside.size() + helpers, chain{turn_seconds, turn_seconds});
      }
      if (!beside.empty()) {
        program->steps.push_back(beside);
      }
    }
    for (const std::vector<chain>& step : program->steps) {
      double longest = 0;
      for (const chain& calls : step) {
        longest = std::max(longest, std::accumulate(calls.begin(), calls.end(), 0.0));
      }
      program->idle_seconds += longest + think_seconds;
    }
    this->owed += program->counted ? program->idle_seconds : 0;
    return program;
  }

  void do_step(const program_ptr& program, std::size_t step) {
    if (program->failed) {
      return;
    }
    if (step == program->steps.size()) {
      const bool in_time = this->now - program->began <= 1.3 * program->idle_seconds + 0.25;
      this->served += program->counted && in_time ? program->idle_seconds : 0;
      return;
    }
    const auto left = std::make_shared<std::size_t>(program->steps[step].size());
    for (const chain& calls : program->steps[step]) {
      this->do_call(program, step, calls, 0, left);
    }
  }
  void do_call(const program_ptr& program, std::size_t step, const chain& calls, int tries,
               const std::shared_ptr<std::size_t>& left) {
    if (program->failed) {
      return;
    }
    if (calls.empty()) {
      *left -= 1;
      if (*left == 0) {
        this->later(this->now + think_seconds, [=, this] { this->do_step(program, step + 1); });
      }
      return;
    }
    if (this->is_granted(*program)) {
      this->later(this->now + calls.front(), [=, this] {
        this->do_call(program, step, {calls.begin() + 1, calls.end()}, 0, left);
      });
      return;
    }
    // A turn is sent six times at most, a tool twice.
    const int most_tries = calls.front() == turn_seconds ? 5 : 1;
    program->failed = tries >= most_tries;
    const double wait = std::uniform_real_distribution<double>(0.25, 0.5)(this->random);
    this->later(this->now + wait,
                [=, this] { this->do_call(program, step, calls, tries + 1, left); });
  }
  bool is_granted(played_program& program) {
    quota_request question{client_account("north"), this->limit, limit_version(1)};
    question.program = quota_program{program.key, this->holds_back && program.granted == 0};
    for (std::size_t turn = 0; turn < this->keepers.size(); ++turn) {
      const std::size_t keeper = (program.key.get() + turn) % this->keepers.size();
      if (this->keepers[keeper].ask(question, at(this->now)).outcome == quota_outcome::granted) {
        ++program.granted;
        return true;
      }
    }
    return false;
  }

  std::mt19937_64 random;
  bool holds_back;
  account_limit limit;
  std::array<quota_manager, 5> keepers;
  double now = 0;
  std::multimap<double, std::function<void()>> events;
};

/// Part of what programs are worth that comes in time, over several seeds.
double served_part(double usual, double times, bool holds_back) {
  constexpr std::uint64_t seeds = 60;
  double served = 0;
  double owed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    played_account account(seed, usual, holds_back);
    account.play(usual, times);
    served += account.served;
    owed += account.owed;
  }
  return served / owed;
}

}  // namespace

TEST_CASE("in a rush more programs get all their calls, and at the usual load none fewer") {
  const double usual = GENERATE(4.0, 16.0);
  const double rush_plain = served_part(usual, 6.6, false);
  const double rush_held = served_part(usual, 6.6, true);
  const double calm_plain = served_part(usual, 1, false);
  const double calm_held = served_part(usual, 1, true);
  INFO(usual << " calls a second");
  CHECK(rush_held > rush_plain);
  CHECK(calm_held >= calm_plain);
}
