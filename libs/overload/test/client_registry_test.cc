// Guards against requests that wait for each other's memory, clients that keep others out, and
// bytes or connections that stay counted.
#include "hawthornlane/overload/client_registry.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

using namespace hawthornlane::overload;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kb = 1024;
/// Memory for requests: three quarters of it for large ones.
constexpr std::size_t memory = 4096 * kb;
constexpr std::size_t large_limit = 3072 * kb;
const steady_time start = steady_time() + 1h;

/// Clients of one listener, and what they had to yield.
class clients {
public:
  explicit clients(std::size_t max_connections = 1000)
      : at(registry->add_listener("test", max_connections)) {}

  /// Adds a client whose request has begun at `when`.
  std::size_t add(steady_time when, std::size_t arrived = 1) {
    const std::size_t number = this->slots.size();
    this->yields.emplace_back();
    this->slots.push_back(std::make_unique<client_slot>(
        this->registry, this->at, when,
        [this, number](yielded what) { this->yields[number] = what; }));
    if (arrived > 0) {
      this->slots.back()->received(arrived, when);
    }
    return number;
  }
  client_slot& operator[](std::size_t number) { return *this->slots[number]; }

  std::shared_ptr<client_registry> registry = std::make_shared<client_registry>(memory);
  listener* at;
  std::vector<std::optional<yielded>> yields;
  std::vector<std::unique_ptr<client_slot>> slots;
};

}  // namespace

TEST_CASE("a stalled request yields its memory to one that moves") {
  clients all;
  const std::size_t stalled = all.add(start);
  const std::size_t other = all.add(start);
  REQUIRE(all[stalled].hold(2000 * kb, start));
  REQUIRE(all[other].hold(1000 * kb, start));
  const steady_time later = start + 300ms;
  const std::size_t moving = all.add(later);
  CHECK(all[moving].hold(1024 * kb, later));
  CHECK(all.yields[stalled] == yielded::memory);
  CHECK_FALSE(all.yields[other].has_value());
  CHECK(all.registry->held_bytes() == 2024 * kb);
  // What has yielded can hold nothing more.
  CHECK_FALSE(all[stalled].hold(1, later));
}

TEST_CASE("of requests that all move, the oldest is completed and the youngest refused") {
  clients all;
  constexpr std::size_t count = 5;
  for (std::size_t number = 0; number < count; ++number) {
    all.add(start + std::chrono::milliseconds(number));
  }
  std::vector<bool> refused(count);
  const steady_time now = start + 10ms;
  for (std::size_t size = 128 * kb; size <= 1024 * kb; size += 128 * kb) {
    for (std::size_t number = 0; number < count; ++number) {
      if (!refused[number] && !all.yields[number]) {
        all[number].received(128 * kb, now);
        refused[number] = !all[number].hold(size, now);
      }
    }
  }
  const auto is_whole = [&](std::size_t number) { return !refused[number] && !all.yields[number]; };
  CHECK(is_whole(0));
  CHECK(is_whole(1));
  CHECK(is_whole(2));
  CHECK_FALSE(is_whole(3));
  CHECK_FALSE(is_whole(4));
}

TEST_CASE("a small request is not refused because of large ones") {
  clients all;
  const std::size_t large = all.add(start);
  REQUIRE(all[large].hold(large_limit, start));
  all[large].enter(client_phase::running, start);
  const std::size_t other_large = all.add(start);
  CHECK_FALSE(all[other_large].hold(100 * kb, start));
  for (std::size_t sum = 0; sum < memory - large_limit; sum += byte_budget::small_bytes) {
    CHECK(all[all.add(start)].hold(byte_budget::small_bytes, start));
  }
  CHECK(all.registry->held_bytes() == memory);
  CHECK_FALSE(all.yields[large].has_value());
}

TEST_CASE("many stalled small requests yield to a new one") {
  clients all;
  const std::size_t count = memory / byte_budget::small_bytes;
  for (std::size_t number = 0; number < count; ++number) {
    REQUIRE(all[all.add(start)].hold(byte_budget::small_bytes, start));
  }
  const steady_time later = start + 300ms;
  CHECK(all[all.add(later)].hold(8 * kb, later));
  CHECK(all.registry->held_bytes() <= memory);
}

TEST_CASE("a request of the largest size is served alone, and a larger one is never") {
  clients all;
  CHECK(all.registry->largest_request() == large_limit);
  const std::size_t one = all.add(start);
  CHECK(all[one].hold(large_limit, start));
  CHECK(all[one].hold(0, start));
  CHECK_FALSE(all[one].hold(large_limit + 1, start));
  CHECK(all.registry->refusals().at(static_cast<std::size_t>(refusal_cause::no_memory)) == 1);
}

TEST_CASE("what a client held is counted no more once it has left") {
  clients all;
  all.add(start);
  REQUIRE(all[0].hold(1000 * kb, start));
  CHECK(all.registry->connections() == 1);
  all.slots.clear();
  CHECK(all.registry->held_bytes() == 0);
  CHECK(all.registry->connections() == 0);
  CHECK(all.at->connections == 0);
}

TEST_CASE("at the limit of connections the one that is missed least yields to a new one") {
  struct table_row {
    const char* name;
    client_phase phase;
    std::chrono::milliseconds silent;
    bool yields;
  };
  const auto row = GENERATE(values<table_row>({
      {"refused", client_phase::closing, 0ms, true},
      {"idle", client_phase::idle, 0ms, true},
      {"stalled in a request", client_phase::receiving, 20ms, true},
      {"moving in a request", client_phase::receiving, 19ms, false},
      {"in a call", client_phase::running, 1h, false},
  }));
  INFO(row.name);
  clients all(2);
  const std::size_t busy = all.add(start);
  all[busy].enter(client_phase::running, start);
  const std::size_t other = all.add(start, 0);
  all[other].enter(row.phase, start);
  const std::size_t newcomer = all.add(start + row.silent, 0);
  CHECK(all[newcomer].is_connected() == row.yields);
  CHECK((all.yields[other] == yielded::connection) == row.yields);
  CHECK_FALSE(all.yields[busy].has_value());
  CHECK(all.at->connections == 2);
}

TEST_CASE("a refused connection yields first, then the one that has been idle longest") {
  clients all(3);
  const std::size_t stalled = all.add(start);
  const std::size_t idle = all.add(start + 2ms, 0);
  const std::size_t closing = all.add(start + 3ms);
  all[closing].enter(client_phase::closing, start + 3ms);
  const steady_time later = start + 100ms;
  all.add(later);
  CHECK(all.yields[closing].has_value());
  all.add(later);
  CHECK(all.yields[idle].has_value());
  CHECK_FALSE(all.yields[stalled].has_value());
  all.add(later);
  CHECK(all.yields[stalled].has_value());
}

TEST_CASE("listeners keep no place from each other") {
  clients all(1);
  listener* other = all.registry->add_listener("other", 1);
  all.add(start, 0);
  const client_slot elsewhere(all.registry, other, start, [](yielded) {});
  CHECK(elsewhere.is_connected());
  CHECK_FALSE(all.yields[0].has_value());
}
