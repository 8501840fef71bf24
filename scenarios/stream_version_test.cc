// A stream goes on only at servers of the software version that began it: complete hosts, and
// servers of two versions that put theirs into each event.
#include <catch2/catch.hpp>
#include <set>

#include "two_version_deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using stand_ins::backend_behavior;

TEST_CASE("a caller's resumption at another host does not change the version of its stream") {
  two_version_deployment all(2);
  for (int number = 0; number < 6; ++number) {
    const std::string program = "p" + std::to_string(number);
    const auto [origin, received] = all.begin("origin-" + std::to_string(number), 0, [&](auto id) {
      return turn("/resumed/x", id, program);
    });
    INFO(origin);
    stand_ins::scripted_backend* began_at = all.server_of(origin);
    REQUIRE(began_at != nullptr);
    // The first server leaves, so that the stream goes on at another one.
    all.list_backend(*began_at, "models", true);
    all.run_for(servers_known);
    const decided_turn rest = all.call_until_decided(
        1, "resumed-" + std::to_string(number),
        [&, begun = origin](auto id) { return resumption_of(begun, id, program, 1); });
    CHECK(rest.result.status == 200);
    CHECK(rest.result.whole);
    CHECK(all.server_of(rest.id) != began_at);
    CHECK(versions_in(rest.result.body) == std::set{began_at->version()});
    all.list_backend(*began_at, "models");
    all.run_for(servers_known);
  }
}

TEST_CASE("a resumption inside one answer does not change the version of its stream") {
  two_version_deployment all(1);
  for (int number = 0; number < 8; ++number) {
    all.engine_behaviors->set({backend_behavior::truncate, backend_behavior::answer});
    const decided_turn stream =
        all.call_until_decided(0, "stream-" + std::to_string(number),
                               [](auto id) { return turn("/resumed/x", id, "p" + id); });
    INFO(stream.id);
    CHECK(stream.result.status == 200);
    CHECK(stream.result.whole);
    CHECK(runs_of(all, stream.id) == 2);
    CHECK(versions_in(stream.result.body).size() == 1);
    all.run_for(700ms);
  }
}

TEST_CASE("a resumption is not held until its deadline when no server of its version is left") {
  two_version_deployment all(2);
  const std::string origin = all.begin_at("v1");
  all.drain("v1");
  const auto [late, refused] = all.call_until_decided(
      1, "late", [&](auto id) { return resumption_of(origin, id, origin, 1); });
  CHECK(refused.status == 503);
  CHECK(refused.body.find("stream_version_gone") != std::string::npos);
  CHECK(refused.header("Retry-After") == "0");
  CHECK(refused.took < 1000ms);
  CHECK(runs_of(all, late) == 0);
  const decided_turn anew =
      all.call_until_decided(1, "anew", [&](auto id) { return turn("/resumed/x", id, origin); });
  CHECK(anew.result.whole);
  CHECK(versions_in(anew.result.body) == std::set<std::string>{"v2"});
}

TEST_CASE("a resumption whose stream's version is not known never reaches a server") {
  two_version_deployment all(2);
  const std::string origin = all.begin_at("v1");
  struct row {
    const char* what;
    std::string names;
    std::string program;
  };
  const row rows[] = {{"no attempt is named", "", origin},
                      {"an attempt that does not exist is named", "nobody", origin},
                      {"another program's attempt is named", origin, "other"}};
  int number = 0;
  for (const row& item : rows) {
    INFO(item.what);
    const auto [id, refused] = all.call_until_decided(
        1, "unknown-" + std::to_string(++number),
        [&](auto fresh) { return resumption_of(item.names, fresh, item.program, 1); });
    CHECK(refused.status == 503);
    CHECK(refused.body.find("stream_version_unknown") != std::string::npos);
    CHECK(refused.header("Retry-After") == "0");
    CHECK(refused.took < 1000ms);
    CHECK(runs_of(all, id) == 0);
  }
}

TEST_CASE("a stream whose first server failed resumes at the version of its first event") {
  two_version_deployment all(2);
  for (int number = 0; number < 6; ++number) {
    all.engine_behaviors->set({backend_behavior::drop_response, backend_behavior::answer});
    const auto [origin, received] = all.begin("second-try-" + std::to_string(number), 0,
                                              [](auto id) { return turn("/resumed/x", id, id); });
    INFO(origin);
    REQUIRE(versions_in(received).size() == 1);
    CHECK(runs_of(all, origin) == 2);
    const decided_turn rest = all.call_until_decided(
        1, origin + "-rest",
        [&, begun = origin](auto id) { return resumption_of(begun, id, begun, 1); });
    CHECK(rest.result.whole);
    CHECK(versions_in(rest.result.body) == versions_in(received));
    all.run_for(700ms);
  }
}

TEST_CASE("a second resumption does not take its version from the first one") {
  two_version_deployment all(2);
  const std::string origin = all.begin_at("v1");
  std::string second;
  for (int attempt = 0; attempt < 8 && versions_in(second).empty(); ++attempt) {
    const std::string id = "second-" + std::to_string(attempt);
    second = all.reset_after(1, resumption_of(origin, id, origin, 1), "piece 3 of v");
  }
  CHECK(versions_in(second) == std::set<std::string>{"v1"});
  const decided_turn third = all.call_until_decided(
      0, "third", [&](auto id) { return resumption_of(origin, id, origin, 2); });
  CHECK(third.result.whole);
  CHECK(versions_in(third.result.body) == std::set<std::string>{"v1"});
}

TEST_CASE("a stream does not go on at another service that has the same version") {
  two_version_deployment all(2);
  const std::string origin = all.begin_at("v1");
  all.configure(2, R"("service":"models","max-attempts":2)",
                R"("service":"apps","max-attempts":2)");
  all.run_for(2s);
  const auto [moved, refused] = all.call_until_decided(
      1, "moved", [&](auto id) { return resumption_of(origin, id, origin, 1); });
  CHECK(refused.status == 503);
  CHECK(refused.body.find("stream_version_unknown") != std::string::npos);
  CHECK(runs_of(all, moved) == 0);
}

TEST_CASE("an account cannot name another account's stream") {
  two_version_deployment all(2);
  all.configure(2, R"("limits":{)",
                R"("tenants":[{"name":"north","api-keys":["n"],"rate-per-s":0,"burst":0},)"
                R"({"name":"south","api-keys":["s"],"rate-per-s":0,"burst":0}],"limits":{)");
  all.run_for(2s);
  const auto with_key = [](call_request call, const std::string& key) {
    call.headers.push_back({"Authorization", "Bearer " + key});
    return call;
  };
  const auto [mine, received] =
      all.begin("mine", 0, [&](auto id) { return with_key(turn("/resumed/x", id, "p"), "n"); });
  REQUIRE(versions_in(received).size() == 1);
  const auto resume = [&, begun = mine](const std::string& name, const std::string& key) {
    return all.call_until_decided(
        1, name, [&](auto id) { return with_key(resumption_of(begun, id, "p", 1), key); });
  };
  const decided_turn other = resume("theirs", "s");
  CHECK(other.result.body.find("stream_version_unknown") != std::string::npos);
  CHECK(runs_of(all, other.id) == 0);
  const decided_turn own = resume("rest", "n");
  CHECK(own.result.whole);
  CHECK(versions_in(own.result.body) == versions_in(received));
}

TEST_CASE("a stream without a program or a budget also stays at its version") {
  const std::string second = GENERATE("v2", "v1");
  INFO("servers of v1 and " << second);
  two_version_deployment all(2, second);
  for (int number = 0; number < 4; ++number) {
    const auto free_turn = [](const std::string& id) {
      call_request call = turn("/resumed/x", id, "");
      call.headers = {{"X-Token-Count", "100,30"}};
      return call;
    };
    const auto [origin, received] = all.begin("free-" + std::to_string(number), 0, free_turn);
    REQUIRE(versions_in(received).size() == 1);
    const decided_turn rest =
        all.call_until_decided(1, origin + "-rest", [&, begun = origin](auto id) {
          call_request call = free_turn(id);
          call.headers.push_back({"Last-Event-Id", "1"});
          call.headers.push_back({"Resumes", begun});
          return call;
        });
    CHECK(rest.result.whole);
    CHECK(versions_in(rest.result.body) == versions_in(received));
  }
}

TEST_CASE("no resumption is placed by guess while too few disk hosts answer") {
  two_version_deployment all(2);
  const std::string origin = all.begin_at("v1");
  all.kill_disk(0);
  all.kill_disk(1);
  const call_result refused = all.call(1, resumption_of(origin, "cut-off", origin, 1));
  CHECK(refused.status == 503);
  CHECK(refused.header("Retry-After"));
  CHECK(runs_of(all, "cut-off") == 0);
}

TEST_CASE("a server that restarts under its id with another version does not begin a stream") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  all.engines[0]->set_read_delay(1500ms);
  const auto running = all.begin_call(0, turn("/resumed/x", "t1", "p"));
  all.run_for(100ms);
  all.engines[0]->set_version("v2");
  all.restart_backend(*all.engines[0], "models", 1'790'000'000'000);
  REQUIRE(all.run_until([&running] { return running->has_value(); }));
  CHECK((*running)->body.find("piece") == std::string::npos);
  CHECK_FALSE(((*running)->status == 200 && (*running)->whole));
}

TEST_CASE("a stream pays for its version in a release only, with one write") {
  constexpr int streams = 10;
  const auto origins_stored = [](deployment& all) {
    return all.metric(0, "origins_stored").value_or(0);
  };
  const auto serve = [](two_version_deployment& all, const std::string& path, int number) {
    const decided_turn served = all.call_until_decided(
        0, path.substr(1, 1) + std::to_string(number), [&](auto id) { return turn(path, id, id); });
    CHECK(served.result.whole);
  };
  {
    two_version_deployment all(1, "v1");
    for (int number = 0; number < streams; ++number) {
      serve(all, "/resumed/x", number);
    }
    CHECK(origins_stored(all) == 0);
  }
  two_version_deployment all(1, "v2");
  for (int number = 0; number < streams; ++number) {
    serve(all, "/resumed/x", number);
    serve(all, "/kept/x", number);
  }
  CHECK(origins_stored(all) >= streams);
  CHECK(origins_stored(all) < 2 * streams);
}

TEST_CASE("a caller that names no attempt is not served by a guess after a host has restarted") {
  two_version_deployment all(2, "v1");
  const std::string origin = all.begin_at("v1");
  const auto resume = [&](const std::string& name) {
    return all.call_until_decided(1, name,
                                  [&](auto id) { return resumption_of("", id, origin, 1); });
  };
  // A host that has just started does not know which versions served before.
  all.kill_front(1);
  all.start_front(1);
  REQUIRE(all.run_until([&all] { return all.ready(1); }));
  const decided_turn early = resume("early");
  CHECK(early.result.status == 503);
  CHECK(runs_of(all, early.id) == 0);
  // Longer than the route's timeout: the stream may be a resumption itself.
  all.run_for(4500ms);
  const decided_turn later = resume("later");
  CHECK(later.result.status == 503);
  CHECK(runs_of(all, later.id) == 0);
}
