// Tests of the platform's promises to callers with complete hosts and stand-ins.
#include <catch2/catch.hpp>

#include "deployment.h"
#include "deployment_calls.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::backend_behavior;

TEST_CASE("a caller gets the right response for each way in which a server can fail") {
  deployment all({1, 3, 2, 2});
  REQUIRE(is_up(all));
  struct row {
    const char* what;
    const char* path;
    /// What the server does that gets the first attempt, then those that get the next ones.
    std::vector<backend_behavior> behaviors;
    int status;
    const char* body;
    int runs;
  };
  using enum backend_behavior;
  const row rows[] = {
      {"a plain answer", "/once/x", {answer}, 200, "answer to ", 1},
      {"a full server, then another", "/once/x", {shed, answer}, 200, "answer to ", 1},
      {"every server is full", "/once/x", {shed, shed}, 503, "", 0},
      {"a lost answer is not run again", "/once/x", {drop_response, answer}, 502, "", 1},
      {"a lost answer to an idempotent call is run again",
       "/safe/x",
       {drop_response, answer},
       200,
       "answer to ",
       2},
      {"a truncated answer is no success", "/once/x", {truncate, answer}, 502, "", 1},
      {"a truncated idempotent call is run again",
       "/safe/x",
       {truncate, answer},
       200,
       "answer to ",
       2},
      {"bytes that are not HTTP", "/once/x", {send_garbage, answer}, 502, "", 1},
      {"bytes that are not HTTP for an idempotent call",
       "/safe/x",
       {send_garbage, answer},
       200,
       "answer to ",
       2},
      {"a call that ran is not refused when the other servers are full",
       "/safe/x",
       {drop_response, shed, shed},
       502,
       "",
       1},
      {"a surplus answer stays on its connection",
       "/once/x",
       {respond_twice},
       200,
       "answer to ",
       1},
      {"an answer to another call comes first",
       "/once/x",
       {respond_to_other_call_first},
       200,
       "answer to ",
       1},
      {"an answer without a length", "/once/x", {respond_without_length}, 200, "all of it", 1},
      {"a success without a signature", "/once/x", {unsigned_response, answer}, 502, "", 1},
      {"no answer within the route's timeout", "/once/x", {hang}, 504, "", 1},
  };
  int number = 0;
  for (const row& item : rows) {
    const std::string id = "call-" + std::to_string(++number);
    INFO(item.what);
    all.app_behaviors->set(item.behaviors);
    const call_result result = all.call(0, plain(item.path, id));
    CHECK(result.status == item.status);
    CHECK(result.body.find(item.status == 200 ? item.body : "error") != std::string::npos);
    CHECK(runs_of(all, id) == item.runs);
    CHECK(result.took < 1500ms);
    if (item.status == 503) {
      CHECK(result.header("Retry-After"));
    }
    // Wait until the failing server is no longer excluded.
    all.run_for(600ms);
  }
}

TEST_CASE("a broken stream resumes only if its route allows it, without repeats or gaps") {
  deployment all({1, 3, 2, 1});
  REQUIRE(is_up(all));
  struct row {
    const char* what;
    const char* path;
    std::vector<backend_behavior> behaviors;
    bool whole;
    int runs;
  };
  using enum backend_behavior;
  const row rows[] = {
      {"a whole stream", "/resumed/x", {answer}, true, 1},
      {"a stream broken inside an event is resumed", "/resumed/x", {truncate, answer}, true, 2},
      {"a stream that must not resume looks broken", "/kept/x", {truncate, answer}, false, 1},
      {"a full server does not count as a run", "/kept/x", {shed, answer}, true, 1},
  };
  int number = 0;
  for (const row& item : rows) {
    const std::string name = "stream-" + std::to_string(++number);
    INFO(item.what);
    // A refused turn reaches no server and uses up no scripted behavior.
    all.engine_behaviors->set(item.behaviors);
    const auto [id, result] = retry_until_decided(all, name, [&](const std::string& try_id) {
      return turn(item.path, try_id, "program-" + name);
    });
    CHECK(result.status == 200);
    CHECK(result.whole == item.whole);
    CHECK(runs_of(all, id) == item.runs);
    if (item.whole) {
      CHECK(result.body == three_events);
    } else {
      CHECK(std::string(three_events).starts_with(result.body));
    }
    all.run_for(600ms);
  }
}

TEST_CASE("a connection reset at any point of an answer loses no part of it") {
  // Guards against two failures after a connection reset: a dialog that has to start again from
  // the beginning, and a request that is sent again and runs twice.
  deployment all({2, 3, 2, 1});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1); }));
  for (const auto& server : all.engines) {
    server->set_events(3, 40ms);
  }
  struct row {
    const char* moment;
    /// The last text that is received before the caller resets the connection.
    std::string last;
    /// Number of complete events received by then.
    int events;
  };
  const row rows[] = {{"the request is sent", "", 0},
                      {"the response head is received", "200 OK", 0},
                      {"inside the first event", "id: 1", 0},
                      {"the first event is received", "piece 1 of v1\n\n", 1},
                      {"inside the second event", "id: 2", 1},
                      {"the second event is received", "piece 2 of v1\n\n", 2},
                      {"the last event is received", "piece 3 of v1\n\n", 3},
                      {"everything is received", "\r\n0\r\n", 3}};
  const std::vector<std::string> pieces = {"id: 1\ndata: piece 1 of v1\n\n",
                                           "id: 2\ndata: piece 2 of v1\n\n",
                                           "id: 3\ndata: piece 3 of v1\n\n"};
  int number = 0;
  for (const row& item : rows) {
    for (const bool resumable : {true, false}) {
      const std::string name = "reset-" + std::to_string(++number);
      const std::string path = resumable ? "/resumed/x" : "/kept/x";
      const std::string program = "program-" + name;
      INFO(item.moment << (resumable ? ", resumed" : ", requested again from the start"));
      all.reset_after(0, turn(path, name, program), item.last);
      const decided_turn again =
          retry_until_decided(all, name + "-again", [&](const std::string& id) {
            call_request call = turn(path, id, program);
            if (resumable && item.events > 0) {
              call.headers.push_back({"Last-Event-Id", std::to_string(item.events)});
              call.headers.push_back({"Resumes", name});
            }
            return call;
          });
      CHECK(again.result.status == 200);
      CHECK(again.result.whole);
      std::string rest;
      for (std::size_t piece = resumable ? item.events : 0; piece < pieces.size(); ++piece) {
        rest += pieces[piece];
      }
      CHECK(again.result.body == rest);
      CHECK(runs_of(all, name) <= 1);
      CHECK(runs_of(all, again.id) == 1);
      if (!resumable) {
        // The dialog continues from the answer that its caller has received completely. It cannot
        // continue from any other.
        const decided_turn next = retry_until_decided(
            all, name + "-next",
            [&](const std::string& id) { return turn(path, id, program, again.id); });
        CHECK(next.result.whole);
        CHECK(runs_of(all, next.id) == 1);
      }
    }
  }
}

TEST_CASE("a malformed request is answered, closes its connection and reaches no server") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  struct row {
    const char* what;
    std::string bytes;
    const char* status;
  };
  const std::string start = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: bad\r\n";
  const row rows[] = {
      {"two lengths", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", " 400 "},
      {"a smuggled request",
       start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / H", " 400 "},
      {"a folded header", start + "X-A: b\r\n c: d\r\n\r\n", " 400 "},
      {"a head that is too large", start + "X-A: " + std::string(5000, 'a') + "\r\n\r\n", " 431 "},
      {"a body that is too large", start + "Content-Length: 10001\r\n\r\n", " 413 "},
      {"an incomplete head", start, " 408 "},
      {"an incomplete body", start + "Content-Length: 10\r\n\r\nabc", " 408 "},
      {"an invalid chunk", start + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", " 400 "},
  };
  for (const row& item : rows) {
    INFO(item.what);
    const std::string answer = all.send_raw(0, item.bytes);
    CHECK(answer.substr(0, 14).find(item.status) != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
  CHECK(all.call(0, plain("/none/x", "n1")).status == 404);
  call_request unnamed = plain("/once/x", "");
  CHECK(all.call(0, unnamed).status == 400);
  CHECK(all.apps[0]->arrivals().empty());
}

TEST_CASE("a server's work is cancelled soon after its caller disconnects") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  all.engines[0]->set_events(100, 20ms);
  all.disconnect_after(0, turn("/resumed/x", "t1", "p"), 150ms);
  CHECK(all.run_until([&all] { return all.engines[0]->cancelled() == 1; }, 500ms));
}

TEST_CASE("a planned stop cuts off no call, and the host leaves the directory at once") {
  deployment all({2, 3, 1, 1});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until(
      [&all] { return all.addresses(0).find(all.callers_at(1)) != std::string::npos; }));
  all.engines[0]->set_events(30, 20ms);
  const auto running = all.begin_call(0, turn("/resumed/x", "t1", "p"));
  all.run_for(100ms);
  all.stop_front(0);
  CHECK_FALSE(all.ready(0));
  CHECK(all.run_until(
      [&all] { return all.addresses(1).find(all.callers_at(0)) == std::string::npos; }, 1s));
  const call_result late = all.call(0, plain("/once/x", "late"));
  CHECK(late.status == 200);
  CHECK(late.header("Connection") == "close");
  CHECK(all.run_until([&running] { return running->has_value(); }));
  CHECK((*running)->whole);
  CHECK(all.run_until([&all] { return all.front_ended(0); }, 5s));
}

TEST_CASE("a configuration is in force everywhere within two seconds and stays in force") {
  deployment all({3, 3, 1, 1});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1) && all.ready(2); }));
  for (int front = 0; front < 3; ++front) {
    CHECK(all.call(front, plain("/new/x", "before-" + std::to_string(front))).status == 404);
  }
  all.configure(5, "/safe/", "/new/");
  all.run_for(2s);
  for (int front = 0; front < 3; ++front) {
    CHECK(all.call(front, plain("/new/x", "after-" + std::to_string(front))).status == 200);
    CHECK(all.call(front, plain("/safe/x", "gone-" + std::to_string(front))).status == 404);
  }
  // While the store is unavailable, the configuration stays in force and calls are served.
  all.store().set_behavior(stand_ins::store_behavior::busy);
  all.run_for(1500ms);
  CHECK(all.call(0, plain("/new/x", "away")).status == 200);
}

TEST_CASE("a front host that starts while the store is unavailable has no routes and answers 503") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  all.store().set_behavior(stand_ins::store_behavior::busy);
  all.kill_front(0);
  all.start_front(0);
  all.run_for(300ms);
  CHECK_FALSE(all.ready(0));
  CHECK(all.call(0, plain("/none/x", "n1")).status == 503);
  all.store().set_behavior(stand_ins::store_behavior::serving);
  CHECK(all.run_until([&all] { return all.ready(0); }, 4s));
}

TEST_CASE("a draining server receives no new calls") {
  deployment all({2, 3, 1, 2});
  REQUIRE(is_up(all));
  REQUIRE(all.run_until([&all] { return all.ready(1); }));
  all.list_backend(*all.apps[0], "apps", true);
  all.run_for(2s);
  const std::size_t before = all.apps[0]->arrivals().size();
  for (int number = 0; number < 10; ++number) {
    CHECK(all.call(number % 2, plain("/once/x", "d-" + std::to_string(number))).status == 200);
  }
  CHECK(all.apps[0]->arrivals().size() == before);
}

TEST_CASE("a server that restarts under the same id is treated as a new one") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  // The fifth consecutive failure excludes the server for 4 s, longer than a call waits.
  all.app_behaviors->set({backend_behavior::send_garbage});
  int attempt = 0;
  for (int number = 0; number < 5; ++number) {
    REQUIRE(all.run_until([&all, &attempt] {
      return all.call(0, plain("/once/x", "f-" + std::to_string(++attempt))).status == 502;
    }));
  }
  all.app_behaviors->set({backend_behavior::answer});
  all.restart_backend(*all.apps[0], "apps", 1'790'000'000'000);
  all.run_for(1500ms);
  const call_result restarted = all.call(0, plain("/safe/x", "restarted"));
  CHECK(restarted.status == 200);
  CHECK(restarted.took < 500ms);

  const auto opened = all.metric(0, "backend_connections_opened");
  REQUIRE(opened);
  CHECK(all.call(0, plain("/safe/x", "kept")).status == 200);
  CHECK(all.metric(0, "backend_connections_opened") == *opened);
  // After this restart, the connection that the last call left open belongs to the previous
  // process.
  all.restart_backend(*all.apps[0], "apps", 1'790'000'001'000);
  all.run_for(1500ms);
  CHECK(all.call(0, plain("/safe/x", "again")).status == 200);
  CHECK(all.metric(0, "backend_connections_opened") == *opened + 1);
}

TEST_CASE("malformed store entries are ignored, and the other entries are used") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  const std::string good = all.apps[0]->entry("apps", "z0");
  all.store().add_raw_listing_item("servers", R"({"spec":{"service":"apps"}})");
  all.store().add_raw_listing_item("servers", "{\"metadata\":{\"name\":\"\xff\",\"revision\":1}}");
  all.store().add_raw_listing_item("hawthornlane-hosts", "[[[]]]");
  all.store().add_raw_listing_item("config", "17");
  all.store().put("servers", "no-object", R"(["apps"])");
  all.store().put("servers", "no-fields", "{}");
  all.store().put("servers", "no-state",
                  std::string(good).replace(good.find("ready"), 5, "asleep"));
  all.store().put("servers", "no-service", std::string(good).replace(good.find("apps"), 4, "none"));
  all.store().put("hawthornlane-hosts", "front-9", R"({"role":"front"})");
  all.run_for(1500ms);
  for (int number = 0; number < 4; ++number) {
    const std::string id = "e-" + std::to_string(number);
    CHECK(all.call(0, plain("/once/x", id)).status == 200);
    CHECK(runs_of(all, id) == 1);
  }
  // Later changes are applied, so each listing is still read.
  all.configure(5, "/safe/", "/new/");
  all.list_backend(*all.apps[0], "apps", true);
  all.run_for(1500ms);
  CHECK(all.call(0, plain("/new/x", "after")).status == 503);
  all.list_backend(*all.apps[0], "apps");
  all.run_for(1500ms);
  CHECK(all.call(0, plain("/new/x", "served")).status == 200);
  // Two entries without valid metadata, three that describe no server, and one of kind `config`.
  // The two malformed host entries may count as well.
  CHECK(all.metric(0, "store_objects_malformed") >= 6);
  CHECK(all.metric(0, "store_objects_malformed") <= 8);
  // A malformed configuration does not replace the one in force.
  all.store().put("config", "main", R"({"version":9,"routes":7})");
  all.run_for(1500ms);
  CHECK(all.call(0, plain("/new/x", "in-force")).status == 200);
}

TEST_CASE("a call is not run by another server that has taken over the listed address") {
  deployment all({1, 3, 1, 2});
  REQUIRE(is_up(all));
  // The entry names a server that has ended; its address belongs to app-1.
  all.store().put("servers", "app-0", all.apps[1]->entry("apps", "z0"));
  all.run_for(1500ms);
  for (int number = 0; number < 4; ++number) {
    const std::string id = "m-" + std::to_string(number);
    CHECK(all.call(0, plain("/once/x", id)).status == 200);
    CHECK(runs_of(all, id) == 1);
  }
}

TEST_CASE("a host that has just started sends a short Retry-After") {
  deployment all({1, 3, 1, 1});
  const call_result result = all.call(0, plain("/safe/x", "early"));
  REQUIRE(result.status == 503);
  REQUIRE(result.header("Retry-After"));
  // The host is ready within half a second, so it sends 0.4 s plus at most 0.25 s of jitter, and
  // not the 0.8 s or more that it sends when it waits for the store, which may take seconds.
  CHECK(std::stod(*result.header("Retry-After")) < 0.7);
  CHECK(is_up(all));
}

TEST_CASE("metrics count the bytes between hosts by purpose") {
  deployment all({2, 3, 1, 1});
  REQUIRE(is_up(all));
  REQUIRE(all.call(0, turn("/kept/x", "counted", "p", "")).status == 200);
  for (const char* name : {"peer_bytes_sent_probes", "peer_bytes_received_probes",
                           "peer_bytes_sent_disks", "peer_bytes_received_disks"}) {
    INFO(name);
    CHECK(all.metric(0, name) > 0);
  }
  // Both hosts reach the disk hosts directly, so nothing is relayed.
  CHECK(all.metric(0, "peer_bytes_sent_relays") == 0);
}

TEST_CASE("a request on an idle connection has the limits of the newest configuration") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  constexpr std::size_t large = 20'000;
  call_request first = plain("/once/x", "first");
  call_request second = plain("/once/x", "second");
  second.body = std::string(large, 'b');
  const auto results = all.begin_calls(0, {first, second}, 2500ms);
  REQUIRE(all.run_until([&results] { return results->size() == 1; }));
  all.configure(2, R"("max-body-bytes":10000)", R"("max-body-bytes":1000000)");
  REQUIRE(all.run_until([&results] { return results->size() == 2; }));
  CHECK(results->front().status == 200);
  CHECK(results->back().status == 200);
}
