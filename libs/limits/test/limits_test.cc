// Tests of the fair queue, credits, server windows and retry budgets.
#include <catch2/catch.hpp>
#include <numeric>

#include "hawthornlane/limits/credit_split.h"
#include "hawthornlane/limits/fair_queue.h"
#include "hawthornlane/limits/retry_budget.h"
#include "hawthornlane/limits/server_window.h"

using namespace hawthornlane;

namespace {

waiting_call call_of(std::uint64_t id, const std::string& account, double order,
                     double weight = 1) {
  return {waiting_id(id), client_account(account), weight, order, 1.0};
}

host_incarnation host(std::uint64_t number) {
  return {host_id("h" + std::to_string(number)), incarnation(number)};
}

}  // namespace

TEST_CASE("an account with many waiting calls does not delay the calls of another") {
  fair_queue queue;
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.add(call_of(id, "flooding", 0));
  }
  queue.add(call_of(1000, "quiet", 0));
  queue.take();
  CHECK(queue.take()->id == waiting_id(1000));
}

TEST_CASE("two accounts with waiting calls are served in proportion to their weights") {
  fair_queue queue;
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.add(call_of(id, "heavy", 0, 3));
    queue.add(call_of(1000 + id, "light", 0, 1));
  }
  int heavy = 0;
  for (int taken = 0; taken < 80; ++taken) {
    heavy += queue.take()->account == client_account("heavy") ? 1 : 0;
  }
  CHECK(heavy == 60);
}

// If an idle account accumulated credit, its first calls would block all others.
TEST_CASE("an account that was idle does not get more than its share afterwards") {
  fair_queue queue;
  for (std::uint64_t id = 0; id < 50; ++id) {
    queue.add(call_of(id, "busy", 0));
  }
  for (int taken = 0; taken < 40; ++taken) {
    queue.take();
  }
  for (std::uint64_t id = 100; id < 150; ++id) {
    queue.add(call_of(id, "late", 0));
  }
  int late = 0;
  for (int taken = 0; taken < 20; ++taken) {
    late += queue.take()->account == client_account("late") ? 1 : 0;
  }
  CHECK(late >= 9);
  CHECK(late <= 11);
}

TEST_CASE("calls of an account are taken by order, and a removed call is not taken") {
  fair_queue queue;
  queue.add(call_of(1, "a", 3));
  queue.add(call_of(2, "a", 1));
  queue.add(call_of(3, "a", 2));
  CHECK(queue.remove(waiting_id(2)));
  CHECK_FALSE(queue.remove(waiting_id(2)));
  CHECK(queue.take()->id == waiting_id(3));
  CHECK(queue.take()->id == waiting_id(1));
  CHECK_FALSE(queue.take().has_value());
  CHECK(queue.waiting_cost() == Approx(0));
}

TEST_CASE(
    "grants do not exceed the window, and no host with demand gets nothing while another gets "
    "two") {
  const auto [window, hosts] = GENERATE(table<std::int64_t, std::uint64_t>(
      {{16, 1}, {16, 8}, {7, 8}, {64, 340}, {400, 340}, {0, 3}, {5, 0}}));
  std::vector<credit_demand> demands;
  for (std::uint64_t at = 0; at < hosts; ++at) {
    demands.push_back({host(at), 0, static_cast<std::int64_t>(at % 5)});
  }
  const auto grants = split_window(window, demands);
  std::int64_t sum = 0;
  std::int64_t unsatisfied = 0;
  std::int64_t served = 0;
  for (std::size_t at = 0; at < grants.size(); ++at) {
    sum += grants[at].credits;
    unsatisfied += demands[at].waiting > 0 ? 1 : 0;
    served += demands[at].waiting > 0 && grants[at].credits > 0 ? 1 : 0;
  }
  CAPTURE(window, hosts);
  CHECK(sum == (hosts == 0 ? 0 : window));
  CHECK(served == std::min(unsatisfied, window));
}

TEST_CASE("a window shrinks when tokens are late and grows only while it is full") {
  server_window window({1, 64, 8, std::chrono::milliseconds(29)});
  window.on_finished(std::chrono::milliseconds(10), false);
  CHECK(window.size() == 8);
  for (int at = 0; at < 20; ++at) {
    window.on_finished(std::chrono::milliseconds(10), true);
  }
  CHECK(window.size() > 8);
  for (int at = 0; at < 100; ++at) {
    window.on_finished(std::chrono::milliseconds(60), true);
  }
  CHECK(window.size() == 1);
}

TEST_CASE("retries do not exceed a tenth of the calls") {
  retry_budget budget;
  int spent = 0;
  for (int call = 0; call < 1000; ++call) {
    budget.on_call();
    spent += budget.try_spend() ? 1 : 0;
  }
  CHECK(spent <= 103);
  CHECK(spent >= 95);
}
