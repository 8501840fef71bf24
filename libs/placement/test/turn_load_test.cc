// Plays programs of turns, with helpers, against model engines that several hosts share,
// and checks what their callers get: in a burst, after it, and what is read in vain.
#include <catch2/catch.hpp>

#include "played_turns.h"

using namespace hawthornlane;
using namespace hawthornlane::play;

namespace {

double share(int part, int whole) { return static_cast<double>(part) / whole; }

}  // namespace

TEST_CASE("programs are in time again soon after a burst, and prompts are read once") {
  // The burst asks for 1.5 times what the engines can do, so that some are late in any
  // case. Means of eight plays: 0.57 and 0.83 in time, 1.18 and 1.34 times the new tokens
  // read; without the directory 0.70 in time at the small servers, and 1.85 times.
  struct row {
    const char* what;
    load_plan plan;
    double in_time;
    double read_factor;
  };
  load_plan small_servers;
  small_servers.hosts = 24;
  small_servers.servers = 20;
  small_servers.slots = 6;
  const row rows[] = {
      {"7 hosts, 8 servers of 16 places", load_plan{}, 0.5, 1.25},
      {"24 hosts, 20 servers of 6 places", small_servers, 0.75, 1.45},
  };
  for (const row& item : rows) {
    const load_result result = played_turns(item.plan).play();
    const double again = share(result.in_time_after, result.began_after);
    INFO(item.what << ": in time " << share(result.in_time, result.began) << ", after the burst "
                   << again << ", read " << result.read / result.unavoidable);
    CHECK(share(result.in_time, result.began) > item.in_time);
    CHECK(again > 0.9);
    CHECK(result.read < item.read_factor * result.unavoidable);
  }
}

TEST_CASE("what hosts tell each other gains service in a burst") {
  load_plan plan;
  plan.hosts = 24;
  plan.servers = 20;
  plan.slots = 6;
  const load_result shared = played_turns(plan).play();
  plan.share = false;
  const load_result alone = played_turns(plan).play();
  INFO("in time " << share(alone.in_time, alone.began) << " -> "
                  << share(shared.in_time, shared.began) << ", read "
                  << alone.read / alone.unavoidable << " -> " << shared.read / shared.unavoidable);
  CHECK(share(shared.in_time, shared.began) > share(alone.in_time, alone.began) + 0.05);
}
