// Plays a burst against many hosts that place calls without asking each other, and
// checks what callers get.
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "hawthornlane/placement/in_flight_limit.h"
#include "hawthornlane/placement/server_pool.h"
#include "played_events.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 24;
constexpr int servers = 16;
/// So many of them turn slow in some plans.
constexpr int slow_servers = 3;
constexpr std::uint32_t slots = 6;
/// Until the first event, which hardly differs between calls, and from there to the end.
constexpr duration time_to_first = 60ms;
constexpr duration service_time = 140ms;
constexpr duration aim = 600ms;
/// What hosts know of each other's demand is this old.
constexpr duration demand_age = 800ms;
constexpr duration sharing_pause = 100ms;
constexpr duration burst_from = 3s;
constexpr duration burst_to = 7s;
constexpr duration end = 10s;
constexpr int slow_factor = 7;

/// What callers of one priority got that came during the burst.
struct class_result {
  int calls = 0;
  int in_time = 0;
  [[nodiscard]] double share() const { return static_cast<double>(this->in_time) / this->calls; }
};

/// How a load is played.
struct load_plan {
  double usual_load = 0.6;
  double burst_load = 1.35;
  bool share_places = true;
  /// The first servers take so many times longer during the burst.
  int slowness = 1;
  bool tell_pace = true;
};

/// Hosts, servers and callers on virtual time.
class played_load {
public:
  explicit played_load(load_plan with) : plan(with) {
    for (int number = 0; number < servers; ++number) {
      backend_entry entry;
      entry.id = backend_server_id("s" + std::to_string(number));
      entry.zone = availability_zone("z");
      entry.slots = slots;
      this->entries.push_back(entry);
      if (number < slow_servers) {
        this->slow.insert(entry.id.get());
      }
    }
    for (int number = 0; number < hosts; ++number) {
      this->pools.emplace_back(pool_rules{}, name_of(number), availability_zone("z"));
      this->pools.back().set_servers(this->entries, timestamp{});
    }
  }

  std::map<std::uint32_t, class_result> play() {
    this->at(0ms, [this] { this->arrive(); });
    this->at(0ms, [this] { this->tell_demand(); });
    this->at(0ms, [this] { this->share(); });
    this->events.run();
    return this->results;
  }

private:
  struct known_call {
    int host;
    std::uint32_t priority;
    duration arrived;
    std::string server;
  };
  struct server_state {
    int busy = 0;
    std::deque<placement_id> queue;
  };

  static host_id name_of(int number) { return host_id("h" + std::to_string(number)); }
  [[nodiscard]] timestamp moment() const { return timestamp(this->events.now()); }
  void at(duration after, std::function<void()> act) { this->events.at(after, std::move(act)); }
  [[nodiscard]] bool in_burst() const {
    return this->events.now() >= burst_from && this->events.now() < burst_to;
  }

  void arrive() {
    if (this->events.now() >= end) {
      return;
    }
    const double load = this->in_burst() ? this->plan.burst_load : this->plan.usual_load;
    const double rate = load * servers * slots / to_seconds(time_to_first + service_time);
    std::exponential_distribution<double> gap(rate);
    this->at(from_seconds(gap(this->random)), [this] { this->arrive(); });
    const int host = std::uniform_int_distribution<int>(0, hosts - 1)(this->random);
    placement_request request;
    request.id = placement_id(++this->calls_made);
    request.priority = std::bernoulli_distribution(0.4)(this->random) ? 0 : 1;
    request.kind = this->plan.tell_pace ? 1 : this->calls_made;
    request.affinity = 1 + this->calls_made % 97;
    request.wanted_by = this->moment() + aim;
    request.give_up_at = this->moment() + 3s;
    this->known[request.id] = {host, request.priority, this->events.now(), {}};
    if (this->in_burst()) {
      ++this->results[request.priority].calls;
    }
    std::vector<placement> placed;
    this->pools[host].submit(request, this->moment(), placed);
    this->send(placed);
  }

  void send(const std::vector<placement>& placed) {
    for (const placement& item : placed) {
      known_call& call = this->known.at(item.id);
      call.server = item.server.id.get();
      server_state& server = this->states[call.server];
      if (server.busy < static_cast<int>(slots)) {
        ++server.busy;
        this->run(item.id);
      } else {
        server.queue.push_back(item.id);
      }
    }
  }

  void run(placement_id id) {
    const bool slow = this->in_burst() && this->slow.contains(this->known.at(id).server);
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    const int factor = slow ? this->plan.slowness : 1;
    const duration first = from_seconds(to_seconds(time_to_first) * factor);
    this->at(first,
             [this, id] { this->pools[this->known.at(id).host].started(id, this->moment()); });
    const duration rest = from_seconds(to_seconds(service_time) * spread * factor);
    this->at(first + rest, [this, id] { this->end_call(id); });
  }

  void end_call(placement_id id) {
    const known_call call = this->known.at(id);
    class_result& result = this->results[call.priority];
    const bool counts = call.arrived >= burst_from && call.arrived < burst_to;
    result.in_time += counts && this->events.now() - call.arrived <= aim ? 1 : 0;
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
  }

  void tell_demand() {
    this->told.clear();
    this->told_by_all = 0;
    for (int number = 0; number < hosts; ++number) {
      const auto demand = static_cast<double>(this->pools[number].demand());
      this->told.push_back(demand);
      this->told_by_all += demand;
    }
    if (this->events.now() < end) {
      this->at(demand_age, [this] { this->tell_demand(); });
    }
  }

  void share() {
    for (int number = 0; number < hosts; ++number) {
      server_pool& pool = this->pools[number];
      for (const placement_id& id : pool.expire(this->moment())) {
        this->known.erase(id);
      }
      if (this->plan.share_places) {
        service_load load;
        load.places = pool.healthy_places(this->moment());
        load.own_calls = static_cast<double>(pool.demand());
        load.other_calls = this->told_by_all - this->told.at(static_cast<std::size_t>(number));
        this->send(pool.set_in_flight_limit(compute_in_flight_limit(load), this->moment()));
      }
      this->send(pool.tick(this->moment()));
    }
    if (this->events.now() < end + 5s) {
      this->at(sharing_pause, [this] { this->share(); });
    }
  }

  load_plan plan;
  std::vector<backend_entry> entries;
  std::deque<server_pool> pools;
  std::map<std::string, server_state> states;
  std::map<placement_id, known_call> known;
  std::vector<double> told;
  double told_by_all = 0;
  std::set<std::string> slow;
  play::played_events events;
  std::map<std::uint32_t, class_result> results;
  std::mt19937_64 random{7};
  std::uint64_t calls_made = 0;
};

}  // namespace

TEST_CASE("in a burst, urgent calls are in time, and the rest loses little") {
  load_plan plan;
  plan.share_places = false;
  const auto before = played_load(plan).play();
  plan.share_places = true;
  const auto after = played_load(plan).play();
  INFO("urgent in time " << before.at(0).share() << " -> " << after.at(0).share() << ", others "
                         << before.at(1).share() << " -> " << after.at(1).share());
  CHECK(after.at(0).share() > 0.5);
  CHECK(before.at(0).share() < 0.35);
  CHECK(after.at(1).share() > before.at(1).share() - 0.25);
  const auto all_in_time = [](const auto& results) {
    return results.at(0).in_time + results.at(1).in_time;
  };
  CHECK(all_in_time(after) > all_in_time(before));
}

TEST_CASE("without a burst the sharing of places costs nothing") {
  load_plan plan;
  plan.burst_load = plan.usual_load;
  plan.share_places = false;
  const auto before = played_load(plan).play();
  plan.share_places = true;
  const auto after = played_load(plan).play();
  for (const std::uint32_t priority : {0U, 1U}) {
    INFO(before.at(priority).share() << " -> " << after.at(priority).share());
    CHECK(after.at(priority).share() > before.at(priority).share() - 0.01);
  }
}

TEST_CASE("calls keep away from a server that has turned slow") {
  load_plan plan;
  plan.burst_load = plan.usual_load;
  plan.slowness = slow_factor;
  plan.tell_pace = false;
  const auto blind = played_load(plan).play();
  plan.tell_pace = true;
  const auto seeing = played_load(plan).play();
  INFO("urgent in time " << blind.at(0).share() << " -> " << seeing.at(0).share());
  CHECK(seeing.at(0).share() > blind.at(0).share() + 0.03);
}
