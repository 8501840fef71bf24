// Guards `hawthornlaned` against tools and model engines that respond before they have read the
// request and reset the connection: no part of a response becomes the result of a call.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "daemon_deployment.h"
#include "early_case.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::early_ending;
using stand_ins::early_response;
using stand_ins::response_framing;
using stand_ins::unusual_response;

namespace {

/// A server gets no calls for some seconds after three failures.
constexpr int servers_per_target = 40;
constexpr auto call_limit = 15s;
/// Between a response and the end of its connection.
constexpr auto reset_delay = 3ms;
/// Sizes of the input. `hawthornlaned` accepts 1 MB, and a model's input takes of the budget.
std::vector<std::size_t> uploads_to(const call_target& target) {
  return target.is_model ? std::vector<std::size_t>{0, 40'000}
                         : std::vector<std::size_t>{0, 100'000, 900'000};
}

std::string body_of(const call_target& target) {
  constexpr std::string_view event =
      "data: {\"choices\":[{\"delta\":{\"content\":\"all of it \"}}]}\n\n";
  constexpr int repetitions = 2000;
  std::string body;
  for (int number = 0; number < repetitions; ++number) {
    body += target.is_model ? event : std::string_view("all of it, as the tool has it; ");
  }
  return body + (target.is_model ? "data: [DONE]\n\n" : "");
}

early_response response_to(const call_target& target, const early_case& sent) {
  const std::string headers = target.is_model ? "Content-Type: text/event-stream\r\n" : "";
  return sent.response(headers, body_of(target));
}

/// Tools and engines that respond early, and how often they have run the call.
class early_tools {
public:
  early_tools() : all(servers_per_target) {
    for (stand_ins::scripted_backend* server : this->all.servers()) {
      server->set_early_responses([this](const http::request&, bool /*is_kept*/) {
        this->runs += this->response ? 1 : 0;
        return this->response;
      });
    }
    REQUIRE(this->all.wait_until_serving());
  }

  /// Calls until the call has run: for a while, all servers may be excluded.
  daemon_answer call(const call_target& target, const early_case& sent) {
    this->response = response_to(target, sent);
    this->runs = 0;
    constexpr int max_attempts = 40;
    daemon_call call;
    for (int attempt = 0; attempt < max_attempts && this->runs == 0; ++attempt) {
      call = this->all.begin_call(target, 0, sent.upload);
      const auto has_ended = [&call] { return call.result->has_value(); };
      REQUIRE(this->all.hosts.run_until(has_ended, call_limit));
      if (this->runs == 0) {
        this->all.hosts.run_until([] { return false; }, 250ms);
      }
    }
    this->response.reset();
    return call.answer();
  }

  daemon_deployment all;
  int runs = 0;

private:
  std::optional<early_response> response;
};

void check_refused(early_tools& tools, const call_target& target, const early_case& sent) {
  INFO(target.name << ", " << sent.text());
  const daemon_answer answer = tools.call(target, sent);
  CHECK(tools.runs >= 1);
  CHECK(tools.runs <= target.max_runs);
  CHECK(answer.status != 0);
  CHECK_FALSE(answer.is_success());
  CHECK_FALSE(answer.is_not_run());
  CHECK(answer.text("answer").find("all of it") == std::string::npos);
}

}  // namespace

TEST_CASE("a part of a response is no result of a tool or an engine that resets its connection") {
  early_tools tools;
  for (const call_target& target : call_targets) {
    for (const std::size_t upload : uploads_to(target)) {
      for (const early_ending ending :
           {early_ending::reset, early_ending::close_unread, early_ending::end_then_reset}) {
        for (const std::size_t part : {12, 40'000}) {
          for (const auto delay : {0ms, reset_delay, 40ms}) {
            for (const unusual_response& version : {http_1_1, http_1_0}) {
              check_refused(
                  tools, target,
                  {upload, ending, delay, part, response_framing::connection_end, version});
            }
          }
          check_refused(tools, target,
                        {upload, ending, reset_delay, part, response_framing::length});
          check_refused(tools, target,
                        {upload, ending, reset_delay, part, response_framing::chunks});
        }
      }
    }
  }
  REQUIRE(tools.all.hosts.daemon_process(0).running());
}

TEST_CASE("an early response that HTTP does not allow is no result of a tool or an engine") {
  early_tools tools;
  for (const call_target& target : call_targets) {
    for (const unusual_response& what : stand_ins::invalid_responses()) {
      const auto framing = response_framing::length;
      if (has_framing(what, framing)) {
        check_refused(tools, target,
                      {uploads_to(target).back(), early_ending::keep_open, reset_delay,
                       std::nullopt, framing, what});
        check_refused(tools, target,
                      {uploads_to(target).back(), early_ending::reset, reset_delay, std::nullopt,
                       framing, what});
      }
    }
  }
  REQUIRE(tools.all.hosts.daemon_process(0).running());
}

TEST_CASE("an early response that is whole is the result of a tool or an engine") {
  early_tools tools;
  for (const call_target& target : call_targets) {
    for (const std::size_t upload : uploads_to(target)) {
      for (const response_framing framing : {response_framing::length, response_framing::chunks}) {
        for (const early_ending ending :
             {early_ending::end_and_drain, early_ending::drain_then_end, early_ending::keep_open}) {
          const early_case sent{upload, ending, reset_delay, std::nullopt, framing};
          INFO(target.name << ", " << sent.text());
          const daemon_answer answer = tools.call(target, sent);
          CHECK(tools.runs == 1);
          CHECK(answer.is_success());
          CHECK(answer.text("answer").starts_with("all of it"));
        }
      }
    }
  }
  REQUIRE(tools.all.hosts.daemon_process(0).running());
}
