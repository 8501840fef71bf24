// How soon all hosts of a fleet know that some have died, and what their probes cost, also while
// all hosts are slow. No network: messages take a fixed time, and probes of dead hosts fail after
// their limit.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/front/peer_failure_detector.h"
#include "hawthornlane/front/suspicion_limits.h"

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
  /// From a probe until its answer; nobody suspects anybody of whom it is less than 0.2 s.
  duration answer_after{};
};

struct fleet_result {
  /// From the deaths until the last living host believed in all of them; capped at 20 s.
  duration known_after{};
  /// Beliefs that a host which lives is gone.
  int wrong = 0;
  /// Probes of one host a second while all live.
  double probes = 0;
  /// In one message.
  std::size_t most_named = 0;
  /// Of one host between two of its looks, on others' word.
  int most_on_word = 0;
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

  /// All hosts start at once, probe each other, and answer late.
  fleet_result play_start(duration length) {
    for (int number = 0; number < this->plan.hosts; ++number) {
      for (int other = 0; other < this->plan.hosts; ++other) {
        if (other != number) {
          this->probe(number, other);
        }
      }
    }
    for (; this->now < length; this->now += step) {
      this->answer_probes();
      this->look_all();
      this->result.wrong += this->wrong_beliefs();
    }
    return this->result;
  }

  fleet_result play() {
    const duration end = death + 20s;
    for (; this->now < end; this->now += step) {
      this->fail_probes();
      this->look_all();
      if (this->now < death) {
        continue;
      }
      this->result.wrong += this->wrong_beliefs();
      if (this->all_know()) {
        break;
      }
    }
    this->result.known_after = this->now - death;
    this->result.probes = this->probes_in_calm / to_seconds(death - calm) / this->plan.hosts;
    return this->result;
  }

private:
  struct watching_host {
    std::vector<peer_failure_detector> watches;
    suspicion_limits limits;
    /// Whom its messages name until its next look.
    std::vector<host_key> named;
    duration next_look{};
    int on_word = 0;
  };
  struct open_probe {
    int from = 0;
    int to = 0;
    duration sent{};
  };

  [[nodiscard]] timestamp moment() const { return timestamp(1h + this->now); }
  [[nodiscard]] timestamp moment(duration at) const { return timestamp(1h + at); }
  [[nodiscard]] bool dead(int number) const {
    return this->now >= death && number >= this->plan.hosts - this->plan.deaths;
  }

  void look_all() {
    for (int number = 0; number < this->plan.hosts; ++number) {
      this->look(number);
    }
  }

  void look(int number) {
    watching_host& host = this->hosts[number];
    if (this->dead(number) || this->now < host.next_look) {
      return;
    }
    host.next_look += look_pause;
    host.on_word = 0;
    host.named = this->names_of(host);
    std::set<host_key> doubted;
    for (int other = 0; other < this->plan.hosts; ++other) {
      if (other == number) {
        continue;
      }
      if (host.watches[other].turn_due(number < other, this->pace, this->moment())) {
        this->probe(number, other);
      } else if (host.watches[other].doubted(this->moment())) {
        doubted.insert(key_of(other));
      }
    }
    for (const host_key other : host.limits.to_probe(doubted)) {
      this->probe_on_word(number, static_cast<int>(other.get()));
    }
  }

  static host_key key_of(int number) { return host_key(static_cast<std::uint32_t>(number)); }

  void probe_on_word(int from, int to) {
    ++this->hosts[from].on_word;
    this->result.most_on_word = std::max(this->result.most_on_word, this->hosts[from].on_word);
    this->probe(from, to);
  }

  void probe(int from, int to) {
    peer_failure_detector& watch = this->hosts[from].watches[to];
    watch.probe_sent(this->moment());
    this->probes_in_calm += this->now >= calm && this->now < death ? 1 : 0;
    if (this->dead(to)) {
      this->failing.push_back({from, to, this->now});
      return;
    }
    if (this->plan.answer_after > 0ms) {
      this->answering.push_back({from, to, this->now});
      return;
    }
    this->answer({from, to, this->now});
  }

  void answer(const open_probe& probe) {
    peer_failure_detector& watch = this->hosts[probe.from].watches[probe.to];
    watch.probe_answered(this->moment(probe.sent));
    watch.heard(this->moment());
    this->hosts[probe.to].watches[probe.from].was_probed(this->moment());
    this->hosts[probe.to].watches[probe.from].heard(this->moment());
    this->tell(probe.from, probe.to);
    this->tell(probe.to, probe.from);
  }

  void answer_probes() {
    while (!this->answering.empty() &&
           this->now - this->answering.front().sent >= this->plan.answer_after) {
      const open_probe probe = this->answering.front();
      this->answering.pop_front();
      this->answer(probe);
    }
  }

  std::vector<host_key> names_of(watching_host& host) {
    std::set<host_key> suspected;
    for (int about = 0; about < this->plan.hosts; ++about) {
      if (host.watches[about].suspected(this->moment())) {
        suspected.insert(key_of(about));
      }
    }
    std::vector<host_key> named = host.limits.to_name(suspected);
    this->result.most_named = std::max(this->result.most_named, named.size());
    return named;
  }

  void tell(int from, int to) {
    if (!this->plan.share) {
      return;
    }
    for (const host_key key : this->hosts[from].named) {
      const int about = static_cast<int>(key.get());
      if (about != to) {
        this->hear_suspicion(to, from, about);
      }
    }
  }

  void hear_suspicion(int host, int from, int about) {
    peer_failure_detector& watch = this->hosts[host].watches[about];
    watch.told_by(host_id(std::to_string(from)), this->moment());
    if (watch.doubted(this->moment()) && this->hosts[host].limits.admit_probe()) {
      this->probe_on_word(host, about);
    }
  }

  void fail_probes() {
    std::erase_if(this->failing, [this](const open_probe& item) {
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
        const peer_failure_detector& watch = this->hosts[number].watches[other];
        wrong += other != number && !watch.lives(this->pace, this->moment()) ? 1 : 0;
      }
    }
    return wrong;
  }

  fleet_plan plan;
  detector_timing pace;
  duration now{};
  std::mt19937 random{11};
  std::vector<watching_host> hosts;
  std::vector<open_probe> failing;
  /// In the order in which they were sent.
  std::deque<open_probe> answering;
  double probes_in_calm = 0;
  fleet_result result;
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

TEST_CASE("a start of many slow hosts costs each of them few names and probes") {
  // Without limits a message named up to 127 hosts, and a host sent up to 806 probes on others'
  // word between two looks.
  struct row {
    const char* what;
    duration answer_after;
  };
  const row rows[] = {{"later than a suspicion", 300ms}, {"near the limit of a probe", 480ms}};
  for (const row& item : rows) {
    INFO(item.what);
    constexpr int hosts = 300;
    const fleet_result result =
        played_fleet({hosts, 0, true, item.answer_after}).play_start(1500ms);
    CHECK(result.most_named <= 48);
    CHECK(result.most_on_word <= 12);
    CHECK(result.wrong == 0);
  }
}
