// Tests speed estimates in a server pool and in the directory: with a single host, after restarts
// of servers and after deaths of hosts.
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

/// One host that makes one call at a time; `s0` takes `factor` times as long as the other servers.
class single_host {
public:
  explicit single_host(bool learns = true)
      : pool(rules(learns), host_id("h"), availability_zone("z")) {
    this->pool.set_servers(entries(), timestamp{});
  }

  static pool_rules rules(bool learns) {
    pool_rules rules;
    rules.learns_speed = learns;
    return rules;
  }
  [[nodiscard]] timestamp moment() const { return timestamp(this->now); }

  /// Makes one call and returns its server.
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
  /// Makes `times` calls and returns the number of those at the slow server.
  int call_times(int times) {
    int at_slow = 0;
    for (int number = 0; number < times; ++number) {
      at_slow += this->call() == slow_server ? 1 : 0;
    }
    return at_slow;
  }
  double slowdown_of_slow_server() const {
    for (const server_slowdown& slowdown : this->pool.slowdowns(this->moment())) {
      if (slowdown.id == slow_server) {
        return slowdown.factor;
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

TEST_CASE("a single host detects a slow server by its own calls and sends it fewer calls") {
  single_host host;
  host.call_times(200);
  CHECK(host.slowdown_of_slow_server() > 1.8);
  // In proportion to its speed it gets 1 of 13 calls, without speed estimates 1 of 6.
  CHECK(host.call_times(600) < 70);
}

TEST_CASE("without learns_speed no speed is estimated, reported, requested or accepted") {
  single_host host(false);
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

TEST_CASE("a new host uses the speeds that other hosts report") {
  single_host host;
  host.pool.set_remote_speed({key, {875, 400, 0, 0}}, host.moment());
  CHECK(host.slowdown_of_slow_server() == Approx(2.4).margin(0.1));
  CHECK(host.call_times(130) < 20);
}

TEST_CASE("a restarted server does not keep the speed estimate of its former process") {
  single_host host;
  host.call_times(200);
  host.pool.set_remote_speed({key, {875, 400, 0, 0}}, host.moment());
  REQUIRE(host.slowdown_of_slow_server() > 2);
  host.pool.set_servers(entries(200), host.moment());
  CHECK(host.pool.slowdowns(host.moment()).empty());

  SECTION("reports about the former process are ignored") {
    host.pool.set_remote_speed({key, {875, 400, 0, 0}}, host.moment());
    CHECK(host.pool.slowdowns(host.moment()).empty());
  }
  SECTION("it is used like the others if it is as fast now") {
    host.factor = 1;
    host.call_times(100);
    CHECK(host.slowdown_of_slow_server() < 1.2);
  }
}

TEST_CASE("speed reports of dead hosts decay and expire") {
  struct row {
    const char* what;
    duration since;
    std::uint16_t min_weight;
    std::uint16_t max_weight;
  };
  // Weights are in eighths; each of two hosts has reported a weight of 10.
  const row rows[] = {
      {"at once", 0s, 160, 160},
      {"after the decay time", 15s, 55, 62},
      {"after a minute", 60s, 1, 4},
      {"after its lifetime", 120s, 0, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    placement_directory directory;
    directory.set_speed(host_id("a"), {key, {800, 80, 0, 0}}, timestamp{});
    directory.set_speed(host_id("b"), {key, {800, 80, 0, 0}}, timestamp{});
    const timestamp later(item.since);
    // A report about another server causes expired reports to be dropped.
    directory.set_speed(host_id("c"), {server_key(1), {}}, later);
    const auto received = directory.speed_of_others(key, host_id("asker"), later);
    const std::uint16_t weight = received ? received->word.slow_weight : 0;
    CHECK(weight >= item.min_weight);
    CHECK(weight <= item.max_weight);
  }
}

TEST_CASE("a host gets the latest speed reports of other hosts but not its own") {
  placement_directory directory;
  const timestamp now{};
  directory.set_speed(host_id("a"), {key, {800, 80, 0, 0}}, now);
  CHECK_FALSE(directory.speed_of_others(key, host_id("a"), now));
  CHECK_FALSE(directory.speed_of_others(server_key(1), host_id("b"), now));
  directory.set_speed(host_id("a"), {key, {100, 80, 0, 0}}, now);
  directory.set_speed(host_id("b"), {key, {500, 240, 0, 0}}, now);
  const auto received = directory.speed_of_others(key, host_id("c"), now);
  REQUIRE(received);
  CHECK(received->word.slow == 400);
  CHECK(received->word.slow_weight == 320);
  CHECK(directory.speed_of_others(key, host_id("b"), now)->word.slow == 100);
}

TEST_CASE("starts and ends of calls without a prompt are reported only at high utilization") {
  struct row {
    const char* what;
    double utilization;
    std::size_t at_begin;
    std::size_t at_end;
  };
  const row rows[] = {
      {"low utilization: nothing", 0.2, 0, 0},
      {"below 0.45: only the end, for its speed sample", 0.3, 0, 1},
      {"above 0.45: start and end", 0.48, 1, 1},
  };
  for (const row& item : rows) {
    INFO(item.what);
    single_host host;
    host.pool.set_utilization(item.utilization);
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

TEST_CASE("ends of calls without a prompt are reported in batches after 50 ms") {
  single_host host;
  host.pool.set_utilization(0.48);
  placement_request request;
  request.id = placement_id(1);
  request.give_up_at = timestamp(10s);
  std::vector<placement> placed;
  host.pool.submit(request, timestamp{}, placed);
  const server_key reported_key = server_key_of(placed.front().server.id, incarnation(100));
  CHECK(host.pool.take_update().loads == std::vector<server_load>{{reported_key, 1}});
  host.pool.finished(request.id, server_outcome::answered, timestamp(100ms));
  CHECK(host.pool.take_update().empty());
  CHECK_FALSE(host.pool.flush_ended_calls(timestamp(120ms)));
  CHECK(host.pool.flush_ended_calls(timestamp(150ms)));
  CHECK(host.pool.take_update().loads == std::vector<server_load>{{reported_key, 0}});
}

TEST_CASE("outdated loads are requested for calls without a prompt only at high utilization") {
  struct row {
    const char* what;
    double utilization;
    duration load_age;
    std::size_t requested;
  };
  const row rows[] = {
      {"low utilization", 0.2, 10s, 0},
      {"utilization for reports but not for requests", 0.4, 10s, 0},
      {"more than half", 0.6, 10s, 3},
      {"more than half, recent loads", 0.6, 50ms, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    single_host host;
    host.now = 20s;
    host.pool.set_utilization(item.utilization);
    for (const backend_entry& entry : entries()) {
      const server_key server = server_key_of(entry.id, entry.start);
      host.pool.set_remote_load({server, 1}, host.moment() - item.load_age);
    }
    placement_request request;
    request.id = placement_id(1);
    CHECK(host.pool.directory_request_for(request, host.moment()).servers.size() == item.requested);
  }
}

TEST_CASE("a call without a prompt goes to the server with the least work of all hosts") {
  single_host host;
  for (const backend_entry& entry : entries()) {
    const server_key server = server_key_of(entry.id, entry.start);
    host.pool.set_remote_load({server, entry.id == slow_server ? 0U : 6U}, host.moment());
  }
  // Each call has only three candidates, so some calls don't consider the free server.
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
