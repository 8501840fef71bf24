// Guards against reads of the store that stop while messages between hosts wait: a report of an old
// read that arrives late must not make the read look new.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

#include "hawthornlane/fleet/store_read_schedule.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 10ms;
constexpr duration read_time = 30ms;
/// From one read of the store to the next one by any host: the time that users allow until a change
/// is known everywhere.
constexpr duration max_time_between_reads = 2s;

struct report {
  timestamp arrives;
  std::size_t to = 0;
  store_read read;
  duration age{};
};

struct front {
  explicit front(const host_id& name, timestamp now) : schedule(name, now) {}

  store_read_schedule schedule;
  /// A slow host handles what has arrived only when its event loop gets to it.
  bool slow = false;
  timestamp busy_until{};
  timestamp reads_until{};
  timestamp read_began{};
};

/// Hosts that gossip about the newest read, some of which are slow.
class gossiping_hosts {
public:
  gossiping_hosts(unsigned seed, std::size_t count, double slow_share) : random(seed) {
    for (std::size_t number = 0; number < count; ++number) {
      this->fronts.emplace_back(host_id("front-" + std::to_string(100 + number)), this->now);
      this->fronts.back().slow = this->chance(slow_share);
    }
  }

  /// Returns the longest time between two reads.
  duration play(duration time) {
    for (const timestamp end = this->now + time; this->now < end; this->now += step) {
      this->deliver();
      for (std::size_t number = 0; number < this->fronts.size(); ++number) {
        this->run(number);
      }
      this->longest = std::max(this->longest, this->now - this->last_read);
    }
    return this->longest;
  }

private:
  bool chance(double share) { return std::bernoulli_distribution(share)(this->random); }
  int pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(this->random); }

  void deliver() {
    const auto due = std::stable_partition(
        this->on_the_way.begin(), this->on_the_way.end(), [this](const report& one) {
          return one.arrives > this->now || this->fronts[one.to].busy_until > this->now;
        });
    std::for_each(due, this->on_the_way.end(), [this](const report& one) {
      this->fronts[one.to].schedule.record_read(
          {one.read.by, one.read.number, this->now - one.age});
      this->fronts[one.to].schedule.record_contact(this->now);
    });
    this->on_the_way.erase(due, this->on_the_way.end());
  }

  void run(std::size_t number) {
    front& host = this->fronts[number];
    if (host.busy_until > this->now) {
      return;
    }
    if (host.slow && this->chance(0.05)) {
      host.busy_until = this->now + step * (20 + this->pick(60));
      return;
    }
    if (host.reads_until != timestamp{} && this->now >= host.reads_until) {
      host.reads_until = {};
      host.schedule.record_own_read(host.read_began);
      this->last_read = std::max(this->last_read, host.read_began);
    }
    if (host.reads_until == timestamp{} && host.schedule.due(this->now, number)) {
      host.schedule.began(this->now);
      host.read_began = this->now;
      host.reads_until = this->now + read_time;
    }
    if (host.schedule.heard() && this->chance(0.5)) {
      const auto to = static_cast<std::size_t>(this->pick(static_cast<int>(this->fronts.size())));
      this->on_the_way.push_back(
          {this->now + step, to, host.schedule.newest_read(), host.schedule.age(this->now)});
    }
  }

  std::mt19937 random;
  timestamp now{1h};
  std::vector<front> fronts;
  std::vector<report> on_the_way;
  timestamp last_read{this->now};
  duration longest{};
};

}  // namespace

TEST_CASE("hosts do not stop reading the store while their messages are late") {
  struct row {
    const char* what;
    std::size_t hosts;
    double slow_share;
  };
  const row rows[] = {
      {"all hosts are fast", 52, 0.0},
      {"a tenth of the hosts is slow", 52, 0.1},
      {"two fifths of the hosts are slow", 52, 0.4},
      {"two fifths of many hosts are slow", 150, 0.4},
  };
  for (const row& item : rows) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      INFO(item.what << ", seed " << seed);
      gossiping_hosts hosts(seed, item.hosts, item.slow_share);
      CHECK(hosts.play(20s) <= max_time_between_reads);
    }
  }
}
