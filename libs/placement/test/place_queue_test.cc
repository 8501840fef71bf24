// Tests the order in which a place queue grants places, and its handling of lost messages.
#include "hawthornlane/placement/place_queue.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

const server_key server(7);
const host_id busy_host("busy");
constexpr std::uint32_t places = 3;

place_claim claim_of(std::uint64_t call) {
  place_claim claim;
  claim.from = {host_id("front"), call};
  claim.server = server;
  claim.places = places;
  claim.wanted_in = 2s;
  claim.given_up_in = 30s;
  return claim;
}

/// A place queue that knows all counts, for a server whose places are all taken.
class full_server {
public:
  full_server() {
    this->count(busy_host, places);
    this->now += place_queue::warm_up_time;
    this->count(busy_host, places);
  }

  void count(const host_id& host, std::uint32_t calls) {
    const server_load load{server, calls};
    const std::uint32_t before = this->directory.set_load(host, load, this->now);
    this->queue.count_changed(host, load, before, this->now);
  }
  claim_outcome claim(const place_claim& claim) {
    return this->queue.claim(claim, this->now).outcome;
  }
  /// Ends one call. Returns the waiting calls that are granted a place now.
  std::vector<std::uint64_t> free_one() {
    this->count(busy_host, places - 1);
    std::vector<std::uint64_t> calls = this->granted();
    this->count(busy_host, places);
    return calls;
  }
  std::vector<std::uint64_t> granted() {
    std::vector<std::uint64_t> calls;
    this->queue.sweep(this->now);
    for (const place_grant& grant : this->queue.take_grants()) {
      calls.push_back(grant.to.call);
    }
    return calls;
  }
  /// Ends one call, then starts the waiting call that gets the freed place. Returns the latter.
  std::uint64_t serve_one() {
    this->count(busy_host, places - 1);
    const std::vector<std::uint64_t> calls = this->granted();
    REQUIRE(calls.size() == 1);
    this->count(busy_host, places);
    this->queue.withdraw({host_id("front"), calls.front()}, server, this->now);
    return calls.front();
  }

  timestamp now{1h};
  placement_directory directory;
  place_queue queue{this->directory};
};

using calls = std::vector<std::uint64_t>;

}  // namespace

TEST_CASE("claims are granted by priority, soft deadline, session state and arrival") {
  struct row {
    const char* what;
    /// Claim 1 arrives first. By default both claims have priority 5, 2 s left, no account and no
    /// answered turn.
    std::function<void(place_claim&)> first;
    std::function<void(place_claim&)> second;
    std::uint64_t winner;
  };
  const auto as_is = [](place_claim&) {};
  const row rows[] = {
      {"equal claims: first arrival", as_is, as_is, 1},
      {"earlier soft deadline", as_is, [](place_claim& c) { c.wanted_in = 1s; }, 2},
      {"session in progress before a new one", as_is,
       [](place_claim& c) {
         c.begun = true;
         c.wanted_in = 9s;
       },
       2},
      {"in time before late", [](place_claim& c) { c.wanted_in = -1s; },
       [](place_claim& c) { c.wanted_in = 9s; }, 2},
      {"new and in time before late and in progress",
       [](place_claim& c) {
         c.wanted_in = -1s;
         c.begun = true;
       },
       as_is, 2},
      {"priority before everything else", [](place_claim& c) { c.begun = true; },
       [](place_claim& c) {
         c.priority = 4;
         c.wanted_in = -1s;
       },
       2},
  };
  for (const row& item : rows) {
    INFO(item.what);
    full_server fixture;
    place_claim first = claim_of(1);
    place_claim second = claim_of(2);
    first.priority = second.priority = 5;
    item.first(first);
    item.second(second);
    CHECK(fixture.claim(first) == claim_outcome::waiting);
    CHECK(fixture.claim(second) == claim_outcome::waiting);
    CHECK(fixture.free_one() == calls{item.winner});
  }
}

TEST_CASE("a claim past its soft deadline is served after others for at most a second") {
  full_server fixture;
  place_claim late = claim_of(1);
  late.wanted_in = -1s;
  CHECK(fixture.claim(late) == claim_outcome::waiting);
  constexpr duration repeat = place_queue::repeat_interval;
  std::uint64_t others = 1;
  duration waited{};
  while (waited < 2s) {
    CHECK(fixture.claim(claim_of(++others)) == claim_outcome::waiting);
    const calls granted = fixture.free_one();
    if (granted == calls{1}) {
      break;
    }
    fixture.now += repeat;
    waited += repeat;
    fixture.claim(late);
  }
  CHECK(waited >= place_queue::late_penalty_time);
  CHECK(waited < place_queue::late_penalty_time + repeat);
}

TEST_CASE("a free place is granted at once and only once") {
  full_server fixture;
  fixture.count(busy_host, places - 2);
  CHECK(fixture.claim(claim_of(1)) == claim_outcome::granted);
  CHECK(fixture.claim(claim_of(2)) == claim_outcome::granted);
  CHECK(fixture.claim(claim_of(3)) == claim_outcome::waiting);
  // The answers contained the grants, so there is none to send.
  CHECK(fixture.granted().empty());
  // The counts include the granted calls now, so the grants are not counted in addition.
  fixture.count(host_id("front"), 2);
  CHECK(fixture.granted().empty());
  fixture.count(host_id("front"), 1);
  CHECK(fixture.granted() == calls{3});
}

TEST_CASE("an account with more calls gets no larger share of the places") {
  full_server fixture;
  std::uint64_t call = 0;
  for (int number = 0; number < 60; ++number) {
    place_claim claim = claim_of(++call);
    claim.account = client_account(number < 40 ? "surge" : number < 50 ? "b" : "c");
    REQUIRE(fixture.claim(claim) == claim_outcome::waiting);
  }
  std::map<int, int> served;
  for (int number = 0; number < 15; ++number) {
    const std::uint64_t winner = fixture.serve_one();
    ++served[winner <= 40 ? 0 : winner <= 50 ? 1 : 2];
  }
  CHECK(served[0] == 5);
  CHECK(served[1] == 5);
  CHECK(served[2] == 5);
}

TEST_CASE("a claim of the lowest priority is not starved by claims of higher priority") {
  full_server fixture;
  place_claim low = claim_of(1);
  low.priority = 9;
  std::uint64_t call = 1;
  int grants = 0;
  bool served = false;
  while (!served && grants < 200) {
    fixture.now += 50ms;
    fixture.claim(low);
    place_claim better = claim_of(++call);
    better.wanted_in = 1s;
    fixture.claim(better);
    ++grants;
    served = fixture.serve_one() == 1;
  }
  CHECK(served);
  // It must not be served before it is overdue.
  CHECK(grants * 50ms >= place_queue::overdue_after);
  CHECK(grants <= static_cast<int>(2 * place_queue::overdue_grant_interval));
}

TEST_CASE("a claim is refused at once if the expected wait exceeds the time it has left") {
  struct row {
    const char* what;
    int before;
    duration given_up_in;
    claim_outcome expected;
  };
  const row rows[] = {
      {"empty queue, enough time", 0, 5s, claim_outcome::waiting},
      {"empty queue, too little time", 0, 100ms, claim_outcome::refused},
      {"short queue, enough time", 10, 5s, claim_outcome::waiting},
      {"long queue, too little time", 100, 5s, claim_outcome::refused},
      {"long queue, enough time", 100, 60s, claim_outcome::waiting},
  };
  for (const row& item : rows) {
    INFO(item.what);
    full_server fixture;
    for (int number = 0; number < item.before; ++number) {
      place_claim other = claim_of(100 + number);
      other.given_up_in = 90s;
      fixture.claim(other);
    }
    place_claim claim = claim_of(1);
    claim.wanted_in = 10s;
    claim.given_up_in = item.given_up_in;
    const claim_response answer = fixture.queue.claim(claim, fixture.now);
    CHECK(answer.outcome == item.expected);
    CHECK((answer.wait < item.given_up_in) == (item.expected == claim_outcome::waiting));
    const std::size_t waits = item.expected == claim_outcome::waiting ? 1 : 0;
    CHECK(fixture.queue.waiting(server) == static_cast<std::size_t>(item.before) + waits);
  }
}

TEST_CASE("the expected wait is shorter if places were freed at a higher rate") {
  full_server slow;
  full_server quick;
  for (int number = 0; number < 40; ++number) {
    quick.now += 25ms;
    quick.free_one();
    slow.now += 25ms;
  }
  const auto wait_at = [](full_server& fixture) {
    return fixture.queue.claim(claim_of(1), fixture.now).wait;
  };
  CHECK(wait_at(quick) < wait_at(slow) / 4);
}

TEST_CASE("a new place queue grants nothing until hosts have reported their counts again") {
  placement_directory directory;
  place_queue queue(directory);
  timestamp now{1h};
  CHECK(queue.claim(claim_of(1), now).outcome == claim_outcome::unknown);
  now += place_queue::warm_up_time - 1ms;
  CHECK(queue.claim(claim_of(1), now).outcome == claim_outcome::unknown);
  now += 1ms;
  CHECK(queue.claim(claim_of(1), now).outcome == claim_outcome::granted);
  // The counts of a server stay known between messages, but not for an unlimited time.
  now += place_queue::idle_lifetime;
  CHECK(queue.claim(claim_of(2), now).outcome == claim_outcome::granted);
  now += place_queue::idle_lifetime + 1ms;
  CHECK(queue.claim(claim_of(3), now).outcome == claim_outcome::unknown);
}

TEST_CASE("a new server's claims are granted at once unless the hosts have just changed") {
  struct row {
    const char* what;
    duration since_change;
    claim_outcome expected;
  };
  constexpr duration settled = place_queue::convergence_time + place_queue::warm_up_time;
  const row rows[] = {
      {"the hosts have just changed", 0ms, claim_outcome::unknown},
      {"some hosts may not know of the change yet", settled - 1ms, claim_outcome::unknown},
      {"all hosts have reported their counts since", settled, claim_outcome::granted},
  };
  for (const row& item : rows) {
    INFO(item.what);
    placement_directory directory;
    place_queue queue(directory);
    const timestamp changed{1h};
    queue.hosts_changed(changed);
    CHECK(queue.claim(claim_of(1), changed + item.since_change).outcome == item.expected);
    // A later change does not make the counts of a known server unknown.
    queue.hosts_changed(changed + settled);
    const timestamp later = changed + settled + place_queue::warm_up_time;
    CHECK(queue.claim(claim_of(1), later).outcome == claim_outcome::granted);
  }
}

TEST_CASE("a repeated claim takes only one place, also if its grant was lost") {
  full_server fixture;
  for (int number = 0; number < 5; ++number) {
    CHECK(fixture.claim(claim_of(1)) == claim_outcome::waiting);
    fixture.now += place_queue::repeat_interval;
  }
  CHECK(fixture.queue.waiting(server) == 1);
  CHECK(fixture.free_one() == calls{1});
  // The grant was lost. The repeated claim is granted again and takes no further place.
  CHECK(fixture.claim(claim_of(1)) == claim_outcome::granted);
  CHECK(fixture.queue.waiting(server) == 0);
  CHECK(fixture.claim(claim_of(2)) == claim_outcome::waiting);
}

TEST_CASE("a granted place that is withdrawn or not used goes to the next claim") {
  struct row {
    const char* what;
    std::function<void(full_server&)> action;
    calls then;
  };
  const global_call_id first{host_id("front"), 1};
  const row rows[] = {
      {"nothing", [](full_server&) {}, {}},
      {"the granted call is withdrawn",
       [&](full_server& k) { k.queue.withdraw(first, server, k.now); },
       {2}},
      {"the grant is withdrawn twice",
       [&](full_server& k) {
         k.queue.withdraw(first, server, k.now);
         k.queue.withdraw(first, server, k.now);
       },
       {2}},
      {"no count includes the granted call in time",
       [](full_server& k) { k.now += place_queue::grant_lifetime + 1ms; },
       {2}},
      {"the next call is withdrawn too",
       [&](full_server& k) {
         k.queue.withdraw({host_id("front"), 2}, server, k.now);
         k.queue.withdraw(first, server, k.now);
       },
       {3}},
      {"the claims are no longer repeated, as after a host's death",
       [](full_server& k) { k.now += place_queue::claim_lifetime + 1ms; },
       {}},
  };
  for (const row& item : rows) {
    INFO(item.what);
    full_server fixture;
    for (std::uint64_t call = 1; call <= 3; ++call) {
      fixture.claim(claim_of(call));
    }
    fixture.count(busy_host, places - 1);
    REQUIRE(fixture.granted() == calls{1});
    item.action(fixture);
    CHECK(fixture.granted() == item.then);
  }
}

TEST_CASE("the calls of a dead host don't hold places forever") {
  full_server fixture;
  fixture.claim(claim_of(1));
  fixture.now += placement_directory::count_lifetime + 1ms;
  // The busy host has not repeated its count, so its calls are no longer counted.
  CHECK(fixture.claim(claim_of(1)) == claim_outcome::granted);
}
