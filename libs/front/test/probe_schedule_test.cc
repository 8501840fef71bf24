// Guards against two hosts that probe each other more often than needed, or so rarely that a live
// host is declared failed. Simulates pairs of hosts that take turns at probing.
#include "hawthornlane/front/probe_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr duration probe_interval = 1s;
/// A host leaves a peer out of its address answers after this long without a message.
constexpr duration silence_timeout = 3 * probe_interval + 100ms;
/// Interval at which a host checks whether a probe is due.
constexpr duration check_interval = 25ms;

/// One of the two hosts.
struct prober {
  duration started{};
  probe_times times;
  duration last_message{};
  duration longest_silence{};

  void record_message(duration at) {
    this->longest_silence = std::max(this->longest_silence, at - this->last_message);
    this->last_message = at;
  }
};

struct pair_result {
  int probes = 0;
  duration longest_silence{};
};

/// Decides whether a host probes the other one now.
using probe_rule = std::function<bool(const probe_times&, int host, timestamp now)>;

bool by_turns(const probe_times& times, int host, timestamp now) {
  return is_probe_due(times, host == 0, probe_interval, now);
}

bool at_every_interval(const probe_times& times, int, timestamp now) {
  return now - times.last_sent >= probe_interval;
}

/// Simulates two hosts, of which the second one starts `start_delay` later; `arrives` decides
/// whether a message of host `from` arrives.
pair_result simulate(duration start_delay, duration length,
                     const std::function<bool(int from)>& arrives,
                     const probe_rule& is_due = by_turns) {
  const timestamp begin(1h);
  prober hosts[2];
  hosts[1].started = start_delay;
  pair_result result;
  for (duration at{}; at < length; at += check_interval) {
    const timestamp now = begin + at;
    for (int number = 0; number < 2; ++number) {
      prober& own = hosts[number];
      prober& other = hosts[1 - number];
      const bool both_started = at >= own.started && at >= other.started;
      if (!both_started || !is_due(own.times, number, now)) {
        continue;
      }
      ++result.probes;
      own.times.last_sent = now;
      if (!arrives(number)) {
        continue;
      }
      other.record_message(at);
      other.times.last_received = now;
      if (arrives(1 - number)) {
        own.record_message(at);
        own.times.last_acked = now;
      }
    }
  }
  for (prober& host : hosts) {
    host.record_message(length);
    result.longest_silence = std::max(result.longest_silence, host.longest_silence);
  }
  return result;
}

}  // namespace

TEST_CASE("a pair sends one probe per interval, and neither goes without a message for long") {
  constexpr int intervals = 200;
  for (duration start_delay = 0ms; start_delay < probe_interval; start_delay += 50ms) {
    INFO("the second host starts " << to_seconds(start_delay) << " s later");
    const pair_result result =
        simulate(start_delay, intervals * probe_interval, [](int) { return true; });
    CHECK(result.probes <= intervals + 2);
    CHECK(result.longest_silence <= probe_interval + probe_interval / 2);
  }
}

TEST_CASE("a host whose messages are lost is probed no less often") {
  struct row {
    const char* what;
    bool first_arrives;
    bool second_arrives;
    bool both_stay_alive;
  };
  const row rows[] = {
      {"all messages arrive", true, true, true},
      {"messages of the first host are lost", false, true, false},
      {"messages of the second host are lost", true, false, false},
      {"all messages are lost", false, false, false},
  };
  constexpr int intervals = 50;
  for (const row& item : rows) {
    INFO(item.what);
    const pair_result result = simulate(300ms, intervals * probe_interval, [&](int from) {
      return from == 0 ? item.first_arrives : item.second_arrives;
    });
    CHECK((result.longest_silence < silence_timeout) == item.both_stay_alive);
    CHECK(result.probes >= intervals - 1);
  }
}

TEST_CASE("taking turns declares live hosts failed no more often than twice the probes") {
  constexpr int pairs = 500;
  const auto count_failed_pairs = [](double loss_rate, const probe_rule& is_due) {
    constexpr duration length = 40 * probe_interval;
    std::mt19937 random(7);
    std::bernoulli_distribution lost(loss_rate);
    int failed_pairs = 0;
    for (int pair = 0; pair < pairs; ++pair) {
      const duration start_delay =
          std::uniform_int_distribution<int>(0, 39)(random) * check_interval;
      const pair_result result = simulate(
          start_delay, length, [&](int) { return !lost(random); }, is_due);
      failed_pairs += result.longest_silence >= silence_timeout ? 1 : 0;
    }
    return failed_pairs;
  };
  for (const double loss_rate : {0.05, 0.1, 0.2, 0.3}) {
    const int with_turns = count_failed_pairs(loss_rate, by_turns);
    const int before = count_failed_pairs(loss_rate, at_every_interval);
    INFO(loss_rate << " of the messages lost: failed pairs " << with_turns << " of " << pairs
                   << ", with twice the probes " << before);
    CHECK(with_turns <= before);
  }
}
