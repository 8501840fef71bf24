// Random histories of requests, crashes, restarts and cuts on the production decisions.
#include "hawthornlane/front/crash_tracker.h"

#include <catch2/catch.hpp>

#include "crash_simulation.h"
#include "hawthornlane/front/blocked_request_pages.h"

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

constexpr int host_count = 4;
constexpr int server_count = 8;

int random_host(crash_simulation& all) { return static_cast<int>(all.random_index(host_count)); }

/// A host that is not cut off, as a caller finds it after a few tries.
int reachable_host(crash_simulation& all) {
  int number = random_host(all);
  while (all.is_cut_off(number)) {
    number = (number + 1) % host_count;
  }
  return number;
}

void disturb(crash_simulation& all) {
  constexpr std::size_t kinds = 5;
  const int number = random_host(all);
  switch (all.random_index(kinds)) {
    case 0:
      all.restart(number);
      break;
    case 1:
      for (int host = 0; host < host_count; ++host) {
        all.restart(host);
      }
      break;
    case 2:
      // One host at a time, so that callers always find another one.
      for (int host = 0; host < host_count; ++host) {
        all.set_cut_off(host, false);
      }
      all.set_cut_off(number, true);
      break;
    case 3:
      all.set_cut_off(number, false);
      break;
    default:
      all.crash_any();
  }
}

simulated_request request_of(std::uint64_t number, bool ends_servers) {
  simulated_request request;
  request.content = {1, 0, number};
  request.ends_servers = ends_servers;
  return request;
}

}  // namespace

TEST_CASE("in no history does a request reach a server after three servers have ended under it") {
  constexpr std::uint64_t histories = 300;
  constexpr int attempts = 12;
  for (std::uint64_t seed = 1; seed <= histories; ++seed) {
    INFO("seed " << seed);
    crash_simulation all(host_count, server_count, seed);
    simulated_request fatal = request_of(1, true);
    for (int attempt = 0; attempt < attempts; ++attempt) {
      all.attempt(reachable_host(all), fatal);
      disturb(all);
    }
    REQUIRE(fatal.late_arrivals == 0);
    REQUIRE(fatal.ended.size() == crash_table::max_crashes);
  }
}

TEST_CASE("no request ends a fourth server while its earlier ends are late at the ledger") {
  constexpr std::uint64_t histories = 300;
  constexpr std::size_t callers = 4;
  for (std::uint64_t seed = 1; seed <= histories; ++seed) {
    INFO("seed " << seed);
    crash_simulation all(host_count, 4 * server_count, seed);
    simulated_request fatal = request_of(1, true);
    all.set_disks_away(true);
    all.attempt(random_host(all), fatal, std::make_shared<std::optional<simulated_answer>>());
    all.settle();
    REQUIRE(fatal.ended.size() == 1);
    all.set_disks_away(false);
    for (int round = 0; round < 4; ++round) {
      for (std::size_t caller = 0; caller < callers; ++caller) {
        all.attempt(random_host(all), fatal, std::make_shared<std::optional<simulated_answer>>());
      }
      all.settle();
      all.set_disks_away(all.random_index(2) == 0);
      all.deliver_late_write();
    }
    REQUIRE(fatal.ended.size() <= crash_table::max_crashes);
  }
}

TEST_CASE("a request that reaches a server after its host has given it up ends no fourth one") {
  constexpr std::uint64_t histories = 300;
  constexpr int attempts = 8;
  for (std::uint64_t seed = 1; seed <= histories; ++seed) {
    INFO("seed " << seed);
    crash_simulation all(host_count, 4 * server_count, seed);
    simulated_request fatal = request_of(1, true);
    REQUIRE(all.attempt(random_host(all), fatal) == simulated_answer::failed);
    for (int attempt = 0; attempt < attempts; ++attempt) {
      fatal.is_late = all.random_index(3) == 0;
      all.attempt(random_host(all), fatal);
      if (all.random_index(4) == 0) {
        all.arrive_late();
      }
    }
    all.arrive_late();
    REQUIRE(fatal.late_arrivals == 0);
    REQUIRE(fatal.ended.size() <= crash_table::max_crashes);
    all.settle();
    const bool has_ended_three = fatal.ended.size() == crash_table::max_crashes;
    const simulated_answer last = all.attempt(random_host(all), fatal);
    REQUIRE((last == simulated_answer::blocked) == has_ended_three);
  }
}

TEST_CASE("a given up request of a server that lives on does not count for good") {
  crash_simulation all(host_count, 4 * server_count, 1);
  simulated_request request = request_of(1, true);
  REQUIRE(all.attempt(0, request) == simulated_answer::failed);
  request.is_late = true;
  REQUIRE(all.attempt(1, request) == simulated_answer::failed);
  REQUIRE(all.attempt(2, request) == simulated_answer::failed);
  CHECK(all.attempt(3, request) == simulated_answer::not_now);
  constexpr int settles_until_resolved = 16;
  for (int number = 0; number < settles_until_resolved; ++number) {
    all.settle();
  }
  request.is_late = false;
  request.ends_servers = false;
  CHECK(all.attempt(3, request) == simulated_answer::served);
}

TEST_CASE("callers at the same moment end no more servers than they have calls in flight") {
  constexpr std::uint64_t histories = 100;
  constexpr std::size_t callers = 6;
  for (std::uint64_t seed = 1; seed <= histories; ++seed) {
    INFO("seed " << seed);
    crash_simulation all(host_count, 4 * server_count, seed);
    simulated_request fatal = request_of(1, true);
    int arrivals_of_first_round = 0;
    for (int round = 0; round < 4; ++round) {
      for (std::size_t caller = 0; caller < callers; ++caller) {
        all.attempt(random_host(all), fatal, std::make_shared<std::optional<simulated_answer>>());
      }
      all.settle();
      arrivals_of_first_round = round == 0 ? fatal.arrivals : arrivals_of_first_round;
    }
    REQUIRE(fatal.ended.size() <= callers);
    REQUIRE(fatal.arrivals == arrivals_of_first_round);
  }
}

TEST_CASE("no request is blocked before three servers have ended under it") {
  constexpr std::uint64_t histories = 100;
  constexpr std::size_t calls = 60;
  constexpr int max_attempts = 4;
  for (std::uint64_t seed = 1; seed <= histories; ++seed) {
    INFO("seed " << seed);
    crash_simulation all(host_count, server_count, seed);
    std::vector<simulated_request> requests;
    for (std::size_t number = 0; number < calls; ++number) {
      requests.push_back(request_of(number, false));
    }
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      std::vector<std::shared_ptr<std::optional<simulated_answer>>> answers;
      for (simulated_request& request : requests) {
        answers.push_back(std::make_shared<std::optional<simulated_answer>>());
        all.attempt(random_host(all), request, answers.back());
        for (int step = 0; step < 4; ++step) {
          all.step();
        }
        if (all.random_index(4) == 0) {
          all.crash_any();
        }
      }
      all.settle();
      for (std::size_t number = 0; number < calls; ++number) {
        REQUIRE(answers[number]->has_value());
        const simulated_answer answer = **answers[number];
        const bool is_allowed = requests[number].ended.size() >= crash_table::max_crashes ||
                                answer != simulated_answer::blocked;
        REQUIRE(is_allowed);
        REQUIRE(answer != simulated_answer::not_now);
        REQUIRE(requests[number].late_arrivals == 0);
      }
    }
  }
}

TEST_CASE("a whole answer after a crash clears the request on all hosts") {
  crash_simulation all(host_count, server_count, 1);
  simulated_request request = request_of(1, true);
  for (int round = 0; round < 5; ++round) {
    request.ends_servers = true;
    CHECK(all.attempt(0, request) == simulated_answer::failed);
    CHECK(all.tracker(2).standing(request.content) == crash_standing::suspected);
    request.ends_servers = false;
    CHECK(all.attempt(1, request) == simulated_answer::served);
    CHECK(all.tracker(2).standing(request.content) == crash_standing::unsuspected);
    // Another content from here on: this one counts as good now.
    request.content.content_low += 1;
  }
}

TEST_CASE("crashes under calls of equal content that servers answer block none of them") {
  crash_simulation all(host_count, server_count, 3);
  simulated_request poll = request_of(1, false);
  constexpr int polls_per_host = 3;
  for (int crash = 0; crash < 10; ++crash) {
    for (int call = 0; call < polls_per_host * host_count; ++call) {
      REQUIRE(all.attempt(call % host_count, poll) == simulated_answer::served);
    }
    poll.ends_servers = true;
    CHECK(all.attempt(random_host(all), poll) == simulated_answer::failed);
    poll.ends_servers = false;
  }
}

TEST_CASE("whole answers excuse at most one in four ends of servers under a request") {
  constexpr std::uint64_t histories = 200;
  constexpr int attempts = 60;
  constexpr std::size_t answers_per_end = 3;
  for (std::uint64_t seed = 1; seed <= histories; ++seed) {
    INFO("seed " << seed);
    crash_simulation all(host_count, server_count, seed);
    simulated_request fatal = request_of(1, false);
    std::size_t served = 0;
    for (int attempt = 0; attempt < attempts; ++attempt) {
      fatal.ends_servers = all.random_index(2) == 0;
      const simulated_answer answer = all.attempt(reachable_host(all), fatal);
      served += answer == simulated_answer::served ? 1 : 0;
      disturb(all);
      all.settle();
    }
    REQUIRE(fatal.ended.size() <= crash_table::max_crashes + served / answers_per_end);
    REQUIRE(all.attempt(reachable_host(all), fatal) == simulated_answer::blocked);
  }
}

TEST_CASE("a crash under a content that all hosts know costs two messages to each other host") {
  crash_simulation all(host_count, server_count, 1);
  simulated_request poll = request_of(1, false);
  for (int host = 1; host < host_count; ++host) {
    REQUIRE(all.attempt(host, poll) == simulated_answer::served);
  }
  const int messages = all.messages();
  poll.ends_servers = true;
  CHECK(all.attempt(0, poll) == simulated_answer::failed);
  CHECK(all.messages() - messages <= 2 * (host_count - 1));
  CHECK(all.withdrawals() == 1);
  CHECK(all.tracker(0).standing(poll.content) == crash_standing::unsuspected);
}

TEST_CASE("an operator's lift holds on all hosts and after a restart of all") {
  crash_simulation all(host_count, server_count, 1);
  simulated_request fatal = request_of(1, true);
  while (all.attempt(0, fatal) == simulated_answer::failed) {
  }
  REQUIRE(all.attempt(1, fatal) == simulated_answer::blocked);
  http::request ask;
  ask.target = "/blocked-requests";
  const auto list = blocked_request_page(ask, all.tracker(1));
  REQUIRE(list);
  CHECK(list->body.find(text_of(fatal.content) + " blocked crashes 3") == 0);
  ask.method = "DELETE";
  ask.target += "/" + text_of(fatal.content);
  CHECK(blocked_request_page(ask, all.tracker(1))->status == 200);
  CHECK(blocked_request_page(ask, all.tracker(1))->status == 404);
  all.settle();
  CHECK(all.tracker(3).standing(fatal.content) == crash_standing::unsuspected);
  for (int host = 0; host < host_count; ++host) {
    all.restart(host);
  }
  fatal.ends_servers = false;
  CHECK(all.attempt(2, fatal) == simulated_answer::served);
}

TEST_CASE("malformed reports are refused") {
  crash_simulation all(2, 1, 1);
  CHECK_FALSE(all.tracker(0).serve("nonsense"));
}
