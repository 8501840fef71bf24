// Guards the programs against a planned stop that cuts calls off: each call that has run is
// answered whole, and one that is refused or not read has not run.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "daemon_deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;

namespace {

constexpr auto call_interval = 100ms;
constexpr auto stop_limit = 100s;

/// Calls that are sent all the time, from before the stop until the process has ended.
struct sent_call {
  std::string name;
  std::function<int()> runs;
  std::shared_ptr<std::optional<call_result>> result;
};

struct stop_counts {
  int served = 0;
  int not_run = 0;
  int cut = 0;
};

void count(const sent_call& call, bool is_answered, stop_counts& counts) {
  const call_result result = call.result->value_or(call_result{});
  const bool ran = call.runs() > 0;
  INFO(call.name << ": " << result.status << ", " << call.runs() << " runs");
  CHECK(call.runs() <= 1);
  CHECK((!ran || is_answered));
  counts.served += ran && is_answered ? 1 : 0;
  counts.not_run += ran ? 0 : 1;
  counts.cut += ran && !is_answered ? 1 : 0;
}

/// Sends calls, stops the process in between, and returns the calls once it has ended.
std::vector<sent_call> send_until_stopped(crowd_hosts& hosts, child_process& process,
                                          const std::function<sent_call()>& send) {
  constexpr int calls_before_stop = 15;
  std::vector<sent_call> calls;
  const auto until = std::chrono::steady_clock::now() + stop_limit;
  while (process.running() && std::chrono::steady_clock::now() < until) {
    calls.push_back(send());
    if (calls.size() == calls_before_stop) {
      process.signal(SIGTERM);
    }
    hosts.run_until([] { return false; }, call_interval);
  }
  CHECK_FALSE(process.running());
  for (const sent_call& call : calls) {
    CHECK(hosts.run_until([&call] { return call.result->has_value(); }, 10s));
  }
  return calls;
}

void print(const char* program, const stop_counts& counts) {
  fmt::print("{}: {} served, {} not run, {} cut off\n", program, counts.served, counts.not_run,
             counts.cut);
}

}  // namespace

TEST_CASE("a planned stop of a front host cuts no call that may run once off") {
  crowd_hosts hosts;
  REQUIRE(hosts.wait_until_serving());
  for (const auto& server : hosts.backends()) {
    server->set_work(8, [](const http::request&) { return 500ms; });
  }
  int number = 0;
  const auto send = [&] {
    call_request request;
    request.path = "/once/x";
    request.id = fmt::format("once-{}", ++number);
    request.body = request.id;
    const auto runs = [&hosts, id = request.id] {
      int sum = 0;
      for (const auto& server : hosts.backends()) {
        sum += server->runs(id);
      }
      return sum;
    };
    return sent_call{request.id, runs, hosts.begin_call(hosts.callers(), request)};
  };
  stop_counts counts;
  for (const sent_call& call : send_until_stopped(hosts, hosts.front_process(), send)) {
    const call_result result = call.result->value_or(call_result{});
    count(call, result.whole && result.status == 200, counts);
  }
  print("hawthornlane-front", counts);
  CHECK(counts.served > 0);
}

TEST_CASE("a planned stop of hawthornlaned cuts no call of a tool off") {
  constexpr int servers_per_target = 4;
  daemon_deployment all(servers_per_target);
  REQUIRE(all.wait_until_serving());
  for (stand_ins::scripted_backend* server : all.servers()) {
    server->set_work(8, [](const http::request&) { return 1000ms; });
  }
  // A host that stops opens no programs.
  constexpr int program_count = 200;
  std::vector<daemon_program> programs;
  programs.reserve(program_count);
  for (int number = 0; number < program_count; ++number) {
    programs.push_back(all.open_program());
  }
  std::map<std::string, daemon_call> sent;
  const auto send = [&] {
    const daemon_call call = all.begin_call(call_targets[0], programs.back());
    if (programs.size() > 1) {
      programs.pop_back();
    }
    sent[call.mark] = call;
    return sent_call{call.mark, [&all, call] { return all.runs(call); }, call.result};
  };
  stop_counts counts;
  for (const sent_call& call : send_until_stopped(all.hosts, all.hosts.daemon_process(0), send)) {
    count(call, sent[call.name].answer().is_success(), counts);
  }
  print("hawthornlaned", counts);
  CHECK(counts.served > 0);
}
