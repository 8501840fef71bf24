// A pool that learns speeds, and its words in the directory, when servers start again, tellers
// die and hosts are alone.
#include <catch2/catch.hpp>
#include <cmath>

#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/placement/server_pool.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr int servers = 6;
const backend_server_id slow_server("s0");

std::vector<backend_entry> entries(std::uint64_t start = 100) {
  std::vector<backend_entry> all;
  for (int number = 0; number < servers; ++number) {
    backend_entry entry;
    entry.id = backend_server_id("s" + std::to_string(number));
    entry.zone = availability_zone("z");
    entry.slots = 8;
    entry.start = incarnation(start);
    all.push_back(entry);
  }
  return all;
}

/// One host's calls, one at a time; `s0` takes `factor` times as long as the others.
class lone_host {
public:
  explicit lone_host(bool learns = true)
      : pool(rules(learns), host_id("h"), availability_zone("z")) {
    this->pool.set_servers(entries(), timestamp{});
  }

  static pool_rules rules(bool learns) {
    pool_rules rules;
    rules.learns_speed = learns;
    return rules;
  }
  [[nodiscard]] timestamp moment() const { return timestamp(this->now); }

  /// The server that it went to.
  backend_server_id call(std::uint64_t affinity = 0) {
    placement_request request;
    request.id = placement_id(++this->calls);
    request.kind = 1;
    request.affinity = affinity;
    request.wanted_by = this->moment() + 10s;
    request.give_up_at = request.wanted_by;
    std::vector<placement> placed;
    this->pool.submit(request, this->moment(), placed);
    const backend_server_id to = placed.front().server.id;
    this->now += to == slow_server ? from_seconds(0.1 * this->factor) : 100ms;
    this->pool.finished(request.id, server_outcome::answered, this->moment());
    this->pool.tick(this->moment());
    return to;
  }
  /// Calls at the slow server.
  int call_times(int times) {
    int at_slow = 0;
    for (int number = 0; number < times; ++number) {
      at_slow += this->call() == slow_server ? 1 : 0;
    }
    return at_slow;
  }
  double pace_of_slow() const {
    for (const server_slowdown& pace : this->pool.slowdowns(this->moment())) {
      if (pace.id == slow_server) {
        return pace.factor;
      }
    }
    return 1;
  }

  server_pool pool;
  double factor = 2.4;
  duration now{};
  std::uint64_t calls = 0;
};

const server_key key = server_key_of(slow_server, incarnation(100));

}  // namespace

TEST_CASE("a host alone learns by its own calls and sends a slow server fewer") {
  lone_host host;
  host.call_times(200);
  CHECK(host.pace_of_slow() > 1.8);
  // By its speed it is due one in thirteen; without that, one in six.
  CHECK(host.call_times(600) < 70);
}

TEST_CASE("what is not to be learnt is not learnt, told or heard") {
  lone_host host(false);
  host.call_times(200);
  host.pool.set_utilization(1);
  host.pool.set_remote_speed({key, {900, 400, 0, 0}}, host.moment());
  host.call_times(1);
  CHECK(host.pool.slowdowns(host.moment()).empty());
  CHECK_FALSE(host.pool.flush_ended_calls(host.moment() + 1s));
  CHECK(host.pool.take_update().empty());
  placement_request request;
  request.id = placement_id(9999);
  CHECK(host.pool.directory_request_for(request, host.moment()).empty());
}

TEST_CASE("a new host goes by what others tell") {
  lone_host host;
  host.pool.set_remote_speed({key, {875, 400, 0, 0}}, host.moment());
  CHECK(host.pace_of_slow() == Approx(2.4).margin(0.1));
  CHECK(host.call_times(130) < 20);
}

TEST_CASE("nothing is known of a server that has started again under its id") {
  lone_host host;
  host.call_times(200);
  host.pool.set_remote_speed({key, {875, 400, 0, 0}}, host.moment());
  REQUIRE(host.pace_of_slow() > 2);
  host.pool.set_servers(entries(200), host.moment());
  CHECK(host.pool.slowdowns(host.moment()).empty());

  SECTION("what is still told of the former one does not count") {
    host.pool.set_remote_speed({key, {875, 400, 0, 0}}, host.moment());
    CHECK(host.pool.slowdowns(host.moment()).empty());
  }
  SECTION("it is used as others are when it is as fast") {
    host.factor = 1;
    host.call_times(100);
    CHECK(host.pace_of_slow() < 1.2);
  }
}

TEST_CASE("what other hosts told of a server's speed fades after they died") {
  struct row {
    const char* what;
    duration since;
    std::uint16_t least_weight;
    std::uint16_t most_weight;
  };
  // In eighths; each of two hosts had told a weight of 10.
  const row rows[] = {
      {"at once", 0s, 160, 160},
      {"after the fading time", 15s, 55, 62},
      {"after a minute", 60s, 1, 4},
      {"after its lifetime", 120s, 0, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    placement_directory directory;
    directory.set_speed(host_id("a"), {key, {800, 80, 0, 0}}, timestamp{});
    directory.set_speed(host_id("b"), {key, {800, 80, 0, 0}}, timestamp{});
    const timestamp later(item.since);
    // Another server's word has old ones dropped.
    directory.set_speed(host_id("c"), {server_key(1), {}}, later);
    const auto heard = directory.speed_of_others(key, host_id("asker"), later);
    const std::uint16_t weight = heard ? heard->word.slow_weight : 0;
    CHECK(weight >= item.least_weight);
    CHECK(weight <= item.most_weight);
  }
}

TEST_CASE("a host hears the newest word of each other host, never its own") {
  placement_directory directory;
  const timestamp now{};
  directory.set_speed(host_id("a"), {key, {800, 80, 0, 0}}, now);
  CHECK_FALSE(directory.speed_of_others(key, host_id("a"), now));
  CHECK_FALSE(directory.speed_of_others(server_key(1), host_id("b"), now));
  directory.set_speed(host_id("a"), {key, {100, 80, 0, 0}}, now);
  directory.set_speed(host_id("b"), {key, {500, 240, 0, 0}}, now);
  const auto heard = directory.speed_of_others(key, host_id("c"), now);
  REQUIRE(heard);
  CHECK(heard->word.slow == 400);
  CHECK(heard->word.slow_weight == 320);
  CHECK(directory.speed_of_others(key, host_id("b"), now)->word.slow == 100);
}

TEST_CASE("calls without a prompt are told at their beginning and end as the load wants") {
  struct row {
    const char* what;
    double fill;
    std::size_t at_begin;
    std::size_t at_end;
  };
  const row rows[] = {
      {"little load", 0.2, 0, 0},
      {"below half full, only what the end says of speed", 0.3, 0, 1},
      {"nearly half full", 0.48, 1, 1},
  };
  for (const row& item : rows) {
    INFO(item.what);
    lone_host host;
    host.pool.set_utilization(item.fill);
    placement_request request;
    request.id = placement_id(1);
    request.give_up_at = timestamp(10s);
    std::vector<placement> placed;
    host.pool.submit(request, timestamp{}, placed);
    CHECK(host.pool.take_update().loads.size() == item.at_begin);
    host.pool.finished(request.id, server_outcome::answered, timestamp(100ms));
    host.pool.flush_ended_calls(timestamp(1s));
    CHECK(host.pool.take_update().loads.size() == item.at_end);
  }
}

TEST_CASE("ends of calls without a prompt wait for others, though not long") {
  lone_host host;
  host.pool.set_utilization(0.48);
  placement_request request;
  request.id = placement_id(1);
  request.give_up_at = timestamp(10s);
  std::vector<placement> placed;
  host.pool.submit(request, timestamp{}, placed);
  const server_key told = server_key_of(placed.front().server.id, incarnation(100));
  CHECK(host.pool.take_update().loads == std::vector<server_load>{{told, 1}});
  host.pool.finished(request.id, server_outcome::answered, timestamp(100ms));
  CHECK(host.pool.take_update().empty());
  CHECK_FALSE(host.pool.flush_ended_calls(timestamp(120ms)));
  CHECK(host.pool.flush_ended_calls(timestamp(150ms)));
  CHECK(host.pool.take_update().loads == std::vector<server_load>{{told, 0}});
}

TEST_CASE("other hosts are asked about plain calls only when servers are half full") {
  struct row {
    const char* what;
    double fill;
    duration heard_ago;
    std::size_t asked;
  };
  const row rows[] = {
      {"little load", 0.2, 10s, 0},
      {"told, not asked", 0.4, 10s, 0},
      {"more than half", 0.6, 10s, 3},
      {"more than half, just heard", 0.6, 50ms, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    lone_host host;
    host.now = 20s;
    host.pool.set_utilization(item.fill);
    for (const backend_entry& entry : entries()) {
      const server_key server = server_key_of(entry.id, entry.start);
      host.pool.set_remote_load({server, 1}, host.moment() - item.heard_ago);
    }
    placement_request request;
    request.id = placement_id(1);
    CHECK(host.pool.directory_request_for(request, host.moment()).servers.size() == item.asked);
  }
}

TEST_CASE("a plain call goes to the server with least work of all hosts") {
  lone_host host;
  for (const backend_entry& entry : entries()) {
    const server_key server = server_key_of(entry.id, entry.start);
    host.pool.set_remote_load({server, entry.id == slow_server ? 0U : 6U}, host.moment());
  }
  // Three servers are weighed for each call, so that some do not see the free one.
  int at_free = 0;
  for (std::uint64_t number = 1; number <= 100; ++number) {
    placement_request request;
    request.id = placement_id(number);
    request.give_up_at = host.moment() + 10s;
    std::vector<placement> placed;
    host.pool.submit(request, host.moment(), placed);
    at_free += placed.front().server.id == slow_server ? 1 : 0;
    host.pool.finished(request.id, server_outcome::caller_left, host.moment());
  }
  CHECK(at_free > 35);
}
