// The platform's promises on turns and budgets, played against whole hosts and stand-ins.
#include <catch2/catch.hpp>

#include "deployment.h"
#include "deployment_calls.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::backend_behavior;

TEST_CASE("a kept turn reaches the server with all that was said before, at any front host") {
  deployment all({2, 3, 2, 1});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1); }));
  CHECK(all.call(0, turn("/kept/x", "t1", "p")).whole);
  CHECK(all.call(1, turn("/kept/x", "t2", "p", "t1")).whole);
  // Another program may go on from it, and several from the same turn.
  CHECK(all.call(0, turn("/kept/x", "t3", "q", "t2")).whole);
  CHECK(all.call(1, turn("/kept/x", "t4", "r", "t2")).whole);
  const std::string first = std::string("in-t1;") + three_data;
  const std::string second = first + "in-t2;" + three_data;
  std::map<std::string, std::string> bodies;
  for (const auto& server : all.engines) {
    for (const auto& arrival : server->arrivals()) {
      bodies[*arrival.request.find_header("X-Request-Id")] = arrival.request.body;
    }
  }
  CHECK(bodies["t1"] == "in-t1;");
  CHECK(bodies["t2"] == first + "in-t2;");
  CHECK(bodies["t3"] == second + "in-t3;");
  CHECK(bodies["t4"] == second + "in-t4;");
}

TEST_CASE("a turn that does not exist, and a budget that is spent, never reach a server") {
  deployment all({1, 3, 2, 1});
  REQUIRE(is_up(all));
  CHECK(all.call(0, turn("/kept/x", "t1", "p", "nothing")).status == 404);
  CHECK(runs_of(all, "t1") == 0);
  // Each turn reserves 30 tokens and uses 30: two fit into 70, a third does not.
  CHECK(all.call(0, turn("/resumed/x", "b1", "q", "", 70)).status == 200);
  CHECK(all.call(0, turn("/resumed/x", "b2", "q", "", 70)).status == 200);
  CHECK(all.call(0, turn("/resumed/x", "b3", "q", "", 70)).status == 402);
  CHECK(runs_of(all, "b3") == 0);
}

TEST_CASE("turns and budgets outlive all disk hosts at once, and the loss of one disk") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  const std::string first = keep_turn(all, "t1", "", 70);
  for (int disk = 0; disk < 3; ++disk) {
    all.kill_disk(disk);
  }
  CHECK(all.call(0, turn("/kept/x", "t2", "p", first, 70)).status == 503);
  CHECK(runs_of(all, "t2") == 0);
  const bool one_is_empty = GENERATE(false, true);
  for (int disk = 0; disk < 3; ++disk) {
    all.start_disk(disk, one_is_empty && disk == 0);
  }
  all.kill_front(0);
  all.start_front(0);
  REQUIRE(all.run_until([&all] { return all.ready(0); }));
  call_result again;
  int refused = 0;
  all.run_until([&all, &again, &first, &refused] {
    static int attempt = 0;
    // A try that was refused just now may still count at its most.
    const int budget = 70 + 30 * refused;
    again = all.call(0, turn("/kept/x", "t3-" + std::to_string(++attempt), "p", first, budget));
    refused += again.status == 503 ? 1 : 0;
    return again.status != 503;
  });
  CHECK(again.status == 200);
  const decided_turn spent = decide(
      all, "t4", [&first](const std::string& id) { return turn("/kept/x", id, "p", first, 70); });
  CHECK(spent.result.status == 402);
  if (one_is_empty) {
    CHECK(all.run_until([&all] {
      const std::string set = all.store().spec_of("hawthornlane-hosts", "ledger-set");
      return set.find("\"epoch\":3") != std::string::npos;
    }));
  }
}

TEST_CASE("turns go on while the set of disks changes and nobody else hears of it") {
  // Mechanics' turns were refused for 0.4 s at each change of the set of disks: the host that
  // changed it had its old members refuse the old set at once, while all others heard of the
  // new one only from the store's watches. Programs came back a second later, and were late.
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  const std::string first = keep_turn(all, "t1");
  all.store().set_stalled_watches(true);
  all.kill_disk(0);
  all.start_disk(0, true);
  REQUIRE(all.run_until([&all] {
    const std::string set = all.store().spec_of("hawthornlane-hosts", "ledger-set");
    return set.find("\"epoch\":2") != std::string::npos;
  }));
  // Time for the joining disk to begin its copy, but not for any host to read the store.
  all.run_for(150ms);
  all.store().set_behavior(stand_ins::store_behavior::silent);
  const std::string second = keep_turn(all, "t2", first);
  all.store().set_behavior(stand_ins::store_behavior::serving);
  all.store().set_stalled_watches(false);
  CHECK(all.run_until([&all] {
    const std::string set = all.store().spec_of("hawthornlane-hosts", "ledger-set");
    return set.find("\"epoch\":3") != std::string::npos;
  }));
  keep_turn(all, "t3", second);
}

TEST_CASE("a disk host that is to be emptied leaves the set before it says so") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  const std::string first = keep_turn(all, "t1");
  all.store().put("retirements", "disk-0", R"({"duration-s":10})");
  REQUIRE(all.run_until([&all] {
    return all.store().status_of("retirements", "disk-0").find("completed") != std::string::npos;
  }));
  all.kill_disk(0);
  const std::string second = keep_turn(all, "t2", first);
  // One of the two that are left is lost as well: the other one goes on alone.
  all.kill_disk(1);
  call_result result;
  CHECK(all.run_until([&all, &result, &second] {
    static int attempt = 0;
    result = all.call(0, turn("/kept/x", "t3-" + std::to_string(++attempt), "p", second));
    return result.status == 200;
  }));
  CHECK(result.whole);
}

TEST_CASE("a turn that has not run takes nothing from the budget, whatever the disks were doing") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  all.engine_acts->set({backend_behavior::shed});
  // From the moment on at which the server refuses the turn, no disk host takes a word.
  bool killed = false;
  all.engines[0]->on_arrival([&](const stand_ins::backend_arrival&) {
    for (int disk = 0; disk < 3 && !killed; ++disk) {
      all.kill_disk(disk);
    }
    killed = true;
  });
  constexpr int budget_of_one_turn = 30;
  const call_result refused = all.call(0, turn("/kept/x", "not-run", "p", "", budget_of_one_turn));
  REQUIRE(killed);
  REQUIRE(refused.status == 503);
  REQUIRE(runs_of(all, "not-run") == 0);
  all.engine_acts->set({backend_behavior::answer});
  for (int disk = 0; disk < 3; ++disk) {
    all.start_disk(disk);
  }
  const decided_turn again = decide(all, "again", [&](const std::string& id) {
    return turn("/kept/x", id, "p", "", budget_of_one_turn);
  });
  CHECK(again.result.status == 200);
}
