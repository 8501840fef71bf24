// Guards `hawthornlaned` against responses of tools and model engines that don't end: they may take
// no process past its memory limit, and no other call its answer.
#include <catch2/catch.hpp>

#include "daemon_deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::endless_part;
using stand_ins::endless_response;

namespace {

constexpr int servers_per_target = 40;
constexpr int calls_at_once = 12;
constexpr auto call_limit = 20s;

class endless_tools {
public:
  endless_tools() : all(servers_per_target) {
    for (stand_ins::scripted_backend* server : this->all.servers()) {
      server->set_endless_responses([this](const http::request& request) {
        const bool is_ordinary = request.body.find(this->ordinary_mark) != std::string::npos;
        return is_ordinary ? std::nullopt : this->response;
      });
    }
  }

  /// Calls at once, spread over the hosts.
  std::vector<daemon_call> begin_calls(const call_target& target) {
    std::vector<daemon_call> calls;
    calls.reserve(calls_at_once);
    for (std::size_t number = 0; number < calls_at_once; ++number) {
      calls.push_back(this->all.begin_call(target, number % this->all.hosts.daemons().size()));
    }
    return calls;
  }

  daemon_deployment all;
  std::optional<endless_response> response;
  std::string ordinary_mark = "none of them";
};

/// Whether the response is whole before what does not end.
bool begins_with_response(endless_part part) {
  return part == endless_part::after_response || part == endless_part::other_responses;
}

}  // namespace

TEST_CASE("quick responses of tools and engines without an end take no host's memory") {
  endless_tools tools;
  REQUIRE(tools.all.wait_until_serving());
  crowd_hosts& hosts = tools.all.hosts;
  for (const call_target& target : {call_targets[0], call_targets[2]}) {
    for (const endless_part part : stand_ins::all_endless_parts) {
      INFO(target.name << ", " << name_of(part));
      for (std::size_t host = 0; host < hosts.daemons().size(); ++host) {
        hosts.daemon_process(host).reset_peak_memory();
      }
      tools.response = endless_response{part, true};
      int runs = 0;
      for (const daemon_call& call : tools.begin_calls(target)) {
        const auto has_ended = [&call] { return call.result->has_value(); };
        CHECK(hosts.run_until(has_ended, call_limit));
        runs += tools.all.runs(call);
        CHECK((target.is_model || tools.all.runs(call) <= target.max_runs));
        CHECK_FALSE((tools.all.runs(call) > 0 && call.answer().is_not_run()));
        CHECK((begins_with_response(part) || !call.answer().is_success()));
      }
      CHECK(runs > 0);
      for (std::size_t host = 0; host < hosts.daemons().size(); ++host) {
        REQUIRE(hosts.daemon_process(host).running());
        CHECK(hosts.daemon_process(host).peak_memory_kb().value_or(0) < hosts.limits().memory_kb());
      }
      // Servers that were excluded are used again.
      tools.response = std::nullopt;
      daemon_answer answer;
      for (int attempt = 0; attempt < 60 && !answer.is_success(); ++attempt) {
        hosts.run_until([] { return false; }, attempt > 0 ? 250ms : 0ms);
        const daemon_call ordinary = tools.all.begin_call(call_targets[1]);
        hosts.run_until([&ordinary] { return ordinary.result->has_value(); }, call_limit);
        answer = ordinary.answer();
      }
      CHECK(answer.is_success());
    }
  }
}

TEST_CASE("a slow stream of an engine without an end ends its call") {
  endless_tools tools;
  REQUIRE(tools.all.wait_until_serving());
  crowd_hosts& hosts = tools.all.hosts;
  std::vector<std::pair<endless_part, daemon_call>> calls;
  for (const endless_part part : stand_ins::all_endless_parts) {
    tools.response = endless_response{part, false};
    calls.emplace_back(part, tools.all.begin_call(call_targets[2]));
    const daemon_call& call = calls.back().second;
    hosts.run_until([&] { return tools.all.runs(call) > 0; }, 2s);
  }
  // The caller gives up after twice the deadline of the service document.
  for (const auto& [part, call] : calls) {
    INFO(name_of(part));
    CHECK(hosts.run_until([&call = call] { return call.result->has_value(); }, call_limit + 5s));
    CHECK(call.answer().status != 0);
  }
}
