// Requests that end each backend server that runs them, sent again and again by their callers.
#include <fmt/format.h>

#include <array>
#include <catch2/catch.hpp>

#include "fatal_requests.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

constexpr int fronts = 3;
constexpr int calls_beside = 4;
/// A caller's attempts at one request, each at another front host.
constexpr int attempts = 8;

bool all_ready(deployment& all) {
  return is_up(all) && all.run_until([&all] {
    for (int front = 0; front < fronts; ++front) {
      if (!all.ready(front)) {
        return false;
      }
    }
    return true;
  });
}

/// The same request under a new id; its program is "victim".
call_request fatal_call(const std::string& path, const std::string& id) {
  const bool is_turn = path == "/kept/x" || path == "/resumed/x";
  call_request call = is_turn ? turn(path, id, "victim", "", 100'000) : plain(path, id);
  call.body = fmt::format("{} body for {}", fatal_mark, path);
  return call;
}

/// What happens between the answer to one attempt and the next one.
enum class disruption { none, restart_answering_host, restart_all_hosts, cut_power_of_all };

void restart(deployment& all, int front) {
  all.kill_front(front);
  all.start_front(front);
}

void disrupt(deployment& all, disruption what, int answered_by) {
  if (what == disruption::restart_answering_host) {
    restart(all, answered_by);
  }
  if (what == disruption::restart_all_hosts || what == disruption::cut_power_of_all) {
    for (int front = 0; front < fronts; ++front) {
      all.kill_front(front);
    }
    constexpr int disks = 3;
    for (int disk = 0; what == disruption::cut_power_of_all && disk < disks; ++disk) {
      all.kill_disk(disk);
      all.start_disk(disk);
    }
    for (int front = 0; front < fronts; ++front) {
      all.start_front(front);
    }
  }
  if (what != disruption::none) {
    REQUIRE(all_ready(all));
  }
}

}  // namespace

TEST_CASE("a request under which three servers have ended is not sent to another one") {
  struct row {
    const char* what;
    const char* path;
    stand_ins::fatal_effect effect;
    std::chrono::milliseconds pause;
  };
  const row item = GENERATE(row{"safe, retried within the attempt", "/safe/x", {30ms, 0}, 100ms},
                            row{"at once, without a pause", "/safe/x", {0ms, 0}, 0ms},
                            row{"not repeatable", "/once/x", {30ms, 0}, 100ms},
                            row{"a turn", "/kept/x", {30ms, 0}, 100ms},
                            row{"a turn, after one event", "/kept/x", {0ms, 1}, 0ms},
                            row{"a resumable stream", "/resumed/x", {0ms, 1}, 50ms});
  INFO(item.what);
  deployment all({fronts, 3, 6, 6});
  REQUIRE(all_ready(all));
  fatal_requests fatal(all, item.effect);
  bystander_calls others(all, fronts);
  call_result last;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto result =
        all.begin_call(attempt % fronts, fatal_call(item.path, fmt::format("f{}", attempt)));
    const auto until = steady::now() + item.pause;
    all.run_until([&] {
      fatal.step();
      others.step(calls_beside);
      return result->has_value() && steady::now() >= until;
    });
    last = **result;
  }
  others.finish();
  CHECK(fatal.late_arrivals() == 0);
  CHECK(fatal.ends() <= max_ends);
  CHECK(last.status == 400);
  CHECK(others.sent() > attempts);
  CHECK(others.failures().empty());
}

TEST_CASE("a server whose port closes after its connections counts as ended") {
  struct row {
    const char* path;
    std::chrono::milliseconds port_delay;
    std::chrono::milliseconds pause;
  };
  const row item = GENERATE(row{"/safe/x", 20ms, 0ms}, row{"/once/x", 60ms, 0ms},
                            row{"/kept/x", 60ms, 100ms}, row{"/safe/x", 200ms, 0ms},
                            row{"/resumed/x", 200ms, 0ms}, row{"/once/x", 200ms, 100ms});
  INFO(item.path << ", port closes " << item.port_delay.count() << " ms later, pause "
                 << item.pause.count());
  deployment all({fronts, 3, 8, 8});
  REQUIRE(all_ready(all));
  fatal_requests fatal(all, {10ms, 0, item.port_delay});
  for (int attempt = 0; attempt < attempts; ++attempt) {
    fatal.attempt(attempt % fronts, fatal_call(item.path, fmt::format("f{}", attempt)), item.pause);
  }
  CHECK(fatal.late_arrivals() == 0);
  CHECK(fatal.ends() <= max_ends);
  all.run_for(item.port_delay);
  CHECK(fatal.attempt(0, fatal_call(item.path, "last"), 0ms).status == 400);
}

TEST_CASE("a run that its host has given up counts until its server cannot end any more") {
  // The host has begun the second run before it can know of the first end.
  const auto port_delay = GENERATE(0ms, 200ms);
  INFO("port closes " << port_delay.count() << " ms after the connections");
  deployment all({fronts, 3, 2, 12});
  REQUIRE(all_ready(all));
  fatal_requests fatal(all, {10ms, 0, port_delay});
  constexpr auto longer_than_time_limit = 2500ms;
  fatal.delay_end(2, longer_than_time_limit);
  for (int attempt = 0; attempt < attempts; ++attempt) {
    fatal.attempt(attempt % fronts, fatal_call("/safe/x", fmt::format("f{}", attempt)), 100ms);
  }
  all.run_for(longer_than_time_limit);
  CHECK(fatal.late_arrivals() == 0);
  CHECK(fatal.ends() == max_ends);
}

TEST_CASE("a request that ends only some of the servers that run it is stopped after three ends") {
  const char* path = GENERATE("/safe/x", "/once/x");
  const int runs_per_end = GENERATE(2, 3);
  INFO(path << ", ends one of " << runs_per_end << " servers");
  deployment all({fronts, 3, 2, 12});
  REQUIRE(all_ready(all));
  fatal_requests fatal(all, {10ms, 0});
  fatal.limit_to(
      [runs = 0, runs_per_end](const auto&) mutable { return ++runs % runs_per_end == 0; });
  const int last_attempt = 8 * runs_per_end;
  for (int attempt = 0; attempt < last_attempt; ++attempt) {
    fatal.attempt(attempt % fronts, fatal_call(path, fmt::format("f{}", attempt)), 50ms);
  }
  CHECK(fatal.late_arrivals() == 0);
  CHECK(fatal.ends() <= max_ends);
}

TEST_CASE("front hosts that restart do not send a request that has ended three servers") {
  const disruption what = GENERATE(disruption::restart_answering_host,
                                   disruption::restart_all_hosts, disruption::cut_power_of_all);
  INFO("disruption " << static_cast<int>(what));
  deployment all({fronts, 3, 6, 6});
  REQUIRE(all_ready(all));
  fatal_requests fatal(all, {30ms, 0});
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const int front = attempt % fronts;
    const auto result = all.begin_call(front, fatal_call("/safe/x", fmt::format("f{}", attempt)));
    all.run_until([&] {
      fatal.step();
      return result->has_value();
    });
    disrupt(all, what, front);
    fatal.step();
  }
  CHECK(fatal.late_arrivals() == 0);
  CHECK(fatal.ends() <= max_ends);
}

TEST_CASE(
    "callers that send a fatal request at the same moment do not end servers round by round") {
  deployment all({fronts, 3, 4, 12});
  REQUIRE(all_ready(all));
  fatal_requests fatal(all, {30ms, 0});
  constexpr int callers = 6;
  constexpr int rounds = 3;
  int ends_of_first_round = 0;
  for (int round = 0; round < rounds; ++round) {
    std::vector<std::shared_ptr<std::optional<call_result>>> results;
    for (int caller = 0; caller < callers; ++caller) {
      const std::string id = fmt::format("f{}-{}", round, caller);
      results.push_back(all.begin_call(caller % fronts, fatal_call("/safe/x", id)));
    }
    all.run_until([&] {
      fatal.step();
      return std::all_of(results.begin(), results.end(), [](const auto& item) { return *item; });
    });
    ends_of_first_round = round == 0 ? fatal.ends() : ends_of_first_round;
    all.run_for(300ms);
  }
  CHECK(fatal.ends() == ends_of_first_round);
}

TEST_CASE("no call is refused because servers crash in series under it") {
  deployment all({fronts, 3, 8, 8});
  REQUIRE(all_ready(all));
  fatal_requests servers(all, {});
  bystander_calls others(all, fronts);
  constexpr int crashes = 10;
  for (int crash = 0; crash < crashes; ++crash) {
    const auto until = steady::now() + 200ms;
    all.run_until([&] {
      servers.step();
      others.step(2 * calls_beside);
      return steady::now() >= until;
    });
    auto& group = crash % 2 == 0 ? all.engines : all.apps;
    for (const auto& server : group) {
      if (!server->ended()) {
        servers.crash(*server);
        break;
      }
    }
  }
  others.finish();
  CHECK(servers.ends() == crashes);
  CHECK(others.failures().empty());
}
