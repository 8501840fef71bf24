// Simulates a burst of 2.3 times the engines' capacity, with and without claims for places. Checks
// how many programs of each priority and account are done in time.
#include <catch2/catch.hpp>

#include "turn_simulation.h"

using namespace hawthornlane;
using namespace hawthornlane::simulate;

namespace {

/// Load of each account in the burst, as a multiple of its usual load.
constexpr double surge = 3.5;
/// The same for the first account.
constexpr double max_surge = 6.6;
constexpr int accounts = 10;

load_plan burst_plan(int hosts, int servers, std::uint32_t slots, double usual, unsigned seed) {
  load_plan plan;
  plan.hosts = hosts;
  plan.servers = servers;
  plan.slots = slots;
  plan.usual = usual;
  plan.burst = usual;
  plan.burst_to = plan.burst_from + 6s;
  plan.slack = 1.3;
  plan.limits_in_flight = true;
  plan.priorities = {0, 1, 2};
  plan.seed = seed;
  plan.accounts.clear();
  for (int number = 0; number < accounts; ++number) {
    account_plan account;
    account.name = client_account("account-" + std::to_string(number));
    account.part = 1.0 / accounts;
    account.surge = number == 0 ? max_surge : surge;
    plan.accounts.push_back(account);
  }
  return plan;
}

std::string text_of(const load_result& result) {
  std::string text = "in time " + std::to_string(result.in_time) + " of " +
                     std::to_string(result.began) + ", busy " +
                     std::to_string(result.busy_slot_steps / result.slot_steps) + ", read " +
                     std::to_string(result.read / result.required_read) + ", refused " +
                     std::to_string(result.refused);
  const auto add = [&text](const std::string& what, const caller_result& item) {
    text +=
        "\n  " + what + ": " + std::to_string(item.in_time) + " of " + std::to_string(item.began);
  };
  for (const auto& [priority, item] : result.by_priority) {
    add("in the burst, priority " + std::to_string(priority), item);
  }
  for (const auto& [priority, item] : result.by_priority_after) {
    add("after it, priority " + std::to_string(priority), item);
  }
  for (const auto& [account, item] : result.by_account) {
    add(account.get(), item);
  }
  return text;
}

}  // namespace

TEST_CASE("with claims for places a burst is served by priority and no account is starved") {
  struct row {
    const char* what;
    load_plan plan;
  };
  // A turn at a full engine with 16 slots takes 1.28 times as long as at an idle one, since the
  // engine also reads the prompts of 15 other calls.
  load_plan large_engines = burst_plan(7, 8, 16, 25, 42);
  large_engines.slack = 1.5;
  const row rows[] = {
      {"68 hosts, 38 servers with 6 slots", burst_plan(68, 38, 6, 55, 42)},
      {"the same with another random seed", burst_plan(68, 38, 6, 55, 7)},
      {"7 hosts, 8 servers with 16 slots", large_engines},
  };
  for (row item : rows) {
    item.plan.claims = false;
    const load_result without = turn_simulation(item.plan).simulate();
    item.plan.claims = true;
    const load_result with = turn_simulation(item.plan).simulate();
    INFO(item.what << "\nwithout claims: " << text_of(without) << "\nwith: " << text_of(with));
    CHECK(with.in_time > without.in_time);
    for (const auto& [priority, got] : with.by_priority) {
      CHECK(got.share() >= without.by_priority.at(priority).share());
      CHECK(with.by_priority_after.at(priority).share() >=
            without.by_priority_after.at(priority).share());
    }
    // The highest priority is served before the others, and normally again after the burst.
    CHECK(with.by_priority.at(0).share() > with.by_priority.at(1).share());
    CHECK(with.by_priority_after.at(0).share() > 0.9);
    CHECK(with.busy_slot_steps >= 0.95 * with.slot_steps);
    caller_result all;
    for (const auto& [account, got] : with.by_account) {
      all.began += got.began;
      all.in_time += got.in_time;
    }
    for (const auto& [account, got] : with.by_account) {
      INFO(account.get());
      CHECK(got.share() >= all.share() / 4);
    }
  }
}
