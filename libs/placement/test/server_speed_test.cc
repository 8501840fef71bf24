// Tests the speed estimates of servers.
#include "hawthornlane/placement/server_speed.h"

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

timestamp at(duration since) { return timestamp(since); }

/// Simulates the calls of one host at some servers, one after the other.
class server_simulation {
public:
  explicit server_simulation(std::vector<double> with) : factors(std::move(with)) {
    this->speeds.resize(this->factors.size());
  }

  /// Makes a call that takes 140 ms at an idle server with factor 1.
  void call(std::size_t server, double load = 1, std::uint64_t kind = 1) {
    std::lognormal_distribution<double> spread(0, this->noise);
    const double usual = 0.14 * static_cast<double>(kind);
    const double took =
        usual * this->factors[server] * this->common_slowdown * load * spread(this->random);
    this->add_sample(server, from_seconds(took), load, kind);
  }
  void call_each(int times) {
    for (int number = 0; number < times; ++number) {
      for (std::size_t server = 0; server < this->factors.size(); ++server) {
        this->call(server);
      }
      this->now += 100ms;
    }
  }
  double slow(std::size_t server) const {
    return std::exp(this->speeds[server].lasting(this->rules, at(this->now)));
  }
  double expected(std::size_t server) const {
    return std::exp(this->speeds[server].expected(this->rules, at(this->now)));
  }

  std::vector<double> factors;
  std::vector<server_speed> speeds;
  speed_rules rules;
  double noise = 0.3;
  /// Slowdown factor of all calls.
  double common_slowdown = 1;
  duration now{};

private:
  void add_sample(std::size_t server, duration took, double load, std::uint64_t kind) {
    server_speed& speed = this->speeds[server];
    const double expected = speed.expected(this->rules, at(this->now));
    const auto sample =
        this->times.compare(kind, timed_part::whole, took, load, expected, this->rules);
    if (sample) {
      speed.add_sample(*sample, this->rules, at(this->now));
    }
  }

  typical_times times;
  std::mt19937 random{5};
};

}  // namespace

TEST_CASE("the ratio of two servers' speeds is estimated after some calls") {
  struct row {
    const char* what;
    std::array<double, 3> factors;
    double noise;
    int calls;
    double ratio;
    double margin;
  };
  const row rows[] = {
      {"equal servers", {1, 1, 1}, 0.3, 60, 1, 0.2},
      {"one server is 2.4 times slower", {0.7, 0.7, 1.7}, 0.3, 60, 2.43, 0.4},
      {"call times vary by a factor of 2", {0.7, 0.7, 1.7}, 0.7, 150, 2.43, 0.6},
      {"one server is 2 times faster", {1, 1, 0.5}, 0.3, 60, 0.5, 0.1},
  };
  for (const row& item : rows) {
    server_simulation servers({item.factors.begin(), item.factors.end()});
    servers.noise = item.noise;
    servers.call_each(item.calls);
    INFO(item.what << ": " << servers.slow(0) << ", " << servers.slow(1) << ", "
                   << servers.slow(2));
    CHECK(servers.slow(2) / servers.slow(0) == Approx(item.ratio).margin(item.margin));
    CHECK(servers.slow(1) / servers.slow(0) == Approx(1).margin(0.25));
  }
}

TEST_CASE("a single sample has limited weight against the prior") {
  server_simulation servers({1, 1, 1});
  servers.call_each(30);
  CHECK(server_speed().lasting(servers.rules, at(0s)) == 0);
  server_speed unknown;
  unknown.add_sample({std::log(2.4), 1}, servers.rules, at(servers.now));
  CHECK(std::exp(unknown.lasting(servers.rules, at(servers.now))) < 1.6);
}

TEST_CASE("without calls an estimate halves in 70 s and is nearly gone after 4 minutes") {
  server_simulation servers({0.7, 0.7, 1.7});
  servers.call_each(1000);
  for (server_speed& speed : servers.speeds) {
    speed.set_remote_estimate({530, 4000, 0, 0}, at(servers.now));
  }
  const double known = std::log(servers.slow(2));
  REQUIRE(known > 0.4);
  servers.now += 71s;
  CHECK(std::log(servers.slow(2)) < 0.55 * known);
  servers.now += 170s;
  CHECK(std::log(servers.slow(2)) < 0.01 * known);
}

TEST_CASE("a server that has become fast is recognized within 40 s") {
  server_simulation servers({0.7, 0.7, 1.7});
  servers.call_each(300);
  REQUIRE(servers.slow(2) > 1.5 * servers.slow(0));
  servers.factors[2] = 0.7;
  servers.call_each(400);
  CHECK(servers.slow(2) < 1.15 * servers.slow(0));
}

TEST_CASE("a server is not estimated as slow because it is full") {
  struct row {
    const char* what;
    double load;
  };
  const row rows[] = {{"nearly full", 1.35}, {"slightly overfull", 1.6}, {"calls wait", 2.4}};
  for (const row& item : rows) {
    INFO(item.what);
    server_simulation servers({1, 1, 1});
    for (int number = 0; number < 100; ++number) {
      servers.call(0);
      servers.call(1);
      servers.call(2, item.load);
      servers.now += 100ms;
    }
    CHECK(servers.slow(2) == Approx(1).margin(0.12));
  }
}

TEST_CASE("a slowdown of all servers is not attributed to a single server") {
  server_simulation servers({0.7, 0.7, 1.7});
  servers.noise = 0.15;
  servers.call_each(200);
  const double before = servers.slow(2) / servers.slow(0);
  servers.common_slowdown = 4;
  servers.call_each(60);
  CHECK(servers.slow(2) / servers.slow(0) == Approx(before).margin(0.4));
  CHECK(servers.slow(0) < 1.3);
}

TEST_CASE("the mix of long and short calls does not affect a server's speed estimate") {
  server_simulation servers({1, 1, 1});
  for (int number = 0; number < 200; ++number) {
    servers.call(0, 1, 1);
    servers.call(1, 1, 1 + number % 2 * 7);
    servers.call(2, 1, 8);
    servers.now += 100ms;
  }
  CHECK(servers.slow(2) / servers.slow(0) == Approx(1).margin(0.15));
}

TEST_CASE("a temporary slowdown is detected within 0.4 s and gone 0.6 s after its end") {
  // Each server gets 28 calls per second, the calls of all hosts together. Server 0 is 2.5 times
  // slower for a seventh of the time.
  server_simulation servers({0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 1.7, 1.7, 1.7, 1.7});
  const auto call_for = [&](duration span) {
    for (const duration end = servers.now + span; servers.now < end; servers.now += 36ms) {
      for (std::size_t server = 0; server < servers.factors.size(); ++server) {
        servers.call(server);
      }
    }
  };
  for (int repetition = 0; repetition < 10; ++repetition) {
    call_for(3400ms);
    servers.factors[0] = 0.7 * 2.5;
    call_for(600ms);
    servers.factors[0] = 0.7;
  }
  call_for(3400ms);
  const double before = servers.expected(0);
  const double slow_before = servers.slow(0);
  servers.factors[0] = 0.7 * 2.5;
  call_for(400ms);
  CHECK(servers.expected(0) > 1.7 * before);
  // The lasting slowdown does not change.
  CHECK(servers.slow(0) < 1.15 * slow_before);
  call_for(200ms);
  servers.factors[0] = 0.7;
  call_for(600ms);
  CHECK(servers.expected(0) < 1.3 * before);
}

TEST_CASE("a received estimate is weighted, not counted twice, and not reported again") {
  struct row {
    const char* what;
    speed_estimate received;
    double slow;
  };
  // The host's own estimate is twice as slow, with a weight of 4.
  const double own = std::log(2.0);
  const row rows[] = {
      {"none", {}, own * 4 / 5},
      {"low weight", {0, 8, 0, 0}, own * 4 / 6},
      {"high weight", {0, 320, 0, 0}, own * 4 / 45},
      {"equal to the own estimate", {693, 320, 0, 0}, own * 44 / 45},
  };
  const speed_rules rules;
  for (const row& item : rows) {
    INFO(item.what);
    server_speed speed;
    speed.add_sample({own, 4}, rules, at(1s));
    const speed_estimate before = speed.own_estimate(rules, at(1s));
    for (int number = 0; number < 10; ++number) {
      speed.set_remote_estimate(item.received, at(1s));
    }
    CHECK(speed.lasting(rules, at(1s)) == Approx(item.slow).margin(0.002));
    CHECK(speed.own_estimate(rules, at(1s)) == before);
    CHECK(before.slow == 693);
    CHECK(before.slow_weight == 32);
  }
}

TEST_CASE("the mean of several hosts' estimates depends on their weights and ages") {
  const speed_rules rules;
  struct row {
    const char* what;
    std::vector<std::pair<speed_estimate, duration>> words;
    std::int16_t slow;
    std::uint16_t slow_weight;
  };
  const row rows[] = {
      {"no estimate", {}, 0, 0},
      {"one estimate", {{{500, 16, 0, 0}, 0s}}, 500, 16},
      {"two of equal weight", {{{500, 16, 0, 0}, 0s}, {{-100, 16, 0, 0}, 0s}}, 200, 32},
      {"one of two is old", {{{500, 16, 0, 0}, 0s}, {{-100, 16, 0, 0}, 300s}}, 500, 16},
      {"a weight above the upper bound", {{{500, 60000, 0, 0}, 0s}}, 500, 400},
  };
  for (const row& item : rows) {
    INFO(item.what);
    speed_mean mean;
    for (const auto& [word, age] : item.words) {
      mean.add(word, age, rules);
    }
    CHECK(mean.word(rules).slow == item.slow);
    CHECK(mean.word(rules).slow_weight == item.slow_weight);
  }
}
