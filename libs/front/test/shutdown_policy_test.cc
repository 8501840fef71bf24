// Guards against a planned stop that cuts off callers which still use the host, or that does not
// end before the process is killed.
#include "hawthornlane/front/shutdown_policy.h"

#include <catch2/catch.hpp>
#include <string>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

TEST_CASE("a stopping host serves until its address has expired and exits before the kill") {
  struct row {
    std::string name;
    shutdown_policy stop;
    duration elapsed;
    std::size_t calls;
    bool rejects_calls;
    bool may_exit;
  };
  const shutdown_policy usual{30s, 2s};
  const shutdown_policy short_grace{5s, 2s};
  for (const row& item : {
           row{"callers may still hold its address", usual, 5s, 0, false, false},
           row{"address expired, idle", usual, 6s, 0, false, true},
           row{"address expired, calls in flight", usual, 6s, 3, false, false},
           row{"shortly before the kill, new calls are rejected", usual, 26800ms, 3, true, false},
           row{"just before the kill, with calls in flight", usual, 29600ms, 3, true, true},
           row{"grace shorter than the address lifetime", short_grace, 1800ms, 0, true, true},
           row{"the same, before calls are rejected", short_grace, 1700ms, 0, false, false},
       }) {
    INFO(item.name);
    CHECK(item.stop.rejects_calls(item.elapsed) == item.rejects_calls);
    CHECK(item.stop.may_exit(item.elapsed, item.calls) == item.may_exit);
  }
}
