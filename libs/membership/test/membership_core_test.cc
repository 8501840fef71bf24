// Tests of membership with simulated time and many cores in one process.
#include "hawthornlane/membership/membership_core.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace hawthornlane;

namespace {

member member_of(std::size_t number) {
  member host;
  host.id = {host_id("host-" + std::to_string(number)), incarnation(number + 1)};
  host.zone = availability_zone("zone-" + std::to_string(number % 3));
  host.peer_address = std::to_string(number);
  return host;
}

/// Hosts that exchange probes. A stopped host neither sends nor answers.
class cluster {
public:
  explicit cluster(std::size_t count, double loss) : loss_rate(loss) {
    for (std::size_t at = 0; at < count; ++at) {
      this->cores.emplace_back(member_of(at), membership_times{});
      this->stopped.push_back(false);
      // As from the platform's list, each host knows the first one, and the first one knows all.
      this->cores[at].listed(member_of(0), this->now);
    }
    for (std::size_t at = 1; at < count; ++at) {
      this->cores[0].listed(member_of(at), this->now);
    }
  }

  void run(int periods) {
    for (int period = 0; period < periods; ++period) {
      for (std::size_t at = 0; at < this->cores.size(); ++at) {
        if (!this->stopped[at]) {
          this->carry_out(this->cores[at].tick(this->now, this->random()));
        }
      }
      this->now += membership_times{}.period;
    }
  }

  std::size_t seen_as(std::size_t host, member_state state) const {
    std::size_t count = 0;
    for (std::size_t at = 0; at < this->cores.size(); ++at) {
      const member* found = this->cores[at].find(member_of(host).id.host);
      count += !this->stopped[at] && found != nullptr && found->state == state ? 1 : 0;
    }
    return count;
  }

  std::vector<membership_core> cores;
  std::vector<bool> stopped;

private:
  void carry_out(const membership_actions& todo) {
    std::deque<send_probe> in_flight(todo.probes.begin(), todo.probes.end());
    while (!in_flight.empty()) {
      const send_probe probe = in_flight.front();
      in_flight.pop_front();
      const std::size_t to = std::stoul(probe.address);
      const bool lost =
          std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss_rate;
      if (this->stopped[to] || lost) {
        continue;
      }
      const membership_actions answers = this->cores[to].receive(probe.message, this->now);
      in_flight.insert(in_flight.end(), answers.probes.begin(), answers.probes.end());
    }
  }

  double loss_rate;
  timestamp now{};
  std::mt19937_64 random{7};
};

}  // namespace

// At first each host knows only itself and the first host; the rest is spread by gossip.
TEST_CASE("every host learns about every other host") {
  const auto count = GENERATE(std::size_t{3}, std::size_t{9}, std::size_t{40});
  cluster hosts(count, 0);
  hosts.run(60);
  for (std::size_t at = 0; at < count; ++at) {
    INFO("host " << at << " of " << count);
    CHECK(hosts.seen_as(at, member_state::alive) == count);
  }
}

TEST_CASE("a host that stops answering is gone in the view of all others within seconds") {
  cluster hosts(9, 0);
  hosts.run(40);
  hosts.stopped[4] = true;
  hosts.run(30);
  CHECK(hosts.seen_as(4, member_state::gone) == 8);
}

// One message in ten is lost. Probes through other hosts and refutation prevent a false removal.
TEST_CASE("lost messages alone do not make hosts disappear") {
  cluster hosts(9, 0.1);
  hosts.run(400);
  for (std::size_t at = 0; at < 9; ++at) {
    INFO("host " << at);
    CHECK(hosts.seen_as(at, member_state::gone) == 0);
  }
}

// The pause is shorter than the suspicion timeout.
TEST_CASE("a host that was paused for a short time refutes the suspicion against it") {
  cluster hosts(5, 0);
  hosts.run(30);
  hosts.stopped[2] = true;
  hosts.run(4);
  hosts.stopped[2] = false;
  hosts.run(20);
  CHECK(hosts.seen_as(2, member_state::alive) == 5);
}

TEST_CASE("a planned stop is announced by the host itself") {
  cluster hosts(5, 0);
  hosts.run(30);
  hosts.cores[3].leave();
  hosts.run(20);
  CHECK(hosts.seen_as(3, member_state::leaving) == 5);
}

// A host must not become ready because it agrees with a host whose documents may be outdated.
TEST_CASE("a probe tells whether its sender knows its documents to be current") {
  membership_core core(member_of(0), {});
  core.listed(member_of(1), timestamp{});
  const auto current = GENERATE(false, true);
  core.set_documents(77, current);
  const membership_actions out = core.tick(timestamp{}, 1);
  REQUIRE(out.probes.size() == 1);
  CHECK(out.probes.front().message.documents_digest == 77);
  CHECK(out.probes.front().message.documents_current == current);
}
