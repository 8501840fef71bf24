// Simulates calls without a prompt at servers of unequal and changing speed that many hosts share.
// Checks the distribution of work and how many calls are in time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "event_queue.h"
#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/placement/server_pool.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 66;
constexpr int servers = 45;
constexpr int zones = 3;
constexpr std::uint32_t slots = 8;
/// Mean time of a call at a server with factor 1.
constexpr duration usual_time = 140ms;
constexpr duration target_time = 350ms;
/// Every third server is slow, and each server is temporarily slower for a seventh of the time.
constexpr double fast_factor = 0.7;
constexpr double slow_factor = 1.7;
constexpr double slow_period_factor = 2.5;
constexpr duration slow_period = 600ms;
constexpr duration normal_period = 3400ms;
constexpr duration measured_from = 12s;
constexpr duration end = 30s;
constexpr duration utilization_interval = 100ms;
constexpr duration report_interval = 1s;

struct load_plan {
  /// Load as a fraction of the capacity of all servers.
  double load = 0.7;
  bool learns = true;
  /// Delay of directory updates.
  duration report_delay{};
  /// If set, hosts know the age of the loads that they receive.
  bool age_known = true;
  /// If set, servers have slow periods.
  bool slow_periods = true;
  /// If set, all entries of the directory are lost at once during the run.
  bool lose_directory = false;
  /// Fraction of the calls that have an affinity key.
  double with_affinity = 0.3;
};

struct load_result {
  int calls = 0;
  int in_time = 0;
  double messages = 0;
  duration time_of_all{};
  /// Highest number of calls at a server, relative to its share of all calls by speed.
  double busiest = 0;
  /// Mean slowdown of the slow and of the fast servers, as one host estimates it.
  double slow_estimate = 0;
  double fast_estimate = 0;

  [[nodiscard]] double share() const { return static_cast<double>(this->in_time) / this->calls; }
  [[nodiscard]] double mean_ms() const {
    return to_seconds(this->time_of_all) * 1000 / this->calls;
  }
  [[nodiscard]] double messages_per_call() const { return this->messages / this->calls; }
};

/// Simulates hosts, servers, callers and the directory in virtual time.
class speed_simulation {
public:
  explicit speed_simulation(load_plan with) : plan(with) {
    std::vector<backend_entry> entries;
    for (int number = 0; number < servers; ++number) {
      backend_entry entry;
      entry.id = backend_server_id("s" + std::to_string(number));
      entry.zone = availability_zone("z" + std::to_string(number / 3 % zones));
      entry.slots = slots;
      entries.push_back(entry);
      this->numbers[entry.id] = number;
    }
    pool_rules rules;
    rules.learns_speed = this->plan.learns;
    for (int number = 0; number < hosts; ++number) {
      this->pools.emplace_back(rules, name_of(number),
                               availability_zone("z" + std::to_string(number % zones)));
      this->pools.back().set_servers(entries, timestamp{});
    }
    this->states.resize(servers);
  }

  load_result simulate() {
    this->at(0ms, [this] { this->arrive(); });
    this->at(0ms, [this] { this->update_utilization(); });
    this->at(0ms, [this] { this->repeat_reports(); });
    if (this->plan.lose_directory) {
      this->at(measured_from + 5s, [this] { this->directory = {}; });
    }
    for (int number = 0; number < servers && this->plan.slow_periods; ++number) {
      const double first = std::uniform_real_distribution<double>(0, 4)(this->random);
      this->at(from_seconds(first), [this, number] { this->begin_slow_period(number); });
    }
    this->events.run();
    this->measure_shares();
    return this->result;
  }

private:
  struct known_call {
    int host = 0;
    duration arrived{};
    int server = 0;
  };
  struct server_state {
    int busy = 0;
    bool in_slow_period = false;
    std::deque<placement_id> queue;
    int calls = 0;
  };

  static host_id name_of(int number) { return host_id("h" + std::to_string(number)); }
  static double factor_of(int server) { return server % 3 == 2 ? slow_factor : fast_factor; }
  [[nodiscard]] timestamp moment() const { return timestamp(this->events.now()); }
  void at(duration after, std::function<void()> act) { this->events.at(after, std::move(act)); }
  [[nodiscard]] bool counts(duration arrived) const {
    return arrived >= measured_from && arrived < end;
  }

  /// Calls per second that all servers can serve.
  [[nodiscard]] double capacity() const {
    double sum = 0;
    for (int number = 0; number < servers; ++number) {
      sum += slots / (to_seconds(usual_time) * factor_of(number));
    }
    const double part = to_seconds(slow_period) / to_seconds(slow_period + normal_period);
    return this->plan.slow_periods ? sum * (1 - part + part / slow_period_factor) : sum;
  }

  void begin_slow_period(int server) {
    this->states[server].in_slow_period = true;
    this->at(slow_period, [this, server] { this->states[server].in_slow_period = false; });
    if (this->events.now() < end) {
      this->at(slow_period + normal_period, [this, server] { this->begin_slow_period(server); });
    }
  }

  void arrive() {
    if (this->events.now() >= end) {
      return;
    }
    std::exponential_distribution<double> gap(this->capacity() * this->plan.load);
    this->at(from_seconds(gap(this->random)), [this] { this->arrive(); });
    const int host = std::uniform_int_distribution<int>(0, hosts - 1)(this->random);
    placement_request request;
    request.id = placement_id(++this->calls_made);
    request.kind = 1;
    if (std::bernoulli_distribution(this->plan.with_affinity)(this->random)) {
      request.affinity = 1 + this->random() % 2000;
    }
    request.wanted_by = this->moment() + target_time;
    request.give_up_at = this->moment() + 3s;
    this->known[request.id] = {host, this->events.now(), 0};
    this->result.calls += this->counts(this->events.now()) ? 1 : 0;
    this->request_loads(host, request);
    std::vector<placement> placed;
    this->pools[host].submit(request, this->moment(), placed);
    this->send(placed);
    this->report(host, this->pools[host].take_update());
  }

  void request_loads(int host, const placement_request& request) {
    const directory_request lookup =
        this->pools[host].directory_request_for(request, this->moment());
    for (const server_key key : lookup.servers) {
      this->answer(host, key);
    }
    this->count_messages(lookup.servers.size());
  }

  void answer(int host, server_key key) {
    const host_id requester = name_of(host);
    const auto calls = this->directory.load_of_others(key, requester, this->moment());
    this->pools[host].set_remote_load(
        {key, calls},
        timestamp(this->events.now() - (this->plan.age_known ? this->plan.report_delay : 0ms)));
    if (const auto speed = this->directory.speed_of_others(key, requester, this->moment())) {
      this->pools[host].set_remote_speed(*speed, this->moment());
    }
  }

  /// Counts one message per server, since nearly every server's entry is held by a different host.
  void count_messages(std::size_t count) {
    this->result.messages += this->counts(this->events.now()) ? static_cast<double>(count) : 0;
  }

  void report(int host, directory_update update) {
    if (!this->plan.learns || update.empty()) {
      return;
    }
    this->pools[host].add_speeds(update, this->moment());
    this->count_messages(update.loads.size());
    this->at(this->plan.report_delay, [this, host, update] {
      for (const server_load& load : update.loads) {
        this->directory.set_load(name_of(host), load, this->moment());
      }
      for (const speed_report& speed : update.speeds) {
        this->directory.set_speed(name_of(host), speed, this->moment());
      }
      for (const server_load& load : update.loads) {
        this->answer(host, load.server);
      }
    });
  }

  void send(const std::vector<placement>& placed) {
    for (const placement& item : placed) {
      known_call& call = this->known.at(item.id);
      call.server = this->numbers.at(item.server.id);
      server_state& server = this->states[call.server];
      server.calls += this->counts(call.arrived) ? 1 : 0;
      if (server.busy < static_cast<int>(slots)) {
        ++server.busy;
        this->run(item.id);
      } else {
        server.queue.push_back(item.id);
      }
    }
  }

  void run(placement_id id) {
    const int server = this->known.at(id).server;
    const double spread = std::uniform_real_distribution<double>(0.6, 1.4)(this->random);
    const double slowed = this->states[server].in_slow_period ? slow_period_factor : 1;
    const double took = to_seconds(usual_time) * factor_of(server) * slowed * spread;
    this->at(from_seconds(took), [this, id] { this->end_call(id); });
  }

  void end_call(placement_id id) {
    const known_call call = this->known.at(id);
    this->known.erase(id);
    if (this->counts(call.arrived)) {
      this->result.in_time += this->events.now() - call.arrived <= target_time ? 1 : 0;
      this->result.time_of_all += this->events.now() - call.arrived;
    }
    server_state& server = this->states[call.server];
    --server.busy;
    if (!server.queue.empty()) {
      const placement_id next = server.queue.front();
      server.queue.pop_front();
      ++server.busy;
      this->run(next);
    }
    server_pool& pool = this->pools[call.host];
    this->send(pool.finished(id, server_outcome::answered, this->moment()));
    this->report(call.host, pool.take_update());
  }

  /// Every 100 ms: gives the hosts the utilization, and reports batched ends of calls.
  void update_utilization() {
    const double utilization = static_cast<double>(this->known.size()) / (servers * slots);
    for (int host = 0; host < hosts; ++host) {
      server_pool& pool = this->pools[host];
      pool.set_utilization(utilization);
      this->send(pool.tick(this->moment()));
      if (pool.flush_ended_calls(this->moment())) {
        this->report(host, pool.take_update());
      }
    }
    if (this->events.now() < end + 5s) {
      this->at(utilization_interval, [this] { this->update_utilization(); });
    }
  }

  void repeat_reports() {
    for (int host = 0; host < hosts; ++host) {
      directory_update update;
      update.loads = this->pools[host].own_loads();
      this->report(host, update);
    }
    if (this->events.now() < end) {
      this->at(report_interval, [this] { this->repeat_reports(); });
    }
  }

  void measure_shares() {
    double all_rates = 0;
    int all_calls = 0;
    for (int number = 0; number < servers; ++number) {
      all_rates += 1 / factor_of(number);
      all_calls += this->states[number].calls;
    }
    for (int number = 0; number < servers; ++number) {
      const double expected_calls = all_calls / all_rates / factor_of(number);
      this->result.busiest =
          std::max(this->result.busiest, this->states[number].calls / expected_calls);
    }
    for (const server_slowdown& estimated : this->pools.front().slowdowns(this->moment())) {
      const bool slow = factor_of(this->numbers.at(estimated.id)) == slow_factor;
      (slow ? this->result.slow_estimate : this->result.fast_estimate) +=
          estimated.factor * 3 / servers;
    }
    this->result.fast_estimate /= 2;
  }

  load_plan plan;
  std::map<backend_server_id, int> numbers;
  std::deque<server_pool> pools;
  placement_directory directory;
  std::vector<server_state> states;
  std::map<placement_id, known_call> known;
  simulate::event_queue events;
  load_result result;
  std::mt19937_64 random{7};
  std::uint64_t calls_made = 0;
};

}  // namespace

TEST_CASE("calls without a prompt are spread over servers by speed, also with outdated loads") {
  // With current loads at most half as many calls are late as without speed estimates. Loads of
  // 500 ms ago, the time of three calls, must not be worse than no loads.
  struct row {
    const char* what;
    duration report_delay;
    bool age_known;
    double with_affinity;
    double max_late_ratio;
    double late_margin;
  };
  const row rows[] = {
      {"current loads", 0ms, true, 0, 0.5, 0},
      {"current loads, affinity keys", 0ms, true, 0.3, 0.5, 0},
      {"loads of 50 ms ago, age unknown", 50ms, false, 0, 1, 0},
      {"loads of 500 ms ago", 500ms, true, 0, 1, 0.02},
      {"loads of 500 ms ago, affinity keys", 500ms, true, 0.3, 1, 0},
  };
  for (const row& item : rows) {
    load_plan plan;
    plan.report_delay = item.report_delay;
    plan.age_known = item.age_known;
    plan.with_affinity = item.with_affinity;
    plan.learns = false;
    const load_result before = speed_simulation(plan).simulate();
    plan.learns = true;
    const load_result after = speed_simulation(plan).simulate();
    INFO(item.what << ": in time " << before.share() << " -> " << after.share() << ", mean "
                   << before.mean_ms() << " -> " << after.mean_ms() << " ms, busiest by rate "
                   << before.busiest << " -> " << after.busiest << ", messages a call "
                   << after.messages_per_call() << ", estimated slowdowns " << after.slow_estimate
                   << " and " << after.fast_estimate);
    CHECK(after.busiest < 1.15);
    CHECK(1 - after.share() < item.max_late_ratio * (1 - before.share()) + item.late_margin);
  }
}

TEST_CASE("few messages are sent for calls without a prompt, fewer at lower load") {
  struct row {
    const char* what;
    double load;
    double max_messages;
  };
  const row rows[] = {
      {"low load: no messages", 0.15, 0.01},
      {"less than half full: one per call, and the repeated counts each second", 0.35, 1.25},
      {"more than half full: also three requests", 0.7, 5},
  };
  for (const row& item : rows) {
    load_plan plan;
    plan.load = item.load;
    const load_result result = speed_simulation(plan).simulate();
    INFO(item.what << ": " << result.messages_per_call() << " messages a call");
    CHECK(result.messages_per_call() <= item.max_messages);
  }
}

TEST_CASE("hosts keep their speed estimates when the directory is lost") {
  load_plan plan;
  const load_result kept = speed_simulation(plan).simulate();
  plan.lose_directory = true;
  const load_result lost = speed_simulation(plan).simulate();
  INFO("in time " << kept.share() << " -> " << lost.share() << ", busiest by rate " << kept.busiest
                  << " -> " << lost.busiest);
  CHECK(lost.share() > kept.share() - 0.01);
  CHECK(lost.busiest < 1.15);
}
