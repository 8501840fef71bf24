// Requests of one content that come one shortly after the other and end each server that runs them.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fatal_requests.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

TEST_CASE("a request is not sent on after three ends while its callers send it in a burst") {
  struct row {
    const char* path;
    std::chrono::milliseconds end_after;
    std::chrono::milliseconds port_delay;
    std::chrono::milliseconds between;
  };
  const row item = GENERATE(row{"/safe/x", 30ms, 0ms, 20ms}, row{"/once/x", 30ms, 0ms, 20ms},
                            row{"/safe/x", 100ms, 0ms, 50ms}, row{"/once/x", 30ms, 0ms, 60ms},
                            row{"/once/x", 30ms, 100ms, 20ms}, row{"/safe/x", 30ms, 200ms, 50ms});
  const std::string what =
      fmt::format("{}, ends after {} ms, its port {} ms later, one call each {} ms", item.path,
                  item.end_after.count(), item.port_delay.count(), item.between.count());
  INFO(what);
  constexpr int fronts = 3;
  constexpr int calls = 16;
  deployment all({fronts, 3, 4, 20});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1) && all.ready(2); }));
  fatal_requests fatal(all, {item.end_after, 0, item.port_delay});
  std::vector<std::shared_ptr<std::optional<call_result>>> results;
  for (int number = 0; number < calls; ++number) {
    call_request call = plain(item.path, fmt::format("f{}", number));
    call.body = fatal_mark;
    results.push_back(all.begin_call(number % fronts, call));
    const auto until = steady::now() + item.between;
    all.run_until([&] {
      fatal.step();
      return steady::now() >= until;
    });
  }
  all.run_until([&] {
    fatal.step();
    return std::all_of(results.begin(), results.end(), [](const auto& one) { return *one; });
  });
  WARN(fmt::format("{}: {} ended, {} sent after the third", what, fatal.ends(),
                   fatal.late_arrivals()));
  CHECK(fatal.late_arrivals() == 0);
}
