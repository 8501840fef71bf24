// Plays calls without a prompt against servers of unequal and changing speed that many hosts
// share, and checks where work goes and what callers get.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/placement/server_pool.h"
#include "played_events.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 66;
constexpr int servers = 45;
constexpr int zones = 3;
constexpr std::uint32_t slots = 8;
/// A call at an idle server of usual speed.
constexpr duration usual_time = 140ms;
constexpr duration aim = 350ms;
/// Every third server is slow, and each is so for a seventh of the time.
constexpr double fast_factor = 0.7;
constexpr double slow_factor = 1.7;
constexpr double spell_factor = 2.5;
constexpr duration spell = 600ms;
constexpr duration between_spells = 3400ms;
constexpr duration learnt_after = 12s;
constexpr duration end = 30s;
constexpr duration fill_pause = 100ms;
constexpr duration renewal_pause = 1s;

struct load_plan {
  /// Part of what all servers can do.
  double load = 0.7;
  bool learns = true;
  /// What hosts tell each other takes so long.
  duration view_age{};
  bool age_known = true;
  bool spells = true;
  /// All keepers of the directory die at once in the middle.
  bool lose_keepers = false;
  /// Calls that want the server of their object.
  double with_affinity = 0.3;
};

struct load_result {
  int calls = 0;
  int in_time = 0;
  double messages = 0;
  duration time_of_all{};
  /// Of the busiest server over the mean, each by what it can do.
  double busiest = 0;
  /// Servers with a wrong and a right order of speeds, as one host sees them.
  double slow_seen = 0;
  double fast_seen = 0;

  [[nodiscard]] double share() const { return static_cast<double>(this->in_time) / this->calls; }
  [[nodiscard]] double mean_ms() const {
    return to_seconds(this->time_of_all) * 1000 / this->calls;
  }
  [[nodiscard]] double messages_per_call() const { return this->messages / this->calls; }
};

/// Hosts, servers, callers and the directory on virtual time.
class played_speeds {
public:
  explicit played_speeds(load_plan with) : plan(with) {
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

  load_result play() {
    this->at(0ms, [this] { this->arrive(); });
    this->at(0ms, [this] { this->look(); });
    this->at(0ms, [this] { this->renew(); });
    if (this->plan.lose_keepers) {
      this->at(learnt_after + 5s, [this] { this->directory = {}; });
    }
    for (int number = 0; number < servers && this->plan.spells; ++number) {
      const double first = std::uniform_real_distribution<double>(0, 4)(this->random);
      this->at(from_seconds(first), [this, number] { this->begin_spell(number); });
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
    bool in_spell = false;
    std::deque<placement_id> queue;
    int calls = 0;
  };

  static host_id name_of(int number) { return host_id("h" + std::to_string(number)); }
  static double factor_of(int server) { return server % 3 == 2 ? slow_factor : fast_factor; }
  [[nodiscard]] timestamp moment() const { return timestamp(this->events.now()); }
  void at(duration after, std::function<void()> act) { this->events.at(after, std::move(act)); }
  [[nodiscard]] bool counts(duration arrived) const {
    return arrived >= learnt_after && arrived < end;
  }

  /// Calls a second that all servers can do.
  [[nodiscard]] double capacity() const {
    double sum = 0;
    for (int number = 0; number < servers; ++number) {
      sum += slots / (to_seconds(usual_time) * factor_of(number));
    }
    const double part = to_seconds(spell) / to_seconds(spell + between_spells);
    return this->plan.spells ? sum * (1 - part + part / spell_factor) : sum;
  }

  void begin_spell(int server) {
    this->states[server].in_spell = true;
    this->at(spell, [this, server] { this->states[server].in_spell = false; });
    if (this->events.now() < end) {
      this->at(spell + between_spells, [this, server] { this->begin_spell(server); });
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
    request.wanted_by = this->moment() + aim;
    request.give_up_at = this->moment() + 3s;
    this->known[request.id] = {host, this->events.now(), 0};
    this->result.calls += this->counts(this->events.now()) ? 1 : 0;
    this->ask(host, request);
    std::vector<placement> placed;
    this->pools[host].submit(request, this->moment(), placed);
    this->send(placed);
    this->tell(host, this->pools[host].take_update());
  }

  void ask(int host, const placement_request& request) {
    const directory_request question =
        this->pools[host].directory_request_for(request, this->moment());
    for (const server_key key : question.servers) {
      this->answer(host, key);
    }
    this->count_messages(question.servers.size());
  }

  void answer(int host, server_key key) {
    const host_id asker = name_of(host);
    const auto calls = this->directory.load_of_others(key, asker, this->moment());
    this->pools[host].set_remote_load(
        {key, calls},
        timestamp(this->events.now() - (this->plan.age_known ? this->plan.view_age : 0ms)));
    if (const auto speed = this->directory.speed_of_others(key, asker, this->moment())) {
      this->pools[host].set_remote_speed(*speed, this->moment());
    }
  }

  /// Nearly each server has a keeper of its own.
  void count_messages(std::size_t count) {
    this->result.messages += this->counts(this->events.now()) ? static_cast<double>(count) : 0;
  }

  void tell(int host, directory_update update) {
    if (!this->plan.learns || update.empty()) {
      return;
    }
    this->pools[host].add_speeds(update, this->moment());
    this->count_messages(update.loads.size());
    this->at(this->plan.view_age, [this, host, update] {
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
    const double slowed = this->states[server].in_spell ? spell_factor : 1;
    const double took = to_seconds(usual_time) * factor_of(server) * slowed * spread;
    this->at(from_seconds(took), [this, id] { this->end_call(id); });
  }

  void end_call(placement_id id) {
    const known_call call = this->known.at(id);
    this->known.erase(id);
    if (this->counts(call.arrived)) {
      this->result.in_time += this->events.now() - call.arrived <= aim ? 1 : 0;
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
    this->tell(call.host, pool.take_update());
  }

  /// Each 100 ms hosts hear of the demand, and tell the ends of calls.
  void look() {
    const double fill = static_cast<double>(this->known.size()) / (servers * slots);
    for (int host = 0; host < hosts; ++host) {
      server_pool& pool = this->pools[host];
      pool.set_utilization(fill);
      this->send(pool.tick(this->moment()));
      if (pool.flush_ended_calls(this->moment())) {
        this->tell(host, pool.take_update());
      }
    }
    if (this->events.now() < end + 5s) {
      this->at(fill_pause, [this] { this->look(); });
    }
  }

  void renew() {
    for (int host = 0; host < hosts; ++host) {
      directory_update update;
      update.loads = this->pools[host].own_loads();
      this->tell(host, update);
    }
    if (this->events.now() < end) {
      this->at(renewal_pause, [this] { this->renew(); });
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
      const double due = all_calls / all_rates / factor_of(number);
      this->result.busiest = std::max(this->result.busiest, this->states[number].calls / due);
    }
    for (const server_slowdown& pace : this->pools.front().slowdowns(this->moment())) {
      const bool slow = factor_of(this->numbers.at(pace.id)) == slow_factor;
      (slow ? this->result.slow_seen : this->result.fast_seen) += pace.factor * 3 / servers;
    }
    this->result.fast_seen /= 2;
  }

  load_plan plan;
  std::map<backend_server_id, int> numbers;
  std::deque<server_pool> pools;
  placement_directory directory;
  std::vector<server_state> states;
  std::map<placement_id, known_call> known;
  play::played_events events;
  load_result result;
  std::mt19937_64 random{7};
  std::uint64_t calls_made = 0;
};

}  // namespace

TEST_CASE("calls without a prompt go to servers by their speed, also by old views") {
  // With loads as they are now at most half as many calls are late; loads of 500 ms ago, three
  // calls' time, are no worse than knowing none.
  struct row {
    const char* what;
    duration view_age;
    bool age_known;
    double with_affinity;
    double late_part;
    double late_more;
  };
  const row rows[] = {
      {"loads of now", 0ms, true, 0, 0.5, 0},
      {"loads of now, objects", 0ms, true, 0.3, 0.5, 0},
      {"loads of 50 ms ago, believed to be of now", 50ms, false, 0, 1, 0},
      {"loads of 500 ms ago", 500ms, true, 0, 1, 0.02},
      {"loads of 500 ms ago, objects", 500ms, true, 0.3, 1, 0},
  };
  for (const row& item : rows) {
    load_plan plan;
    plan.view_age = item.view_age;
    plan.age_known = item.age_known;
    plan.with_affinity = item.with_affinity;
    plan.learns = false;
    const load_result before = played_speeds(plan).play();
    plan.learns = true;
    const load_result after = played_speeds(plan).play();
    INFO(item.what << ": in time " << before.share() << " -> " << after.share() << ", mean "
                   << before.mean_ms() << " -> " << after.mean_ms() << " ms, busiest by rate "
                   << before.busiest << " -> " << after.busiest << ", messages a call "
                   << after.messages_per_call() << ", believed speeds " << after.slow_seen
                   << " and " << after.fast_seen);
    CHECK(after.busiest < 1.15);
    CHECK(1 - after.share() < item.late_part * (1 - before.share()) + item.late_more);
  }
}

TEST_CASE("what hosts tell each other of calls without a prompt goes by the load") {
  struct row {
    const char* what;
    double load;
    double most_messages;
  };
  const row rows[] = {
      {"little load: nothing", 0.15, 0.01},
      {"less than half full: one a call, and the renewal each second", 0.35, 1.25},
      {"more than half full: also three questions", 0.7, 5},
  };
  for (const row& item : rows) {
    load_plan plan;
    plan.load = item.load;
    const load_result result = played_speeds(plan).play();
    INFO(item.what << ": " << result.messages_per_call() << " messages a call");
    CHECK(result.messages_per_call() <= item.most_messages);
  }
}

TEST_CASE("what hosts know of speeds outlives the keepers of the directory") {
  load_plan plan;
  const load_result kept = played_speeds(plan).play();
  plan.lose_keepers = true;
  const load_result lost = played_speeds(plan).play();
  INFO("in time " << kept.share() << " -> " << lost.share() << ", busiest by rate " << kept.busiest
                  << " -> " << lost.busiest);
  CHECK(lost.share() > kept.share() - 0.01);
  CHECK(lost.busiest < 1.15);
}
