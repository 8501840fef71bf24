// Guards against clients that make a process hold too much: bodies, heads and connections without
// an end, beyond the limits, or never whole, at every port that a client can reach.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "crowd_hosts.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;

namespace {

/// Longest time for a crowd to send all that it sends, and for memory to come back.
constexpr auto crowd_limit = 15s;
constexpr auto recovery_limit = 15s;
/// Ports at which each crowd is played.
constexpr int port_count = 8;

/// An ordinary request as a client of the platform sends it: again after a refusal that promises
/// that it has not run.
int answer_to_ordinary(crowd_hosts& hosts, const crowded_port& port) {
  constexpr int not_run = 503;
  constexpr int max_attempts = 4;
  constexpr auto retry_pause = 300ms;
  int status = not_run;
  for (int attempt = 0; attempt < max_attempts && status == not_run; ++attempt) {
    hosts.run_until([] { return false; }, attempt > 0 ? retry_pause : 0ms);
    status = hosts.call(port.target.where, port.ordinary).status;
  }
  return status;
}

/// Plays one crowd at one port. While it is there and afterwards, the process has to live within
/// its limits and to serve.
void play(crowd_hosts& hosts, const crowded_port& port, crowd_kind kind) {
  INFO(port.name << ", " << name_of(kind));
  port.process->reset_peak_memory();
  std::size_t descriptors = 0;
  const auto crowd = hosts.begin_crowd(kind, port.target);
  hosts.run_until(
      [&] {
        descriptors = std::max(descriptors, port.process->open_descriptors());
        return crowd->has_sent() || !port.process->running();
      },
      crowd_limit);
  hosts.run_until([] { return false; }, 200ms);
  descriptors = std::max(descriptors, port.process->open_descriptors());
  CHECK(answer_to_ordinary(hosts, port) == port.ordinary_status);
  crowd->leave();
  CHECK(answer_to_ordinary(hosts, port) == port.ordinary_status);
  REQUIRE(port.process->running());
  CHECK(port.process->peak_memory_kb().value_or(0) < hosts.limits().memory_kb());
  CHECK(descriptors <= hosts.limits().sockets());
  const bool is_back = hosts.run_until(
      [&] { return port.process->memory_kb().value_or(0) < hosts.limits().memory_kb() / 2; },
      recovery_limit);
  CHECK(is_back);
  if (port.largest) {
    CHECK(hosts.call(port.target.where, *port.largest).status == port.largest_status);
  }
  const auto peak = port.process->peak_memory_kb().value_or(0);
  std::string statuses;
  for (const auto& [status, count] : crowd->responses()) {
    statuses += fmt::format(" {}:{}", status, count);
  }
  fmt::print("{}, {}: peak {} kB, at rest {} kB, {} descriptors, sent {} kB, responses{}\n",
             port.name, name_of(kind), peak, port.process->memory_kb().value_or(0), descriptors,
             crowd->bytes_sent() / 1024, statuses);
}

}  // namespace

TEST_CASE("no crowd of clients takes the memory or the descriptors of a process") {
  crowd_hosts hosts;
  REQUIRE(hosts.wait_until_serving());
  REQUIRE(hosts.ports().size() == port_count);
  const int number = GENERATE(range(0, port_count));
  const crowded_port port = hosts.ports()[static_cast<std::size_t>(number)];
  for (const crowd_kind kind : all_crowd_kinds()) {
    play(hosts, port, kind);
  }
}
