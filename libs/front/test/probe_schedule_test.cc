// Two hosts that take turns at probing: how many probes they need, and how old what one
// knows of the other becomes.
#include "hawthornlane/front/probe_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr duration pause_between = 1s;
/// A host that has heard nothing of another one for so long leaves it out of its answers.
constexpr duration silence = 3 * pause_between + 100ms;
/// A host looks this often at whom it should probe.
constexpr duration look = 25ms;

/// One of the two hosts.
struct prober {
  duration started{};
  probe_times moments;
  duration heard{};
  duration longest_unheard{};

  void hear(duration at) {
    this->longest_unheard = std::max(this->longest_unheard, at - this->heard);
    this->heard = at;
  }
};

struct pair_result {
  int probes = 0;
  duration longest_unheard{};
};

/// Whether a host probes the other one now.
using probe_rule = std::function<bool(const probe_times&, int host, timestamp now)>;

bool by_turns(const probe_times& moments, int host, timestamp now) {
  return is_probe_due(moments, host == 0, pause_between, now);
}

bool at_every_pause(const probe_times& moments, int, timestamp now) {
  return now - moments.tried >= pause_between;
}

/// Plays two hosts, of which the second one starts later; `arrives` says whether a message
/// from one of them does.
pair_result play(duration later, duration length, const std::function<bool(int from)>& arrives,
                 const probe_rule& is_due = by_turns) {
  const timestamp begin(1h);
  prober hosts[2];
  hosts[1].started = later;
  pair_result result;
  for (duration at{}; at < length; at += look) {
    const timestamp now = begin + at;
    for (int number = 0; number < 2; ++number) {
      prober& own = hosts[number];
      prober& other = hosts[1 - number];
      const bool both_run = at >= own.started && at >= other.started;
      if (!both_run || !is_due(own.moments, number, now)) {
        continue;
      }
      ++result.probes;
      own.moments.tried = now;
      if (!arrives(number)) {
        continue;
      }
      other.hear(at);
      other.moments.was_probed = now;
      if (arrives(1 - number)) {
        own.hear(at);
        own.moments.probed = now;
      }
    }
  }
  for (prober& host : hosts) {
    host.hear(length);
    result.longest_unheard = std::max(result.longest_unheard, host.longest_unheard);
  }
  return result;
}

}  // namespace

TEST_CASE("two hosts need one probe a pause, and know each other as well as with two") {
  constexpr int pauses = 200;
  for (duration later = 0ms; later < pause_between; later += 50ms) {
    INFO("the second one starts " << to_seconds(later) << " s later");
    const pair_result result = play(later, pauses * pause_between, [](int) { return true; });
    CHECK(result.probes <= pauses + 2);
    CHECK(result.longest_unheard <= pause_between + pause_between / 2);
  }
}

TEST_CASE("a host whose messages get lost is probed at least as often") {
  struct row {
    const char* what;
    bool first_arrives;
    bool second_arrives;
    bool heard_by_all;
  };
  const row rows[] = {
      {"all arrive", true, true, true},
      {"those of the first host do not", false, true, false},
      {"those of the second host do not", true, false, false},
      {"none does", false, false, false},
  };
  constexpr int pauses = 50;
  for (const row& item : rows) {
    INFO(item.what);
    const pair_result result = play(300ms, pauses * pause_between, [&](int from) {
      return from == 0 ? item.first_arrives : item.second_arrives;
    });
    CHECK((result.longest_unheard < silence) == item.heard_by_all);
    CHECK(result.probes >= pauses - 1);
  }
}

TEST_CASE("turns lose a host that lives no more often than twice as many probes do") {
  constexpr int pairs = 500;
  const auto lost_pairs = [](double lost_part, const probe_rule& is_due) {
    constexpr duration length = 40 * pause_between;
    std::mt19937 random(7);
    std::bernoulli_distribution lost(lost_part);
    int missed = 0;
    for (int pair = 0; pair < pairs; ++pair) {
      const duration later = std::uniform_int_distribution<int>(0, 39)(random) * look;
      const pair_result result = play(
          later, length, [&](int) { return !lost(random); }, is_due);
      missed += result.longest_unheard >= silence ? 1 : 0;
    }
    return missed;
  };
  for (const double lost_part : {0.05, 0.1, 0.2, 0.3}) {
    const int taken_for_gone = lost_pairs(lost_part, by_turns);
    const int before = lost_pairs(lost_part, at_every_pause);
    INFO(lost_part << " of the messages lost: " << taken_for_gone << " of " << pairs
                   << " pairs, with twice the probes " << before);
    CHECK(taken_for_gone <= before);
  }
}
