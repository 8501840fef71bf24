// A planned stop: no caller who may know the host is cut off, and the process ends before the kill.
#include "hawthornlane/front/shutdown_policy.h"

#include <catch2/catch.hpp>
#include <string>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

TEST_CASE("a host that leaves serves until it is forgotten, and ends before the kill") {
  struct row {
    std::string name;
    shutdown_policy stop;
    duration since;
    std::size_t calls;
    bool turns_away;
    bool may_end;
  };
  const shutdown_policy usual{30s, 2s};
  const shutdown_policy short_grace{5s, 2s};
  for (const row& item : {
           row{"callers may still know it", usual, 5s, 0, false, false},
           row{"forgotten and idle", usual, 6s, 0, false, true},
           row{"forgotten, with calls under way", usual, 6s, 3, false, false},
           row{"calls that come late", usual, 26800ms, 3, true, false},
           row{"just before the kill", usual, 29600ms, 3, true, true},
           row{"grace shorter than callers remember", short_grace, 1800ms, 0, true, true},
           row{"the same before it turns away", short_grace, 1700ms, 0, false, false},
       }) {
    INFO(item.name);
    CHECK(item.stop.turns_away(item.since) == item.turns_away);
    CHECK(item.stop.may_end(item.since, item.calls) == item.may_end);
  }
}
