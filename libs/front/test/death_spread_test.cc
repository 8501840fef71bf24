// How soon all hosts of a fleet know that some have died, and what their probes cost. No
// network: messages take a fixed time, and probes of dead hosts fail after their limit.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/front/peer_watch.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 10ms;
constexpr duration look_pause = 100ms;
constexpr duration probe_limit = 500ms;
/// The first probes are over by then, at any number of hosts.
constexpr duration calm = 6s;
constexpr duration death = 10s;

struct fleet_plan {
  int hosts = 9;
  int deaths = 1;
  /// Hosts tell each other whom they suspect.
  bool share = true;
};

struct fleet_result {
  /// From the deaths until the last living host believed in all of them; capped at 20 s.
  duration known_after{};
  /// Beliefs that a host which lives is gone.
  int wrong = 0;
  /// Probes of one host a second while all live.
  double probes = 0;
};

/// Hosts that probe each other, of which the last ones die.
class played_fleet {
public:
  explicit played_fleet(fleet_plan with) : plan(with) {
    // The pauses of front hosts: 16 ms for each other host, 0.4 s at least.
    this->pace.pause = std::max<duration>(400ms, 16ms * (with.hosts - 1));
    this->pace.silence = 3 * this->pace.pause + 100ms;
    for (int number = 0; number < with.hosts; ++number) {
      watching_host host;
      for (int other = 0; other < with.hosts; ++other) {
        const double phase = std::uniform_real_distribution<double>(0, 1)(this->random);
        host.watches.emplace_back(this->moment(), phase);
      }
      host.next_look = std::uniform_int_distribution<int>(0, 9)(this->random) * step;
      this->hosts.push_back(std::move(host));
    }
  }

  fleet_result play() {
    fleet_result result;
    const duration end = death + 20s;
    for (; this->now < end; this->now += step) {
      this->fail_probes();
      for (int number = 0; number < this->plan.hosts; ++number) {
        this->look(number);
      }
      if (this->now < death) {
        continue;
      }
      result.wrong += this->wrong_beliefs();
      if (this->all_know()) {
        break;
      }
    }
    result.known_after = this->now - death;
    result.probes = this->probes_in_calm / to_seconds(death - calm) / this->plan.hosts;
    return result;
  }

private:
  struct watching_host {
    std::vector<peer_watch> watches;
    duration next_look{};
  };
  struct failing_probe {
    int from = 0;
    int to = 0;
    duration sent{};
  };

  [[nodiscard]] timestamp moment() const { return timestamp(1h + this->now); }
  [[nodiscard]] timestamp moment(duration at) const { return timestamp(1h + at); }
  [[nodiscard]] bool dead(int number) const {
    return this->now >= death && number >= this->plan.hosts - this->plan.deaths;
  }

  void look(int number) {
    watching_host& host = this->hosts[number];
    if (this->dead(number) || this->now < host.next_look) {
      return;
    }
    host.next_look += look_pause;
    for (int other = 0; other < this->plan.hosts; ++other) {
      if (other != number) {
        this->probe_if_due(number, other);
      }
    }
  }

  void probe_if_due(int from, int to) {
    const peer_watch& watch = this->hosts[from].watches[to];
    if (watch.probe_due(from < to, this->pace, this->moment())) {
      this->probe(from, to);
    }
  }

  void probe(int from, int to) {
    peer_watch& watch = this->hosts[from].watches[to];
    watch.probe_sent(this->moment());
    this->probes_in_calm += this->now >= calm && this->now < death ? 1 : 0;
    if (this->dead(to)) {
      this->failing.push_back({from, to, this->now});
      return;
    }
    watch.probe_answered(this->moment());
    watch.heard(this->moment());
    this->hosts[to].watches[from].was_probed(this->moment());
    this->hosts[to].watches[from].heard(this->moment());
    this->tell(from, to);
    this->tell(to, from);
  }

  void tell(int from, int to) {
    if (!this->plan.share) {
      return;
    }
    for (int about = 0; about < this->plan.hosts; ++about) {
      if (about != to && this->hosts[from].watches[about].suspected(this->moment())) {
        peer_watch& watch = this->hosts[to].watches[about];
        watch.told_by(host_id(std::to_string(from)), this->moment());
        this->probe_if_due(to, about);
      }
    }
  }

  void fail_probes() {
    std::erase_if(this->failing, [this](const failing_probe& item) {
      if (this->now - item.sent < probe_limit) {
        return false;
      }
      this->hosts[item.from].watches[item.to].probe_failed(this->moment(item.sent));
      return true;
    });
  }

  [[nodiscard]] bool all_know() const {
    for (int number = 0; number < this->plan.hosts - this->plan.deaths; ++number) {
      for (int other = this->plan.hosts - this->plan.deaths; other < this->plan.hosts; ++other) {
        if (this->hosts[number].watches[other].lives(this->pace, this->moment())) {
          return false;
        }
      }
    }
    return true;
  }

  [[nodiscard]] int wrong_beliefs() const {
    int wrong = 0;
    const int living = this->plan.hosts - this->plan.deaths;
    for (int number = 0; number < living; ++number) {
      for (int other = 0; other < living; ++other) {
        const peer_watch& watch = this->hosts[number].watches[other];
        wrong += other != number && !watch.lives(this->pace, this->moment()) ? 1 : 0;
      }
    }
    return wrong;
  }

  fleet_plan plan;
  watch_pace pace;
  duration now{};
  std::mt19937 random{11};
  std::vector<watching_host> hosts;
  std::vector<failing_probe> failing;
  double probes_in_calm = 0;
};

}  // namespace

TEST_CASE("every host knows of deaths in two seconds, however many hosts there are") {
  // By silence alone: 1.2 s among 9 hosts, 4.0 s among 83, 16.4 s among 340.
  struct row {
    const char* what;
    int hosts;
    int deaths;
  };
  const row rows[] = {{"one of 9", 9, 1},     {"one of 83", 83, 1},   {"a sixth of 83", 83, 14},
                      {"half of 83", 83, 41}, {"one of 340", 340, 1}, {"a zone of 340", 340, 17}};
  for (const row& item : rows) {
    const fleet_result result = played_fleet({item.hosts, item.deaths}).play();
    INFO(item.what << ": known after " << to_seconds(result.known_after) << " s with "
                   << result.probes << " probes a host and second");
    CHECK(result.known_after <= 2s);
    CHECK(result.wrong == 0);
    // A probe each 16 ms for each pair of hosts, by one of the two.
    CHECK(result.probes <= 33);
  }
}

TEST_CASE("what others tell makes a host know sooner of a death") {
  const fleet_result alone = played_fleet({83, 1, false}).play();
  const fleet_result told = played_fleet({83, 1, true}).play();
  CHECK(told.known_after < alone.known_after / 2);
}
