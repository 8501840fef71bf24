// Guards against failed hosts that are detected late, live hosts declared failed, and too many
// probes, also while all hosts are slow. Simulates a fleet without a network: messages take a fixed
// time, and probes of failed hosts time out.
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
constexpr duration probe_round_interval = 100ms;
constexpr duration probe_timeout = 500ms;
/// The first probes have ended by then, for any number of hosts.
constexpr duration warm_up_end = 6s;
constexpr duration failure_time = 10s;

struct fleet_parameters {
  int hosts = 9;
  int failures = 1;
  /// Whether hosts share their suspicions.
  bool share = true;
  /// Time from a probe to its answer; below 0.2 s no suspicion arises.
  duration answer_after{};
};

struct fleet_result {
  /// Time from the failures until every live host has detected all of them; at most 20 s.
  duration detected_after{};
  /// How often a live host was seen as failed, summed over hosts and time steps.
  int false_detections = 0;
  /// Probes per host and second while no host has failed.
  double probes = 0;
  /// Largest number of suspected hosts named in one message.
  std::size_t max_named = 0;
  /// Largest number of probes of one host in one probe round on reports of others.
  int max_reported_probes = 0;
};

/// Simulates hosts that probe each other, of which the last ones fail.
class simulated_fleet {
public:
  explicit simulated_fleet(fleet_parameters with) : plan(with) {
    // Probe interval of front hosts: 16 ms for each peer, at least 0.4 s.
    this->timing.probe_interval = std::max<duration>(400ms, 16ms * (with.hosts - 1));
    this->timing.silence_timeout = 3 * this->timing.probe_interval + 100ms;
    for (int number = 0; number < with.hosts; ++number) {
      simulated_host host;
      for (int other = 0; other < with.hosts; ++other) {
        const double phase = std::uniform_real_distribution<double>(0, 1)(this->random);
        host.watches.emplace_back(this->moment(), phase);
      }
      host.next_probe_round = std::uniform_int_distribution<int>(0, 9)(this->random) * step;
      this->hosts.push_back(std::move(host));
    }
  }

  /// Simulates a start of all hosts at once, which probe each other and answer late.
  fleet_result simulate_start(duration length) {
    for (int number = 0; number < this->plan.hosts; ++number) {
      for (int other = 0; other < this->plan.hosts; ++other) {
        if (other != number) {
          this->probe(number, other);
        }
      }
    }
    for (; this->now < length; this->now += step) {
      this->answer_probes();
      this->run_probe_rounds();
      this->result.false_detections += this->count_false_detections();
    }
    return this->result;
  }

  fleet_result simulate() {
    const duration end = failure_time + 20s;
    for (; this->now < end; this->now += step) {
      this->fail_probes();
      this->run_probe_rounds();
      if (this->now < failure_time) {
        continue;
      }
      this->result.false_detections += this->count_false_detections();
      if (this->all_detected()) {
        break;
      }
    }
    this->result.detected_after = this->now - failure_time;
    this->result.probes =
        this->probes_before_failure / to_seconds(failure_time - warm_up_end) / this->plan.hosts;
    return this->result;
  }

private:
  struct simulated_host {
    std::vector<peer_failure_detector> watches;
    suspicion_limits limits;
    /// Suspected hosts that its messages name until its next probe round.
    std::vector<host_key> named;
    duration next_probe_round{};
    int reported_probes = 0;
  };
  struct open_probe {
    int from = 0;
    int to = 0;
    duration sent{};
  };

  [[nodiscard]] timestamp moment() const { return timestamp(1h + this->now); }
  [[nodiscard]] timestamp moment(duration at) const { return timestamp(1h + at); }
  [[nodiscard]] bool has_failed(int number) const {
    return this->now >= failure_time && number >= this->plan.hosts - this->plan.failures;
  }

  void run_probe_rounds() {
    for (int number = 0; number < this->plan.hosts; ++number) {
      this->run_probe_round(number);
    }
  }

  void run_probe_round(int number) {
    simulated_host& host = this->hosts[number];
    if (this->has_failed(number) || this->now < host.next_probe_round) {
      return;
    }
    host.next_probe_round += probe_round_interval;
    host.reported_probes = 0;
    host.named = this->select_named(host);
    std::set<host_key> confirmation_due;
    for (int other = 0; other < this->plan.hosts; ++other) {
      if (other == number) {
        continue;
      }
      if (host.watches[other].regular_probe_due(number < other, this->timing, this->moment())) {
        this->probe(number, other);
      } else if (host.watches[other].confirmation_due(this->moment())) {
        confirmation_due.insert(key_of(other));
      }
    }
    for (const host_key other : host.limits.select_to_probe(confirmation_due)) {
      this->probe_reported(number, static_cast<int>(other.get()));
    }
  }

  static host_key key_of(int number) { return host_key(static_cast<std::uint32_t>(number)); }

  void probe_reported(int from, int to) {
    ++this->hosts[from].reported_probes;
    this->result.max_reported_probes =
        std::max(this->result.max_reported_probes, this->hosts[from].reported_probes);
    this->probe(from, to);
  }

  void probe(int from, int to) {
    peer_failure_detector& watch = this->hosts[from].watches[to];
    watch.record_probe_sent(this->moment());
    this->probes_before_failure += this->now >= warm_up_end && this->now < failure_time ? 1 : 0;
    if (this->has_failed(to)) {
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
    watch.record_probe_answered(this->moment(probe.sent));
    watch.record_message(this->moment());
    this->hosts[probe.to].watches[probe.from].record_probe_received(this->moment());
    this->hosts[probe.to].watches[probe.from].record_message(this->moment());
    this->deliver_suspicions(probe.from, probe.to);
    this->deliver_suspicions(probe.to, probe.from);
  }

  void answer_probes() {
    while (!this->answering.empty() &&
           this->now - this->answering.front().sent >= this->plan.answer_after) {
      const open_probe probe = this->answering.front();
      this->answering.pop_front();
      this->answer(probe);
    }
  }

  std::vector<host_key> select_named(simulated_host& host) {
    std::set<host_key> suspected;
    for (int about = 0; about < this->plan.hosts; ++about) {
      if (host.watches[about].suspected(this->moment())) {
        suspected.insert(key_of(about));
      }
    }
    std::vector<host_key> named = host.limits.select_to_name(suspected);
    this->result.max_named = std::max(this->result.max_named, named.size());
    return named;
  }

  void deliver_suspicions(int from, int to) {
    if (!this->plan.share) {
      return;
    }
    for (const host_key key : this->hosts[from].named) {
      const int about = static_cast<int>(key.get());
      if (about != to) {
        this->handle_suspicion(to, from, about);
      }
    }
  }

  void handle_suspicion(int host, int from, int about) {
    peer_failure_detector& watch = this->hosts[host].watches[about];
    watch.record_suspicion(host_id(std::to_string(from)), this->moment());
    if (watch.confirmation_due(this->moment()) && this->hosts[host].limits.admit_reported_probe()) {
      this->probe_reported(host, about);
    }
  }

  void fail_probes() {
    std::erase_if(this->failing, [this](const open_probe& item) {
      if (this->now - item.sent < probe_timeout) {
        return false;
      }
      this->hosts[item.from].watches[item.to].record_probe_failed(this->moment(item.sent));
      return true;
    });
  }

  [[nodiscard]] bool all_detected() const {
    for (int number = 0; number < this->plan.hosts - this->plan.failures; ++number) {
      for (int other = this->plan.hosts - this->plan.failures; other < this->plan.hosts; ++other) {
        if (this->hosts[number].watches[other].is_alive(this->timing, this->moment())) {
          return false;
        }
      }
    }
    return true;
  }

  [[nodiscard]] int count_false_detections() const {
    int false_detections = 0;
    const int live_hosts = this->plan.hosts - this->plan.failures;
    for (int number = 0; number < live_hosts; ++number) {
      for (int other = 0; other < live_hosts; ++other) {
        const peer_failure_detector& watch = this->hosts[number].watches[other];
        false_detections +=
            other != number && !watch.is_alive(this->timing, this->moment()) ? 1 : 0;
      }
    }
    return false_detections;
  }

  fleet_parameters plan;
  detector_timing timing;
  duration now{};
  std::mt19937 random{11};
  std::vector<simulated_host> hosts;
  std::vector<open_probe> failing;
  /// Ordered by the time sent.
  std::deque<open_probe> answering;
  double probes_before_failure = 0;
  fleet_result result;
};

}  // namespace

TEST_CASE("failed hosts are detected by all others within two seconds, for any number of hosts") {
  // Detection by silence alone takes 1.2 s with 9 hosts, 4.0 s with 83, 16.4 s with 340.
  struct row {
    const char* what;
    int hosts;
    int failures;
  };
  const row rows[] = {{"one of 9", 9, 1},     {"one of 83", 83, 1},   {"a sixth of 83", 83, 14},
                      {"half of 83", 83, 41}, {"one of 340", 340, 1}, {"a zone of 340", 340, 17}};
  for (const row& item : rows) {
    const fleet_result result = simulated_fleet({item.hosts, item.failures}).simulate();
    INFO(item.what << ": detected after " << to_seconds(result.detected_after) << " s with "
                   << result.probes << " probes per host and second");
    CHECK(result.detected_after <= 2s);
    CHECK(result.false_detections == 0);
    // Each pair sends one probe per interval, which is 16 ms for each peer.
    CHECK(result.probes <= 33);
  }
}

TEST_CASE("shared suspicions more than halve the time to detect a failed host") {
  const fleet_result without_sharing = simulated_fleet({83, 1, false}).simulate();
  const fleet_result with_sharing = simulated_fleet({83, 1, true}).simulate();
  CHECK(with_sharing.detected_after < without_sharing.detected_after / 2);
}

TEST_CASE("a start of many slow hosts does not cause too many named suspects and probes") {
  // Without limits a message named up to 127 hosts, and a host sent up to 806 probes on reports of
  // others in one probe round.
  struct row {
    const char* what;
    duration answer_after;
  };
  const row rows[] = {{"answers later than a suspicion arises", 300ms},
                      {"answers shortly before the probe timeout", 480ms}};
  for (const row& item : rows) {
    INFO(item.what);
    constexpr int hosts = 300;
    const fleet_result result =
        simulated_fleet({hosts, 0, true, item.answer_after}).simulate_start(1500ms);
    CHECK(result.max_named <= 48);
    CHECK(result.max_reported_probes <= 12);
    CHECK(result.false_detections == 0);
  }
}
