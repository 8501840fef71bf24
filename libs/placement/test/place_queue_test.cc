// The order in which a keeper gives out places, and what it does when messages are lost.
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

/// A keeper that knows its counts, all of whose places are taken.
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
  /// One call ends; the calls that its place was granted to.
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
  /// The granted call goes to the server, and another one ends there.
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

TEST_CASE("a place goes to the claim that is first in order") {
  struct row {
    const char* what;
    /// Claim 1 comes first and has priority 5, 2 s left, no account, and is not begun.
    std::function<void(place_claim&)> first;
    std::function<void(place_claim&)> second;
    std::uint64_t winner;
  };
  const auto as_is = [](place_claim&) {};
  const row rows[] = {
      {"what came first, when all is equal", as_is, as_is, 1},
      {"what is wanted first", as_is, [](place_claim& c) { c.wanted_in = 1s; }, 2},
      {"begun before new", as_is,
       [](place_claim& c) {
         c.begun = true;
         c.wanted_in = 9s;
       },
       2},
      {"what can be in time before what is begun", [](place_claim& c) { c.wanted_in = -1s; },
       [](place_claim& c) { c.wanted_in = 9s; }, 2},
      {"late and begun after new and in time",
       [](place_claim& c) {
         c.wanted_in = -1s;
         c.begun = true;
       },
       as_is, 2},
      {"priority before all", [](place_claim& c) { c.begun = true; },
       [](place_claim& c) {
         c.priority = 4;
         c.wanted_in = -1s;
       },
       2},
  };
  for (const row& item : rows) {
    INFO(item.what);
    full_server keeper;
    place_claim first = claim_of(1);
    place_claim second = claim_of(2);
    first.priority = second.priority = 5;
    item.first(first);
    item.second(second);
    CHECK(keeper.claim(first) == claim_outcome::waiting);
    CHECK(keeper.claim(second) == claim_outcome::waiting);
    CHECK(keeper.free_one() == calls{item.winner});
  }
}

TEST_CASE("a claim that cannot be in time any more is put behind others for a second at most") {
  full_server keeper;
  place_claim late = claim_of(1);
  late.wanted_in = -1s;
  CHECK(keeper.claim(late) == claim_outcome::waiting);
  constexpr duration repeat = place_queue::repeat_interval;
  std::uint64_t others = 1;
  duration waited{};
  while (waited < 2s) {
    CHECK(keeper.claim(claim_of(++others)) == claim_outcome::waiting);
    const calls granted = keeper.free_one();
    if (granted == calls{1}) {
      break;
    }
    keeper.now += repeat;
    waited += repeat;
    keeper.claim(late);
  }
  CHECK(waited >= place_queue::late_patience);
  CHECK(waited < place_queue::late_patience + repeat);
}

TEST_CASE("a free place is granted at once, and no place twice") {
  full_server keeper;
  keeper.count(busy_host, places - 2);
  CHECK(keeper.claim(claim_of(1)) == claim_outcome::granted);
  CHECK(keeper.claim(claim_of(2)) == claim_outcome::granted);
  CHECK(keeper.claim(claim_of(3)) == claim_outcome::waiting);
  // Nothing is to be told: the answers said it.
  CHECK(keeper.granted().empty());
  // The counts show the grants, which are not counted beside them.
  keeper.count(host_id("front"), 2);
  CHECK(keeper.granted().empty());
  keeper.count(host_id("front"), 1);
  CHECK(keeper.granted() == calls{3});
}

TEST_CASE("accounts share places in turn, however many calls each has") {
  full_server keeper;
  std::uint64_t call = 0;
  for (int number = 0; number < 60; ++number) {
    place_claim claim = claim_of(++call);
    claim.account = client_account(number < 40 ? "surge" : number < 50 ? "b" : "c");
    REQUIRE(keeper.claim(claim) == claim_outcome::waiting);
  }
  std::map<int, int> served;
  for (int number = 0; number < 15; ++number) {
    const std::uint64_t winner = keeper.serve_one();
    ++served[winner <= 40 ? 0 : winner <= 50 ? 1 : 2];
  }
  CHECK(served[0] == 5);
  CHECK(served[1] == 5);
  CHECK(served[2] == 5);
}

TEST_CASE("a claim of the lowest priority is served while better ones keep coming") {
  full_server keeper;
  place_claim low = claim_of(1);
  low.priority = 9;
  std::uint64_t call = 1;
  int grants = 0;
  bool served = false;
  while (!served && grants < 200) {
    keeper.now += 50ms;
    keeper.claim(low);
    place_claim better = claim_of(++call);
    better.wanted_in = 1s;
    keeper.claim(better);
    ++grants;
    served = keeper.serve_one() == 1;
  }
  CHECK(served);
  // No sooner than it is overdue.
  CHECK(grants * 50ms >= place_queue::overdue_after);
  CHECK(grants <= static_cast<int>(2 * place_queue::overdue_share));
}

TEST_CASE("a claim is refused at once when the wait would pass its time") {
  struct row {
    const char* what;
    int before;
    duration given_up_in;
    claim_outcome expected;
  };
  const row rows[] = {
      {"alone with time", 0, 5s, claim_outcome::waiting},
      {"alone without time", 0, 100ms, claim_outcome::refused},
      {"behind a few", 10, 5s, claim_outcome::waiting},
      {"behind many", 100, 5s, claim_outcome::refused},
      {"behind many with time", 100, 60s, claim_outcome::waiting},
  };
  for (const row& item : rows) {
    INFO(item.what);
    full_server keeper;
    for (int number = 0; number < item.before; ++number) {
      place_claim other = claim_of(100 + number);
      other.given_up_in = 90s;
      keeper.claim(other);
    }
    place_claim claim = claim_of(1);
    claim.wanted_in = 10s;
    claim.given_up_in = item.given_up_in;
    const claim_response answer = keeper.queue.claim(claim, keeper.now);
    CHECK(answer.outcome == item.expected);
    CHECK((answer.wait < item.given_up_in) == (item.expected == claim_outcome::waiting));
    const std::size_t waits = item.expected == claim_outcome::waiting ? 1 : 0;
    CHECK(keeper.queue.waiting(server) == static_cast<std::size_t>(item.before) + waits);
  }
}

TEST_CASE("the expected wait follows the pace at which places were freed") {
  full_server slow;
  full_server quick;
  for (int number = 0; number < 40; ++number) {
    quick.now += 25ms;
    quick.free_one();
    slow.now += 25ms;
  }
  const auto wait_at = [](full_server& keeper) {
    return keeper.queue.claim(claim_of(1), keeper.now).wait;
  };
  CHECK(wait_at(quick) < wait_at(slow) / 4);
}

TEST_CASE("a new keeper does not know until hosts have told their counts again") {
  placement_directory directory;
  place_queue queue(directory);
  timestamp now{1h};
  CHECK(queue.claim(claim_of(1), now).outcome == claim_outcome::unknown);
  now += place_queue::warm_up_time - 1ms;
  CHECK(queue.claim(claim_of(1), now).outcome == claim_outcome::unknown);
  now += 1ms;
  CHECK(queue.claim(claim_of(1), now).outcome == claim_outcome::granted);
  // A server that it has kept before is known, but not for ever.
  now += place_queue::memory;
  CHECK(queue.claim(claim_of(2), now).outcome == claim_outcome::granted);
  now += place_queue::memory + 1ms;
  CHECK(queue.claim(claim_of(3), now).outcome == claim_outcome::unknown);
}

TEST_CASE("a server that comes up while the hosts stay the same is known at once") {
  struct row {
    const char* what;
    duration since_change;
    claim_outcome expected;
  };
  constexpr duration settled = place_queue::settling_time + place_queue::warm_up_time;
  const row rows[] = {
      {"the hosts have just changed", 0ms, claim_outcome::unknown},
      {"they may not all know yet", settled - 1ms, claim_outcome::unknown},
      {"all have told their counts since", settled, claim_outcome::granted},
  };
  for (const row& item : rows) {
    INFO(item.what);
    placement_directory directory;
    place_queue queue(directory);
    const timestamp changed{1h};
    queue.hosts_changed(changed);
    CHECK(queue.claim(claim_of(1), changed + item.since_change).outcome == item.expected);
    // A later change does not take away what is known.
    queue.hosts_changed(changed + settled);
    const timestamp later = changed + settled + place_queue::warm_up_time;
    CHECK(queue.claim(claim_of(1), later).outcome == claim_outcome::granted);
  }
}

TEST_CASE("a claim that is repeated is one claim") {
  full_server keeper;
  for (int number = 0; number < 5; ++number) {
    CHECK(keeper.claim(claim_of(1)) == claim_outcome::waiting);
    keeper.now += place_queue::repeat_interval;
  }
  CHECK(keeper.queue.waiting(server) == 1);
  CHECK(keeper.free_one() == calls{1});
  // The grant was lost: the repeat is answered by it, and takes no further place.
  CHECK(keeper.claim(claim_of(1)) == claim_outcome::granted);
  CHECK(keeper.queue.waiting(server) == 0);
  CHECK(keeper.claim(claim_of(2)) == claim_outcome::waiting);
}

TEST_CASE("what is not wanted or never shown goes to the next") {
  struct row {
    const char* what;
    std::function<void(full_server&)> happens;
    calls then;
  };
  const claimant first{host_id("front"), 1};
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
      {"no count shows the grant in time",
       [](full_server& k) { k.now += place_queue::grant_lifetime + 1ms; },
       {2}},
      {"the next one is withdrawn too",
       [&](full_server& k) {
         k.queue.withdraw({host_id("front"), 2}, server, k.now);
         k.queue.withdraw(first, server, k.now);
       },
       {3}},
      {"the hosts with claims are dead",
       [](full_server& k) { k.now += place_queue::claim_lifetime + 1ms; },
       {}},
  };
  for (const row& item : rows) {
    INFO(item.what);
    full_server keeper;
    for (std::uint64_t call = 1; call <= 3; ++call) {
      keeper.claim(claim_of(call));
    }
    keeper.count(busy_host, places - 1);
    REQUIRE(keeper.granted() == calls{1});
    item.happens(keeper);
    CHECK(keeper.granted() == item.then);
  }
}

TEST_CASE("a dead host's calls hold no places for ever") {
  full_server keeper;
  keeper.claim(claim_of(1));
  keeper.now += placement_directory::count_lifetime + 1ms;
  // The busy host has not told its count again, and the claim was repeated.
  CHECK(keeper.claim(claim_of(1)) == claim_outcome::granted);
}
