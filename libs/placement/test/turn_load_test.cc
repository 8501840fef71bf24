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

TEST_CASE("programs are in time at servers of unequal speed") {
  // 0.7 of what the servers can do: 45 servers of 8 places, of which a place does 3.8 turns a
  // second at factor 1; a program has twelve.
  load_plan plan;
  plan.hosts = 66;
  plan.servers = 45;
  plan.slots = 8;
  plan.usual = 84;
  plan.burst = 84;
  plan.unequal = true;
  struct row {
    const char* what;
    duration view_age;
    /// Of the programs that are late without learning, as many may be with it.
    double late_part;
  };
  const row rows[] = {
      {"loads of now", 0ms, 0.5},
      {"loads of 50 ms ago", 50ms, 0.5},
      {"loads of 500 ms ago", 500ms, 1},
  };
  for (const row& item : rows) {
    plan.view_age = item.view_age;
    plan.learns_speed = false;
    const load_result before = played_turns(plan).play();
    plan.learns_speed = true;
    const load_result after = played_turns(plan).play();
    const double in_time_before = share(before.in_time, before.began);
    const double in_time = share(after.in_time, after.began);
    INFO(item.what << ": in time " << in_time_before << " -> " << in_time << ", read "
                   << before.read / before.unavoidable << " -> " << after.read / after.unavoidable);
    CHECK(1 - in_time < item.late_part * (1 - in_time_before));
  }
}
