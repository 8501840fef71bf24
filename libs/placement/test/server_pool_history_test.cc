// Compares the counts of a server pool with a simple model over random sequences of server changes
// and calls.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "server_pool_fixture.h"

using namespace hawthornlane;
using namespace hawthornlane::pool_tests;
using namespace std::chrono_literals;

namespace {

/// Adds, removes and restarts servers and starts and ends calls at random, and counts the calls in
/// a simple way.
class random_pool {
public:
  explicit random_pool(unsigned seed) : random(seed) {}

  void step() {
    this->now += 10ms;
    switch (this->random() % 5) {
      case 0:
        this->change_servers();
        break;
      case 1:
      case 2:
        this->begin_call();
        break;
      default:
        this->end_call();
        break;
    }
  }

  void check() {
    std::size_t at_servers = 0;
    for (const server_load& load : this->pool.own_loads()) {
      at_servers += load.calls;
    }
    CHECK(this->pool.demand() == at_servers + this->pool.waiting());
    const bool any_room = std::any_of(
        this->listed.begin(), this->listed.end(),
        [this](const backend_entry& entry) { return this->calls_at(entry) < entry.slots; });
    // No call may wait while a server has a free slot.
    CHECK((this->pool.waiting() == 0 || !any_room));
  }

private:
  std::size_t calls_at(const backend_entry& entry) const {
    const auto same = [&entry](const auto& item) {
      return item.second.id == entry.id && item.second.start == entry.start;
    };
    return static_cast<std::size_t>(
        std::count_if(this->running.begin(), this->running.end(), same));
  }

  void record(const std::vector<placement>& placed) {
    for (const placement& item : placed) {
      this->running[item.id] = item.server;
    }
  }

  void change_servers() {
    constexpr std::uint64_t names = 5;
    std::vector<backend_entry> next;
    for (std::uint64_t name = 0; name < names; ++name) {
      backend_entry entry = server("s" + std::to_string(name), name % 2 == 0 ? "here" : "there");
      const auto known =
          std::find_if(this->listed.begin(), this->listed.end(),
                       [&entry](const backend_entry& item) { return item.id == entry.id; });
      entry.start = known != this->listed.end() ? known->start : incarnation(1);
      if (this->random() % 4 == 0) {
        entry.start = incarnation(entry.start.get() + this->random() % 2);
      }
      if (this->random() % 4 != 0) {
        next.push_back(entry);
      }
    }
    this->listed = next;
    this->record(this->pool.set_servers(next, at(this->now)));
  }

  void begin_call() {
    placement_request request = call(++this->calls);
    request.affinity = this->random() % 3;
    request.give_up_at = at(1h);
    if (this->random() % 2 == 0) {
      request.prompt = {{prompt_part_key(1), token_count(500)},
                        {prompt_part_key(2 + this->random() % 7), token_count(900)}};
    }
    std::vector<placement> placed;
    this->pool.submit(request, at(this->now), placed);
    this->record(placed);
  }

  void end_call() {
    if (this->running.empty()) {
      return;
    }
    const auto ended =
        std::next(this->running.begin(), static_cast<int>(this->random() % this->running.size()));
    const placement_id id = ended->first;
    this->running.erase(ended);
    this->record(this->pool.finished(id, server_outcome::answered, at(this->now)));
  }

  std::mt19937 random;
  server_pool pool{pool_rules{}, host_id("front-1"), availability_zone("here")};
  std::vector<backend_entry> listed;
  std::map<placement_id, backend_entry> running;
  std::uint64_t calls = 0;
  duration now{};
};

}  // namespace

TEST_CASE("a pool's counts stay right while servers are added, removed and restarted") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    random_pool pool(seed);
    for (int step = 0; step < 400; ++step) {
      INFO("step " << step);
      pool.step();
      pool.check();
    }
  }
}
