// A refusal (408, 421, 429 or 503 to a call that is not idempotent) promises that the call has
// not run and never will. Tests complete hosts against servers that fail in every way.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::backend_behavior;

namespace {

constexpr std::array promising{408, 421, 429, 503};
/// With this many servers, each call finds one that is not excluded for earlier failures.
constexpr int servers = 10;
/// Most of the excluded servers are used again after this time.
constexpr auto exclusion_time = 300ms;
/// Longer than a route's timeout: requests still in flight to a server have arrived by then.
constexpr auto arrival_time = 2000ms;

bool promises_not_run(int status) {
  return std::find(promising.begin(), promising.end(), status) != promising.end();
}

bool is_up(deployment& all) {
  return all.run_until([&all] {
    return all.ready(0) && !all.store().spec_of("hawthornlane-hosts", "ledger-set").empty();
  });
}

call_request plain(const std::string& path, const std::string& id) {
  call_request call;
  call.path = path;
  call.id = id;
  call.body = "input";
  return call;
}

int runs_of(const deployment& all, const std::string& id) {
  int runs = 0;
  for (const auto* group : {&all.apps, &all.engines}) {
    for (const auto& server : *group) {
      runs += server->runs(id);
    }
  }
  return runs;
}

/// Kinds of calls; each has its own route.
enum class call_shape { once, repeatable, turn, resumable_stream };

call_request request_of(call_shape shape, const std::string& id) {
  switch (shape) {
    case call_shape::once:
      return plain("/once/x", id);
    case call_shape::repeatable:
      return plain("/safe/x", id);
    case call_shape::turn:
      return turn_request_of("/kept/x", id, "program-" + id, "", 1000);
    case call_shape::resumable_stream:
      return turn_request_of("/resumed/x", id, "program-" + id, "", 1000);
  }
  return {};
}

const char* name_of(call_shape shape) {
  constexpr std::array names{"once", "repeatable", "turn", "resumable stream"};
  return names.at(static_cast<std::size_t>(shape));
}

bool is_stream(call_shape shape) {
  return shape == call_shape::turn || shape == call_shape::resumable_stream;
}

/// An answered call, checked once no request is in flight any more.
struct answered_call {
  std::string id;
  int status = 0;
};

/// Ids of calls that were refused although a server has run them.
std::vector<std::string> refused_and_run(const deployment& all,
                                         const std::vector<answered_call>& calls) {
  std::vector<std::string> broken;
  for (const answered_call& item : calls) {
    if (promises_not_run(item.status) && runs_of(all, item.id) > 0) {
      broken.push_back(fmt::format("{}: {}", item.id, item.status));
    }
  }
  return broken;
}

}  // namespace

TEST_CASE("a call that may have run is not refused, whatever the first and the second server do") {
  const call_shape shape = GENERATE(call_shape::once, call_shape::repeatable, call_shape::turn,
                                    call_shape::resumable_stream);
  struct row {
    const char* what;
    std::vector<backend_behavior> behaviors;
    /// Expected status of a call that may run at most once.
    int once;
    /// Expected status of a call that may run again.
    int again;
  };
  using enum backend_behavior;
  const row rows[] = {
      {"full, then accepted", {shed, answer}, 200, 200},
      {"full with 429, then accepted", {shed_as_too_many, answer}, 200, 200},
      {"misdirected, then accepted", {misdirect, answer}, 200, 200},
      {"all full", {shed, shed_as_too_many}, 503, 503},
      {"full, then misdirected", {shed, misdirect}, 503, 503},
      {"response lost", {drop_response, answer}, 502, 200},
      {"response lost, then full", {drop_response, shed}, 502, 502},
      {"full, then response lost", {shed, drop_response}, 502, 502},
      {"invalid response, then full", {send_garbage, shed_as_too_many}, 502, 502},
      {"misdirected, then unsigned response", {misdirect, unsigned_response}, 502, 502},
      {"408 without a run state", {fail_408, answer}, 502, 200},
      {"429 without a run state", {fail_429, answer}, 502, 200},
      {"503 without a run state", {fail_503, answer}, 502, 200},
      {"503 without a run state, then full", {fail_503, shed}, 502, 502},
      {"full, then 429 without a run state", {shed, fail_429}, 502, 502},
      {"500 from the server", {fail_500, answer}, 500, 500},
      {"full, then 500 from the server", {shed, fail_500}, 500, 500},
      {"504 from the server", {fail_504, answer}, 504, 504},
      {"full, then 504 from the server", {shed, fail_504}, 504, 504},
  };
  deployment all({1, 3, servers, servers});
  REQUIRE(is_up(all));
  const bool may_repeat = shape == call_shape::repeatable || shape == call_shape::resumable_stream;
  std::vector<answered_call> answered;
  for (const row& item : rows) {
    const std::string id = fmt::format("call-{}", answered.size());
    INFO(name_of(shape) << ": " << item.what);
    (is_stream(shape) ? all.engine_behaviors : all.app_behaviors)->set(item.behaviors);
    const call_result result = all.call(0, request_of(shape, id));
    CHECK(result.status == (may_repeat ? item.again : item.once));
    CHECK(runs_of(all, id) <= (may_repeat ? 2 : 1));
    answered.push_back({id, result.status});
    all.run_for(exclusion_time);
  }
  all.run_for(arrival_time);
  CHECK(refused_and_run(all, answered) == std::vector<std::string>());
}

TEST_CASE("a call whose deadline passes while it is sent is not refused if it may still arrive") {
  struct row {
    const char* what;
    std::size_t body_bytes;
    /// How long servers leave the request unread.
    std::chrono::milliseconds unread;
  };
  // Socket buffers on loopback hold less than the largest body.
  const row rows[] = {
      {"the request is sent completely", 100, 1200ms},
      {"the request is being sent", 8'000'000, 1200ms},
      {"the server reads at the last moment", 100, 760ms},
  };
  deployment all({1, 3, 1, servers});
  REQUIRE(is_up(all));
  all.configure(2, R"("max-body-bytes":10000)", R"("max-body-bytes":10000000)");
  all.run_for(1500ms);
  std::vector<answered_call> answered;
  for (const row& item : rows) {
    for (const char* path : {"/once/x", "/safe/x"}) {
      const std::string id = fmt::format("late-{}", answered.size());
      INFO(item.what << ", " << path);
      for (const auto& server : all.apps) {
        server->set_read_delay(item.unread);
      }
      call_request call = plain(path, id);
      call.body = std::string(item.body_bytes, 'b');
      call.headers.push_back({"X-Deadline-Ms", "600"});
      const call_result result = all.call(0, call);
      CHECK(result.status != 0);
      CHECK_FALSE(promises_not_run(result.status));
      answered.push_back({id, result.status});
      for (const auto& server : all.apps) {
        server->set_read_delay(0ms);
      }
      all.run_for(item.unread + exclusion_time);
    }
  }
  all.run_for(arrival_time);
  CHECK(refused_and_run(all, answered) == std::vector<std::string>());
}

TEST_CASE("a call that is refused while it waits for a connection never arrives") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  // One connection fills the accept queue; further ones get no answer.
  namespace asio = boost::asio;
  using tcp = asio::ip::tcp;
  asio::io_context context;
  tcp::acceptor full(context, tcp::endpoint(asio::ip::make_address(loopback), 0));
  full.listen(0);
  const tcp::endpoint where = full.local_endpoint();
  tcp::socket filler(context);
  filler.connect(where);
  const http::endpoint listed{where.address().to_string(), where.port()};
  all.store().put("servers", "app-0", all.apps[0]->entry_at(listed, "apps", "z0", false));
  all.run_for(1500ms);
  const call_result result = all.call(0, plain("/once/x", "unconnected"));
  CHECK(result.status == 503);
  // Accepts the waiting connections and reads everything that still arrives.
  full.non_blocking(true);
  std::vector<tcp::socket> accepted;
  std::string arrived;
  const auto until = std::chrono::steady_clock::now() + arrival_time;
  while (std::chrono::steady_clock::now() < until) {
    all.run_for(20ms);
    boost::system::error_code none;
    tcp::socket next(context);
    full.accept(next, none);
    if (!none) {
      next.non_blocking(true);
      accepted.push_back(std::move(next));
    }
    for (tcp::socket& channel : accepted) {
      std::array<char, 4096> bytes{};
      boost::system::error_code empty;
      arrived.append(bytes.data(), channel.read_some(asio::buffer(bytes), empty));
    }
  }
  CHECK(arrived.find("unconnected") == std::string::npos);
}

TEST_CASE("a refusal without a call id on a reused connection may belong to an earlier call") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  all.app_behaviors->set({backend_behavior::answer, backend_behavior::refuse_then_respond});
  REQUIRE(all.call(0, plain("/once/x", "first")).status == 200);
  const call_result result = all.call(0, plain("/once/x", "second"));
  REQUIRE(runs_of(all, "second") == 1);
  CHECK_FALSE(promises_not_run(result.status));
}

TEST_CASE("a resumed stream does not look complete after a failure of the second server") {
  using enum backend_behavior;
  const backend_behavior second = GENERATE(fail_500, fail_503, fail_504, shed);
  deployment all({1, 3, 2, 1});
  REQUIRE(is_up(all));
  all.engine_behaviors->set({truncate, second});
  const call_result result = all.call(0, request_of(call_shape::resumable_stream, "cut"));
  CHECK(result.status == 200);
  CHECK_FALSE(result.whole);
}
