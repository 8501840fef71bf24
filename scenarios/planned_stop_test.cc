// Guards against a planned stop of a front host that ends calls without an answer: calls that
// arrive during the stop, wait for a server, and run for longer than the process goes on.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "deployment_calls.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Grace period of the deployment's front hosts.
constexpr auto grace = 5000ms;
constexpr int slots = 4;

using pending_call = std::shared_ptr<std::optional<call_result>>;

/// One app server with `slots` slots, and a route whose calls may last long.
void start_slow_service(deployment& all, std::function<milliseconds(const http::request&)> time_of,
                        int timeout_ms = 4000) {
  REQUIRE(is_up(all));
  all.apps[0]->set_work(slots, std::move(time_of));
  all.configure(2, R"("timeout-ms":700)",
                fmt::format(R"("timeout-ms":{},"target-latency-ms":500)", timeout_ms));
  all.run_for(1500ms);
}

/// Number of calls that ended in each way.
struct stop_outcome {
  int served = 0;
  int refused = 0;
  /// No answer, or a part of one.
  int unanswered = 0;
  int refused_and_run = 0;
};

/// Waits for the end of the process, which has to come in its grace period, and of all calls.
stop_outcome outcome_of(deployment& all, const std::map<std::string, pending_call>& calls,
                        std::chrono::steady_clock::time_point stop_began) {
  const auto left = std::chrono::duration_cast<milliseconds>(stop_began + grace -
                                                             std::chrono::steady_clock::now());
  CHECK(all.run_until([&all] { return all.front_ended(0); }, left));
  all.kill_front(0);
  stop_outcome outcome;
  for (const auto& [id, result] : calls) {
    all.run_until([&result = result] { return result->has_value(); });
    const call_result answer = result->value_or(call_result{});
    INFO(id << ": " << answer.status);
    outcome.unanswered += answer.whole ? 0 : 1;
    outcome.served += answer.whole && answer.status == 200 ? 1 : 0;
    outcome.refused += answer.status == 503 ? 1 : 0;
    outcome.refused_and_run += answer.status == 503 && runs_of(all, id) > 0 ? 1 : 0;
  }
  return outcome;
}

}  // namespace

TEST_CASE("calls that arrive during a planned stop do not run on after the process has ended") {
  struct row {
    const char* what;
    const char* path;
    milliseconds work;
    /// Work of the last call, which is longer than any before it.
    milliseconds last_work;
    /// Time from the start of the stop to the calls.
    milliseconds sent_after;
    int calls;
    /// At least this many are served.
    int served;
  };
  const row rows[] = {
      {"the third round would end after the stop", "/once/x", 1300ms, 1300ms, 800ms, 12, 8},
      {"the same, sent at the beginning", "/once/x", 1600ms, 1600ms, 0ms, 12, 8},
      {"calls that may be repeated", "/safe/x", 1300ms, 1300ms, 800ms, 12, 8},
      {"the second round would end after the stop", "/once/x", 2000ms, 2000ms, 800ms, 8, 4},
      {"one call takes longer than any before", "/once/x", 400ms, 6000ms, 800ms, 8, 7},
  };
  for (const row& item : rows) {
    INFO(item.what);
    deployment all({2, 3, 1, 1});
    const std::string last = fmt::format("call-{}", item.calls - 1);
    start_slow_service(all, [&](const http::request& request) {
      return request.find_header("X-Request-Id") == last ? item.last_work : item.work;
    });
    if (std::string_view(item.path) == "/safe/x") {
      all.configure(3, R"("timeout-ms":1500)", R"("timeout-ms":4000,"target-latency-ms":500)");
      all.run_for(1500ms);
    }
    const auto began = std::chrono::steady_clock::now();
    all.stop_front(0);
    all.run_for(item.sent_after);
    std::map<std::string, pending_call> calls;
    for (int number = 0; number < item.calls; ++number) {
      const std::string id = fmt::format("call-{}", number);
      calls[id] = all.begin_call(0, plain(item.path, id));
    }
    const stop_outcome outcome = outcome_of(all, calls, began);
    CHECK(outcome.unanswered == 0);
    CHECK(outcome.refused_and_run == 0);
    CHECK(outcome.served >= item.served);
  }
}

TEST_CASE("a request whose body arrives until the end of a planned stop gets an answer") {
  deployment all({2, 3, 1, 1});
  start_slow_service(all, [](const http::request&) { return 10ms; });
  all.configure(3, R"("header-timeout-ms":400)", R"("header-timeout-ms":9000)");
  all.run_for(1500ms);
  const auto began = std::chrono::steady_clock::now();
  all.stop_front(0);
  std::map<std::string, pending_call> calls;
  call_request large = plain("/once/x", "slow-body");
  large.body = std::string(4000, 'b');
  calls[large.id] = all.begin_partial_call(0, large, 1000);
  const stop_outcome outcome = outcome_of(all, calls, began);
  CHECK(outcome.unanswered == 0);
  CHECK(outcome.refused == 1);
}

TEST_CASE("a call that waits for a server when a planned stop ends is refused before the exit") {
  deployment all({2, 3, 1, 1});
  start_slow_service(
      all, [](const http::request&) { return 9000ms; }, 7500);
  std::map<std::string, pending_call> calls;
  for (int number = 0; number < 2 * slots; ++number) {
    const std::string id = fmt::format("early-{}", number);
    calls[id] = all.begin_call(0, plain("/once/x", id));
  }
  all.run_for(100ms);
  const auto began = std::chrono::steady_clock::now();
  all.stop_front(0);
  const stop_outcome outcome = outcome_of(all, calls, began);
  CHECK(outcome.unanswered == 0);
  CHECK(outcome.refused_and_run == 0);
}
