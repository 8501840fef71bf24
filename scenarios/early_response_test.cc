// Guards against responses that a server sends before it has read the request, and that end with
// their connection: a caller gets all of its server's response or an error of the host.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "crowd_hosts.h"
#include "early_case.h"
#include "route_shapes.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::early_ending;
using stand_ins::early_response;
using stand_ins::response_framing;
using stand_ins::unusual_response;

namespace {

constexpr int server_count = 80;
constexpr auto call_limit = 15s;
/// The largest request that the configuration allows.
constexpr std::size_t largest_upload = std::size_t{4} * 1024 * 1024;
/// More than the kernel of a server acknowledges of a request that no process reads.
constexpr std::size_t large_upload = 400'000;
/// Fewer of these are sent at once: front hosts limit what requests take of their memory.
constexpr std::size_t huge_upload = std::size_t{1024} * 1024;
/// So late that a call may have reached its time limit by then.
constexpr auto late_reset = 400ms;
constexpr int bad_gateway = 502;
constexpr int gateway_timeout = 504;

struct played_call {
  const route_shape* route = nullptr;
  early_case response;
  std::string id;
  std::shared_ptr<std::optional<call_result>> result;

  [[nodiscard]] const call_result& ended() const { return **this->result; }
};

/// The whole body of a response.
std::string body_of(const route_shape& route) {
  constexpr int events = 60;
  constexpr std::size_t data_size = 1000;
  std::string body;
  for (int event = 1; event <= events; ++event) {
    const std::string data = fmt::format("piece {} ", event) + std::string(data_size, 'd');
    body += route.is_turn ? fmt::format("id: {}\ndata: {}\n\n", event, data) : data;
  }
  return body;
}

early_response response_to(const played_call& call) {
  std::string headers = fmt::format("X-Request-Id: {}\r\nX-Response-Seal: s\r\n", call.id);
  headers += call.route->is_turn ? "Content-Type: text/event-stream\r\n" : "";
  return call.response.response(headers, body_of(*call.route));
}

call_request request_of(const played_call& call) {
  call_request request = request_to(*call.route, call.id);
  const std::size_t size = request.body.size();
  request.body.resize(std::max(size, call.response.upload), 'u');
  return request;
}

/// One front host with servers that respond early to the calls of the test.
class early_servers {
public:
  early_servers() : hosts({server_count, 1, largest_upload}) {
    for (const auto& server : this->hosts.backends()) {
      server->set_early_responses(
          [this](const http::request& request, bool is_kept) -> std::optional<early_response> {
            const std::string id = request.find_header("X-Request-Id").value_or("");
            const auto found = this->responses.find(id);
            if (found == this->responses.end()) {
              return std::nullopt;
            }
            if (is_kept) {
              this->on_kept_connections.insert(id);
            }
            return found->second;
          });
    }
    REQUIRE(this->hosts.wait_until_serving());
  }

  [[nodiscard]] int runs_of(const std::string& id) {
    int runs = 0;
    for (const auto& server : this->hosts.backends()) {
      runs += server->runs(id);
    }
    return runs;
  }

  [[nodiscard]] bool came_on_kept_connection(const played_call& call) const {
    return this->on_kept_connections.contains(call.id);
  }

  void begin(played_call& call) {
    call.id = fmt::format("r{}", ++this->calls);
    this->responses[call.id] = response_to(call);
    call.result = this->hosts.begin_call(this->hosts.callers(), request_of(call));
  }

  /// A call that was refused without a run is sent again, under another id.
  void finish(played_call& call) {
    constexpr int max_attempts = 20;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      const auto has_ended = [&call] { return call.result->has_value(); };
      REQUIRE(this->hosts.run_until(has_ended, call_limit));
      if (this->runs_of(call.id) > 0) {
        this->responses.erase(call.id);
        return;
      }
      this->hosts.run_until([] { return false; }, 200ms);
      this->begin(call);
    }
  }

  /// Plays each response on each kind of route, a few at a time.
  std::vector<played_call> play(const std::vector<early_case>& cases) {
    constexpr std::size_t calls_at_once = 12;
    std::vector<played_call> played;
    for (const early_case& item : cases) {
      for (const route_shape* route : all_routes) {
        played.push_back({route, item, "", nullptr});
      }
    }
    std::vector<played_call*> open;
    const auto finish_open = [&] {
      for (played_call* call : open) {
        this->finish(*call);
      }
      open.clear();
    };
    for (played_call& call : played) {
      const bool is_huge = call.response.upload > huge_upload;
      if (is_huge || open.size() == calls_at_once) {
        finish_open();
      }
      this->begin(call);
      open.push_back(&call);
      if (is_huge) {
        finish_open();
      }
    }
    finish_open();
    return played;
  }

  /// Whether a turn may go on from that call.
  [[nodiscard]] bool may_go_on_from(const played_call& call) {
    const call_request next =
        turn_request_of(call.route->path, call.id + "-next", "p-" + call.id, call.id, 1000);
    const call_result result = this->hosts.call(this->hosts.callers(), next);
    CHECK((this->runs_of(next.id) > 0) == (result.status == 200));
    return result.status == 200;
  }

  void check_serves() {
    for (const route_shape* route : all_routes) {
      const call_request ordinary = request_to(*route, fmt::format("o{}", ++this->calls));
      const call_result result = this->hosts.call(this->hosts.callers(), ordinary);
      CHECK(result.status == 200);
      CHECK(result.whole);
    }
    REQUIRE(this->hosts.front_process().running());
  }

  crowd_hosts hosts;

private:
  int calls = 0;
  std::map<std::string, early_response> responses;
  std::set<std::string> on_kept_connections;
};

void check_runs(early_servers& all, const played_call& call) {
  const int runs = all.runs_of(call.id);
  CHECK(runs >= 1);
  CHECK(runs <= call.route->max_runs);
  CHECK_FALSE(is_promise_not_run(call.ended().status));
}

/// An error of the host, or a stream whose end shows that it is cut.
void check_refused(early_servers& all, const played_call& call) {
  const call_result& result = call.ended();
  CHECK_FALSE(result.malformed);
  if (call.route->is_turn && result.status == 200) {
    CHECK_FALSE(result.whole);
  } else {
    const bool may_be_late =
        call.response.ending == early_ending::end_and_hold || call.response.pause >= late_reset;
    CHECK((result.status == bad_gateway || (may_be_late && result.status == gateway_timeout)));
    CHECK(result.whole);
    CHECK(result.body.find("piece") == std::string::npos);
  }
  CHECK((!call.route->is_stored || !all.may_go_on_from(call)));
}

void check_cut(early_servers& all, const std::vector<early_case>& cases) {
  for (const played_call& call : all.play(cases)) {
    INFO(call.route->path << ", " << call.response.text());
    check_runs(all, call);
    check_refused(all, call);
  }
  all.check_serves();
}

}  // namespace

TEST_CASE("a response without a length whose connection is reset does not look whole") {
  const early_ending ending = GENERATE(early_ending::reset, early_ending::close_unread);
  early_servers all;
  std::vector<early_case> cases;
  for (const std::size_t upload : {std::size_t{20}, std::size_t{60'000}, large_upload,
                                   std::size_t{1'000'000}, largest_upload}) {
    for (const std::size_t part : {0, 12, 40'000}) {
      for (const auto pause : {0ms, 3ms, 40ms}) {
        const unusual_response& version = cases.size() % 2 == 0 ? http_1_1 : http_1_0;
        cases.push_back({upload, ending, pause, part, response_framing::connection_end, version});
      }
    }
  }
  check_cut(all, cases);
}

TEST_CASE(
    "a response without a length that is reset after the request is read does not look whole") {
  early_servers all;
  std::vector<early_case> cases;
  for (const std::size_t upload : {std::size_t{20}, large_upload, largest_upload}) {
    for (const std::size_t part : {0, 12, 40'000}) {
      for (const auto pause : {0ms, 3ms, 40ms}) {
        early_case late{upload, early_ending::reset, pause, part};
        late.what = cases.size() % 2 == 0 ? http_1_1 : http_1_0;
        late.is_late = true;
        cases.push_back(late);
      }
    }
  }
  check_cut(all, cases);
}

TEST_CASE("a response with a length or in chunks whose connection is reset does not look whole") {
  early_servers all;
  std::vector<early_case> cases;
  for (const std::size_t upload : {std::size_t{20}, large_upload, largest_upload}) {
    for (const response_framing framing : {response_framing::length, response_framing::chunks}) {
      for (const early_ending ending :
           {early_ending::reset, early_ending::close_unread, early_ending::end_then_reset}) {
        cases.push_back({upload, ending, 3ms, 12, framing});
        cases.push_back({upload, ending, 0ms, 40'000, framing});
      }
    }
  }
  check_cut(all, cases);
}

TEST_CASE("a response that ends in order before its server resets the request is not whole") {
  early_servers all;
  std::vector<early_case> cases;
  for (const std::size_t upload : {large_upload, std::size_t{1'000'000}, largest_upload}) {
    for (const std::size_t part : {12, 40'000}) {
      for (const auto pause : {0ms, 3ms, 40ms}) {
        cases.push_back({upload, early_ending::end_then_reset, pause, part});
      }
    }
    cases.push_back({upload, early_ending::end_then_reset, late_reset, 12});
  }
  cases.push_back({large_upload, early_ending::end_and_hold, 0ms, 40'000});
  check_cut(all, cases);
}

// The server's host has taken the whole request. The end in order is the end of the response, as
// HTTP says, unless the reset is there before the host has looked.
TEST_CASE("a response that ends in order after a small request is served whole or refused") {
  early_servers all;
  std::vector<early_case> cases;
  for (const std::size_t part : {12, 40'000}) {
    for (const auto pause : {0ms, 3ms, 40ms}) {
      cases.push_back({20, early_ending::end_then_reset, pause, part});
    }
  }
  for (const played_call& call : all.play(cases)) {
    INFO(call.route->path << ", " << call.response.text());
    check_runs(all, call);
    const call_result& result = call.ended();
    if (result.status != 200 || !result.whole) {
      check_refused(all, call);
      continue;
    }
    CHECK(result.body == body_of(*call.route).substr(0, *call.response.part));
    CHECK((!call.route->is_stored || all.may_go_on_from(call)));
  }
  all.check_serves();
}

TEST_CASE("a response that is whole, early or late, is passed on whole") {
  early_servers all;
  std::vector<early_case> cases;
  for (const std::size_t upload : {std::size_t{20}, std::size_t{60'000}, large_upload,
                                   std::size_t{1'000'000}, largest_upload}) {
    for (const early_ending ending : {early_ending::end_and_drain, early_ending::drain_then_end}) {
      for (const unusual_response& version : {http_1_1, http_1_0}) {
        for (const bool is_late : {false, true}) {
          cases.push_back({upload, ending, 3ms, std::nullopt, response_framing::connection_end,
                           version, is_late});
        }
      }
    }
    for (const response_framing framing : {response_framing::length, response_framing::chunks}) {
      for (const early_ending ending : {early_ending::end_and_drain, early_ending::drain_then_end,
                                        early_ending::keep_open, early_ending::end_then_reset}) {
        cases.push_back({upload, ending, 3ms, std::nullopt, framing});
      }
    }
  }
  for (const played_call& call : all.play(cases)) {
    INFO(call.route->path << ", " << call.response.text());
    check_runs(all, call);
    const call_result& result = call.ended();
    CHECK(result.status == 200);
    CHECK(result.whole);
    CHECK(result.body == body_of(*call.route));
    CHECK((!call.route->is_stored || all.may_go_on_from(call)));
  }
  all.check_serves();
}

TEST_CASE("a response that is reset on a kept connection does not look whole") {
  const auto [ending, upload] =
      GENERATE(table<early_ending, std::size_t>({{early_ending::reset, 20},
                                                 {early_ending::close_unread, large_upload},
                                                 {early_ending::reset, largest_upload},
                                                 {early_ending::close_unread, largest_upload}}));
  constexpr int wanted = 3;
  constexpr int max_calls = 200;
  early_servers all;
  for (const route_shape* route : all_routes) {
    int on_kept = 0;
    for (int number = 0; number < max_calls && on_kept < wanted; ++number) {
      all.check_serves();
      played_call call{route, {upload, ending, 3ms, 40'000}, "", nullptr};
      all.begin(call);
      all.finish(call);
      INFO(route->path << ", " << call.response.text());
      check_runs(all, call);
      check_refused(all, call);
      on_kept += all.came_on_kept_connection(call) ? 1 : 0;
    }
    CHECK(on_kept == wanted);
  }
}

TEST_CASE("an early response that HTTP does not allow reaches no caller") {
  early_servers all;
  const double before =
      all.hosts.metric(all.hosts.front_metrics(), "responses_malformed").value_or(0);
  double runs = 0;
  std::vector<early_case> cases;
  for (const unusual_response& what : stand_ins::invalid_responses()) {
    for (const response_framing framing : stand_ins::all_response_framings) {
      if (has_framing(what, framing)) {
        const bool is_open = cases.size() % 2 == 0;
        cases.push_back({large_upload, is_open ? early_ending::keep_open : early_ending::reset,
                         40ms, std::nullopt, framing, what});
      }
    }
  }
  for (const played_call& call : all.play(cases)) {
    INFO(call.route->path << ", " << call.response.text());
    check_runs(all, call);
    // What is wrong in a trailer is found behind the events.
    const bool may_begin = call.route->is_turn && !call.response.what.trailer.empty();
    CHECK((call.ended().status == bad_gateway || may_begin));
    CHECK_FALSE(call.ended().header("X-Odd"));
    check_refused(all, call);
    runs += all.runs_of(call.id);
  }
  all.check_serves();
  // Each attempt is counted.
  CHECK(all.hosts.metric(all.hosts.front_metrics(), "responses_malformed").value_or(0) ==
        before + runs);
}

TEST_CASE("a call that may be repeated goes to another server after a response that is reset") {
  const std::size_t upload = GENERATE(std::size_t{20}, large_upload, largest_upload);
  const early_ending ending = GENERATE(early_ending::reset, early_ending::close_unread);
  early_servers all;
  for (const route_shape* route : {&safe_route, &resumed_route}) {
    std::string first_server;
    played_call call{route, {upload, ending, 3ms, 12}, "retried" + std::string(route->path), {}};
    for (const auto& server : all.hosts.backends()) {
      const std::string name = server->instance();
      server->set_early_responses([&, name](const http::request& request, bool /*is_kept*/) {
        const bool is_first =
            request.find_header("X-Request-Id") == call.id && first_server.empty();
        first_server = is_first ? name : first_server;
        return is_first ? std::optional(response_to(call)) : std::nullopt;
      });
    }
    const call_result result = all.hosts.call(all.hosts.callers(), request_of(call));
    INFO(route->path << ", " << call.response.text());
    CHECK(result.status == 200);
    CHECK(result.whole);
    CHECK(result.body.find("dddd") == std::string::npos);
    CHECK(all.runs_of(call.id) == 2);
    std::string line;
    const auto is_logged = [&] {
      const std::string log = all.hosts.log_of("front");
      const std::size_t at = log.find(
          fmt::format(R"("name":"attempt_failed","host":"front","request":"{}")", call.id));
      line = at == std::string::npos ? "" : log.substr(at, log.find('\n', at) - at);
      return !line.empty();
    };
    CHECK(all.hosts.run_until(is_logged, call_limit));
    CHECK(line.find(first_server) != std::string::npos);
    CHECK(all.hosts.metric(all.hosts.front_metrics(), "tries_broken").value_or(0) >= 1);
  }
}
