// Guards against responses that end early, with their connection, and look whole.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "deployment_calls.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using stand_ins::body_framing;
using stand_ins::connection_ending;
using namespace std::chrono_literals;

namespace {

constexpr const char* fatal_mark = "fatal";

/// Servers whose responses end with their connections, and whose connections are closed in order
/// when a request ends their process after its first event.
class undelimited_deployment : public deployment {
public:
  explicit undelimited_deployment(int engines = 3) : deployment({1, 3, engines, 3}) {
    for (auto* group : {&this->engines, &this->apps}) {
      for (const auto& server : *group) {
        server->set_framing(body_framing::connection_end);
        server->set_connection_ending(connection_ending::close);
        server->set_fatal_requests(
            [this](const http::request& request) { return this->effect_of(request); });
        server->on_end([this](const std::optional<http::request>&) { --this->ends_left; });
      }
    }
    for (const auto& server : this->engines) {
      server->set_events(3, 30ms);
    }
    REQUIRE(is_up(*this));
    this->run_for(1500ms);
  }

  /// Number of servers that a request may still end.
  int ends_left = 1;

private:
  std::optional<stand_ins::fatal_effect> effect_of(const http::request& request) {
    if (request.body.find(fatal_mark) == std::string::npos || this->ends_left == 0) {
      return std::nullopt;
    }
    stand_ins::fatal_effect effect;
    effect.after_events = 1;
    return effect;
  }
};

call_request fatal(call_request call) {
  call.body += fatal_mark;
  return call;
}

}  // namespace

TEST_CASE("a stream that ends with its server's process does not look whole") {
  const std::string path = GENERATE("/kept/x", "/resumed/x");
  INFO(path);
  undelimited_deployment all;
  const call_result cut = all.call(0, fatal(turn(path, "t1", "p")));
  CHECK(cut.whole == (path == "/resumed/x"));
  CHECK((!cut.whole || cut.body == three_events));
}

TEST_CASE("a turn that ends with its server's process is not stored") {
  undelimited_deployment all;
  const call_result cut = all.call(0, fatal(turn("/kept/x", "t1", "p")));
  CHECK_FALSE(cut.whole);
  const call_result next = all.call(0, turn("/kept/x", "t2", "p", "t1"));
  CHECK(next.status == 404);
  CHECK(runs_of(all, "t2") == 0);
}

TEST_CASE("a body that ends with its server's process does not look whole") {
  undelimited_deployment all;
  const call_result again = all.call(0, fatal(plain("/safe/x", "s1")));
  CHECK(again.status == 200);
  CHECK(again.whole);
  CHECK(again.body == "answer to s1");
  all.ends_left = 1;
  const call_result once = all.call(0, fatal(plain("/once/x", "o1")));
  CHECK_FALSE((once.status == 200 && once.whole));
  CHECK(runs_of(all, "o1") == 1);
}

TEST_CASE("a stream that its server ends early, and that may be resumed, does not look whole") {
  undelimited_deployment all;
  for (int number = 0; number < 3; ++number) {
    all.engine_behaviors->set(
        {stand_ins::backend_behavior::close_early, stand_ins::backend_behavior::answer});
    const std::string id = "early-" + std::to_string(number);
    const call_result stream = all.call(0, turn("/resumed/x", id, id));
    INFO(id);
    CHECK(stream.whole);
    CHECK(stream.body == three_events);
  }
}

TEST_CASE("a whole stream is not cut off because its server gives no rest") {
  using enum stand_ins::backend_behavior;
  const stand_ins::backend_behavior rest = GENERATE(shed, misdirect, fail_500, drop_response, hang);
  undelimited_deployment all;
  all.engine_behaviors->set({answer, rest});
  const call_result stream = all.call(0, turn("/resumed/x", "t1", "p"));
  INFO(static_cast<int>(rest));
  CHECK(stream.whole);
  CHECK(stream.body == three_events);
  CHECK(stream.took < 1500ms);
}

TEST_CASE("a stream that lasts longer than its server keeps idle connections is not cut off") {
  const std::string path = GENERATE("/kept/x", "/resumed/x");
  INFO(path);
  undelimited_deployment all;
  for (const auto& server : all.engines) {
    server->set_events(3, 500ms);
    server->set_idle_time(700ms);
  }
  const call_result stream = all.call(0, turn(path, "t1", "p"));
  CHECK(stream.whole);
  CHECK(stream.body == three_events);
}

TEST_CASE("a response without a length is not cut off by a service without a health path") {
  undelimited_deployment all;
  all.configure(2, R"(,"health-path":"/healthz"})", "}");
  all.run_for(2s);
  const call_result once = all.call(0, plain("/once/x", "o1"));
  CHECK(once.status == 200);
  CHECK(once.whole);
  all.ends_left = 1;
  const call_result cut = all.call(0, fatal(plain("/once/x", "o2")));
  CHECK_FALSE((cut.status == 200 && cut.whole));
}

TEST_CASE("a response without a length from a server that goes on is whole") {
  undelimited_deployment all;
  for (int number = 0; number < 4; ++number) {
    const std::string name = std::to_string(number);
    for (const char* path : {"/kept/x", "/resumed/x"}) {
      INFO(path << " " << name);
      const std::string id = std::string(path).substr(1, 1) + name;
      const call_result stream = all.call(0, turn(path, id, id));
      CHECK(stream.whole);
      CHECK(stream.body == three_events);
    }
    const call_result once = all.call(0, plain("/once/x", "o" + name));
    CHECK(once.whole);
    CHECK(once.body == "answer to o" + name);
    CHECK(runs_of(all, "o" + name) == 1);
  }
}

TEST_CASE("a stream without chunks does not look whole when its host is killed") {
  deployment all;
  REQUIRE(is_up(all));
  for (const auto& server : all.engines) {
    server->set_events(3, 400ms);
  }
  call_request call = turn("/resumed/x", "t1", "p");
  call.http_version = "1.0";
  const auto result = all.begin_call(0, call);
  REQUIRE(all.run_until([&all] { return runs_of(all, "t1") == 1; }));
  all.run_for(200ms);
  all.kill_front(0);
  REQUIRE(all.run_until([&result] { return result->has_value(); }));
  CHECK((*result)->body.find("piece 1") != std::string::npos);
  CHECK_FALSE((*result)->whole);
}

TEST_CASE("a stream without chunks that breaks at its server does not look whole") {
  deployment all;
  REQUIRE(is_up(all));
  all.engine_behaviors->set({stand_ins::backend_behavior::truncate});
  call_request call = turn("/kept/x", "t1", "p");
  call.http_version = "1.0";
  const call_result result = all.call(0, call);
  CHECK(result.status == 200);
  CHECK(result.body.find("piece 2") != std::string::npos);
  CHECK_FALSE(result.whole);
}

TEST_CASE("a planned stop ends a stream without chunks in a way that shows whether it is whole") {
  struct row {
    const char* what;
    int events;
    bool ends_in_time;
  };
  const row rows[] = {
      {"ends before the host", 5, true},
      {"goes on for longer than the host", 30, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    deployment all;
    REQUIRE(is_up(all));
    for (const auto& server : all.engines) {
      server->set_events(item.events, 250ms);
    }
    all.configure(2, R"("/resumed/","kind":"stream","timeout-ms":3000)",
                  R"("/resumed/","kind":"stream","timeout-ms":20000)");
    all.run_for(1500ms);
    call_request call = turn("/resumed/x", "t1", "p");
    call.http_version = "1.0";
    call.headers.back().value = "100,1000";
    const auto result = all.begin_call(0, call);
    REQUIRE(all.run_until([&all] { return runs_of(all, "t1") == 1; }));
    all.run_for(300ms);
    all.stop_front(0);
    CHECK(all.run_until([&all] { return all.front_ended(0); }));
    all.kill_front(0);
    REQUIRE(all.run_until([&result] { return result->has_value(); }));
    const std::string last = "piece " + std::to_string(item.events) + " of";
    CHECK((*result)->body.find("piece 2") != std::string::npos);
    CHECK((*result)->whole == item.ends_in_time);
    CHECK(((*result)->body.find(last) != std::string::npos) == item.ends_in_time);
  }
}
