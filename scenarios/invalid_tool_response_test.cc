// Guards `hawthornlaned` against responses of tools and model engines that HTTP does not allow:
// none becomes the result of a call, and a call that may run once runs once.
#include <catch2/catch.hpp>

#include "daemon_deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::raw_response;
using stand_ins::response_framing;
using stand_ins::response_pieces;
using stand_ins::unusual_response;

namespace {

/// A server gets no calls for some seconds after three failures.
constexpr int servers_per_target = 40;
constexpr auto call_limit = 15s;
constexpr const char* malformed_metric = "hawthornlane_responses_malformed_total";

constexpr std::string_view engine_events =
    "data: {\"choices\":[{\"delta\":{\"content\":\"all of it\"}}]}\n\ndata: [DONE]\n\n";

/// Tools and engines that respond as the test says.
class broken_tools {
public:
  broken_tools() : all(servers_per_target) {
    for (stand_ins::scripted_backend* server : this->all.servers()) {
      server->set_raw_responses([this](const http::request&) { return this->response; });
    }
  }

  /// Calls until the call has run: for a while, all servers may be excluded.
  daemon_call call(const call_target& target, raw_response sent) {
    this->response = std::move(sent);
    constexpr int max_attempts = 40;
    daemon_call call;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      call = this->all.begin_call(target);
      const auto has_ended = [&call] { return call.result->has_value(); };
      REQUIRE(this->all.hosts.run_until(has_ended, call_limit));
      if (this->all.runs(call) > 0) {
        break;
      }
      this->all.hosts.run_until([] { return false; }, 250ms);
    }
    return call;
  }

  daemon_deployment all;

private:
  std::optional<raw_response> response;
};

raw_response response_of(const unusual_response& what, response_framing framing,
                         const call_target& target) {
  const std::string headers = target.is_model ? "Content-Type: text/event-stream\r\n" : "";
  const std::string body(target.is_model ? engine_events : "all of it");
  return {bytes_of(what, framing, headers, body), response_pieces::whole, true};
}

/// A body of a tool that ends with its connection is never accepted.
bool is_played(const unusual_response& what, response_framing framing) {
  return has_framing(what, framing) && framing != response_framing::connection_end;
}

}  // namespace

TEST_CASE("a response that HTTP does not allow is no result of a tool or an engine") {
  broken_tools tools;
  REQUIRE(tools.all.wait_until_serving());
  int variant = 0;
  double runs = 0;
  for (const call_target& target : call_targets) {
    for (const unusual_response& what : stand_ins::invalid_responses()) {
      for (const response_framing framing : stand_ins::all_response_framings) {
        if (!is_played(what, framing)) {
          continue;
        }
        raw_response sent = response_of(what, framing, target);
        ++variant;
        sent.pieces = variant % 2 == 0 ? response_pieces::lines : response_pieces::whole;
        sent.closes = variant % 4 < 2;
        INFO(target.name << ", " << what.name << ", " << name_of(framing)
                         << (variant % 2 == 0 ? ", in pieces" : ", in one piece")
                         << (sent.closes ? ", closed" : ", left open"));
        const daemon_call call = tools.call(target, sent);
        const daemon_answer answer = call.answer();
        runs += tools.all.runs(call);
        CHECK(tools.all.runs(call) >= 1);
        CHECK(tools.all.runs(call) <= target.max_runs);
        CHECK(answer.status != 0);
        CHECK_FALSE(answer.is_success());
        CHECK_FALSE(answer.is_not_run());
        CHECK(answer.text("answer").find("all of it") == std::string::npos);
      }
    }
  }
  for (std::size_t host = 0; host < tools.all.hosts.daemons().size(); ++host) {
    CHECK(tools.all.hosts.daemon_process(host).running());
    runs -= tools.all.hosts.metric(tools.all.hosts.daemons()[host], malformed_metric).value_or(0);
  }
  // Each attempt is counted.
  CHECK(runs == 0);
}

TEST_CASE("a response that HTTP allows becomes the result of a tool or an engine") {
  broken_tools tools;
  REQUIRE(tools.all.wait_until_serving());
  for (const call_target& target : call_targets) {
    for (const unusual_response& what : stand_ins::allowed_responses()) {
      for (const response_framing framing : stand_ins::all_response_framings) {
        if (!is_played(what, framing)) {
          continue;
        }
        INFO(target.name << ", " << what.name << ", " << name_of(framing));
        const bool is_success =
            !what.name.starts_with("status ") || what.name.starts_with("status 2");
        const daemon_call call = tools.call(target, response_of(what, framing, target));
        const daemon_answer answer = call.answer();
        CHECK(answer.status == 200);
        CHECK(answer.is_success() == is_success);
        CHECK(tools.all.runs(call) == 1);
        CHECK((!is_success || answer.text("answer") == "all of it"));
      }
    }
  }
}
