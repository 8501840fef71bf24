// Tables over choosing servers, queueing, refusing and excluding.
#include <catch2/catch.hpp>

#include "server_pool_fixture.h"

using namespace hawthornlane;
using namespace hawthornlane::pool_tests;
using namespace std::chrono_literals;

TEST_CASE("calls go to the least busy server, near ones first") {
  pool_fixture pool({server("far", "there"), server("near")});
  pool.submit(call(1));
  CHECK(pool.last_server() == "near");
  pool.submit(call(2));
  CHECK(pool.last_server() == "far");
  pool.submit(call(3));
  CHECK(pool.last_server() == "near");
}

TEST_CASE("calls of one object stay together while their server is not much busier") {
  pool_fixture pool({server("a"), server("b"), server("c")});
  placement_request first = call(1);
  first.affinity = 77;
  pool.submit(first);
  const std::string home = pool.last_server();
  placement_request second = call(2);
  second.affinity = 77;
  pool.submit(second);
  CHECK(pool.last_server() == home);
  placement_request third = call(3);
  third.affinity = 77;
  pool.submit(third);
  CHECK(pool.last_server() != home);
}

TEST_CASE("an object's server is in this zone while one there is not much busier") {
  pool_fixture pool({server("far-1", "there"), server("far-2", "there"), server("near")});
  for (std::uint64_t object = 1; object < 20; ++object) {
    placement_request request = call(object);
    request.affinity = object * 7919;
    pool.submit(request);
    CHECK(pool.last_server() == "near");
    pool.pool.finished(request.id, server_outcome::answered, at(1s));
  }
}

TEST_CASE("what waits goes by priority, then by when it is wanted") {
  pool_fixture pool({server("a")});
  pool.submit(call(1));
  pool.submit(call(2));
  CHECK(pool.submit(call(3, 1, 3s)) == submit_outcome::queued);
  CHECK(pool.submit(call(4, 0, 9s)) == submit_outcome::queued);
  CHECK(pool.submit(call(5, 0, 5s)) == submit_outcome::queued);
  const int order[] = {5, 4, 3};
  std::uint64_t leaving = 1;
  for (const int expected : order) {
    const auto placed = pool.pool.finished(placement_id(leaving), server_outcome::answered, at(2s));
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().id == placement_id(static_cast<std::uint64_t>(expected)));
    leaving = static_cast<std::uint64_t>(expected);
  }
}

TEST_CASE("a call that cannot be served is refused at once") {
  SECTION("there is no server") {
    pool_fixture pool({});
    CHECK(pool.submit(call(1)) == submit_outcome::refused);
  }
  SECTION("every server has refused it") {
    pool_fixture pool({server("a")});
    placement_request request = call(1);
    request.tried = {backend_server_id("a")};
    CHECK(pool.submit(request) == submit_outcome::refused);
  }
  SECTION("its time is over") {
    pool_fixture pool({server("a")});
    pool.submit(call(1));
    pool.submit(call(2));
    CHECK(pool.submit(call(3), 21s) == submit_outcome::refused);
  }
  SECTION("the queue is as long as the places can work off") {
    pool_fixture pool({server("a")});
    pool.submit(call(1));
    pool.submit(call(2));
    for (std::uint64_t id = 3; id < 7; ++id) {
      CHECK(pool.submit(call(id)) == submit_outcome::queued);
    }
    CHECK(pool.submit(call(7)) == submit_outcome::refused);
  }
}

TEST_CASE("calls whose time is over leave the queue") {
  pool_fixture pool({server("a")});
  pool.submit(call(1));
  pool.submit(call(2));
  placement_request request = call(3);
  request.give_up_at = at(2s);
  pool.submit(request);
  CHECK(pool.pool.expire(at(1500ms)).empty());
  const auto expired = pool.pool.expire(at(2s));
  REQUIRE(expired.size() == 1);
  CHECK(expired.front() == placement_id(3));
  CHECK(pool.pool.waiting() == 0);
}

TEST_CASE("when a server is excluded, and for how long") {
  struct row {
    const char* what;
    server_outcome outcome;
    int times;
    duration excluded_for;
  };
  const row rows[] = {
      {"one lost answer is no sign", server_outcome::failed, 1, 0ms},
      {"two in a row are", server_outcome::failed, 2, 500ms},
      {"a server that cannot be reached is left out at once", server_outcome::unreachable, 1,
       250ms},
      {"the exclusion has an end", server_outcome::unreachable, 9, 4s},
      {"a caller that leaves says nothing", server_outcome::caller_left, 5, 0ms},
  };
  for (const row& item : rows) {
    INFO(item.what);
    pool_fixture pool({server("a"), server("b")});
    const duration last = 1h;
    for (int time = 0; time < item.times; ++time) {
      placement_request request = call(static_cast<std::uint64_t>(time) + 1);
      request.tried = {backend_server_id("b")};
      // Long before the check, so that each failure finds the server usable.
      const duration when = 10s * time;
      pool.pool.submit(request, at(when), pool.placed);
      const duration ended = time + 1 == item.times ? last : when;
      pool.pool.finished(request.id, item.outcome, at(ended));
    }
    CHECK(pool.pool.excluded(at(last + 1ms)).empty() == (item.excluded_for == 0ms));
    CHECK(pool.pool.excluded(at(last + item.excluded_for)).empty());
    CHECK((item.excluded_for == 0ms ||
           pool.pool.excluded(at(last + item.excluded_for - 1ms)).size() == 1));
  }
}

TEST_CASE("a server that leaves gets nothing new, and its calls may end there") {
  pool_fixture pool({server("a"), server("b")});
  placement_request request = call(1);
  request.tried = {backend_server_id("b")};
  pool.submit(request);
  pool.pool.set_servers({server("b")}, at(2s));
  for (std::uint64_t id = 2; id < 4; ++id) {
    pool.submit(call(id), 2s);
    CHECK(pool.last_server() == "b");
  }
  CHECK(pool.submit(call(4), 2s) == submit_outcome::queued);
  pool.pool.finished(placement_id(1), server_outcome::answered, at(3s));
  CHECK(pool.pool.listed().size() == 1);
}

namespace {

prompt_piece piece(std::uint64_t key, std::int64_t tokens) {
  return {prompt_part_key(key), token_count(tokens)};
}

placement_request turn(std::uint64_t id, std::vector<prompt_piece> prompt) {
  placement_request request = call(id);
  request.affinity = 77;
  request.prompt = std::move(prompt);
  return request;
}

/// Ten servers of one zone, so that only four are weighed for a new program.
std::vector<backend_entry> ten_servers() {
  std::vector<backend_entry> servers;
  for (int number = 0; number < 10; ++number) {
    servers.push_back(server("s" + std::to_string(number)));
  }
  return servers;
}

}  // namespace

TEST_CASE("a turn goes where its line was read, as this host saw or was told") {
  pool_fixture pool(ten_servers());
  pool.submit(turn(1, {piece(1, 500), piece(2, 400)}));
  const std::string first = pool.last_server();
  pool.pool.finished(placement_id(1), server_outcome::answered, at(1s));
  SECTION("its own next turn") {
    pool.submit(turn(2, {piece(1, 500), piece(2, 900)}));
    CHECK(pool.last_server() == first);
  }
  SECTION("a helper's, whose prompt begins with its parent's") {
    pool.submit(turn(2, {piece(1, 500), piece(2, 400), piece(3, 300)}));
    CHECK(pool.last_server() == first);
  }
  SECTION("a line that another host has read more of elsewhere") {
    const std::string other = first == "s9" ? "s8" : "s9";
    const server_key there = server_key_of(backend_server_id(other));
    pool.pool.add_prompt_location({prompt_part_key(2), there, token_count(2000)});
    pool.submit(turn(2, {piece(1, 500), piece(2, 2400)}));
    CHECK(pool.last_server() == other);
  }
}

TEST_CASE("what other hosts tell of servers that are unknown or gone changes nothing") {
  pool_fixture pool(ten_servers());
  const server_key unknown = server_key_of(backend_server_id("nobody"));
  pool.pool.add_prompt_location({prompt_part_key(2), unknown, token_count(5000)});
  pool.pool.set_remote_load({unknown, 1000}, at(1s));
  CHECK(pool.submit(turn(1, {piece(1, 500), piece(2, 400)})) == submit_outcome::placed);
  const std::string holder = pool.last_server();
  pool.pool.finished(placement_id(1), server_outcome::answered, at(1s));
  std::vector<backend_entry> left = ten_servers();
  std::erase_if(left, [&](const backend_entry& entry) { return entry.id.get() == holder; });
  pool.pool.set_servers(left, at(2s));
  CHECK(pool.submit(turn(2, {piece(1, 500), piece(2, 900)}), 2s) == submit_outcome::placed);
  CHECK(pool.last_server() != holder);
}

TEST_CASE("a new program keeps away from a server that other hosts have filled") {
  pool_fixture pool(ten_servers());
  pool.submit(turn(1, {piece(1, 500), piece(2, 400)}));
  const std::string usual = pool.last_server();
  pool_fixture fresh(ten_servers());
  fresh.pool.set_remote_load({server_key_of(backend_server_id(usual)), 12}, at(1s));
  fresh.submit(turn(1, {piece(1, 500), piece(2, 400)}));
  CHECK(fresh.last_server() != usual);
}

TEST_CASE("programs that have begun go on before others begin") {
  pool_fixture pool({server("a")});
  pool.submit(call(1));
  pool.submit(call(2));
  placement_request fresh = call(3, 0, 3s);
  placement_request begun = call(4, 0, 9s);
  begun.begun = true;
  CHECK(pool.submit(fresh) == submit_outcome::queued);
  CHECK(pool.submit(begun) == submit_outcome::queued);
  const auto placed = pool.pool.finished(placement_id(1), server_outcome::answered, at(2s));
  REQUIRE(placed.size() == 1);
  CHECK(placed.front().id == begun.id);
}

namespace {

/// One server as it registers itself after a start.
std::vector<backend_entry> started(std::uint64_t start) {
  backend_entry entry = server("a");
  entry.start = incarnation(start);
  return {entry};
}

}  // namespace

TEST_CASE("what a server holds is believed of the incarnation that read it") {
  struct row {
    const char* what;
    std::uint64_t told_of;
    std::uint64_t listed;
    bool believed;
  };
  const row rows[] = {
      {"the same process", 100, 100, true},
      {"it has started again", 100, 200, false},
      {"another host has heard of the start earlier", 200, 200, true},
      {"servers that do not say when they started", 0, 0, true},
  };
  const auto source = GENERATE("this host's own calls", "another host's");
  for (const row& item : rows) {
    INFO(source << ": " << item.what);
    pool_fixture pool(started(item.told_of));
    if (std::string(source) == "this host's own calls") {
      pool.submit(turn(1, {piece(1, 500), piece(2, 400)}));
      pool.pool.finished(placement_id(1), server_outcome::answered, at(1s));
      pool.pool.set_servers(started(item.listed), at(1s));
    } else {
      pool.pool.set_servers(started(item.listed), at(1s));
      const server_key key = server_key_of(backend_server_id("a"), incarnation(item.told_of));
      pool.pool.add_prompt_location({prompt_part_key(2), key, token_count(400)});
      pool.pool.set_remote_load({key, 7}, at(1s));
    }
    pool.submit(turn(2, {piece(1, 500), piece(2, 400)}));
    REQUIRE(pool.placed.size() == 1);
    CHECK(pool.placed.front().basis->holds_line == item.believed);
    CHECK(pool.placed.front().basis->missing_tokens == token_count(item.believed ? 0 : 900));
    if (std::string(source) == "another host's") {
      CHECK(pool.placed.front().basis->calls == (item.believed ? 7 : 0));
    }
  }
}

TEST_CASE("a server that has started again is not doubted for what it was before") {
  const auto outcome = GENERATE(server_outcome::failed, server_outcome::unreachable);
  pool_fixture pool(started(100));
  for (std::uint64_t id = 1; id <= 2; ++id) {
    pool.submit(call(id));
  }
  for (std::uint64_t id = 1; id <= 2; ++id) {
    pool.pool.finished(placement_id(id), outcome, at(1s));
  }
  REQUIRE(pool.pool.unhealthy(at(1s)).size() == 1);
  pool.pool.set_servers(started(200), at(1s));
  CHECK(pool.pool.unhealthy(at(1s)).empty());
  CHECK(pool.submit(call(3)) == submit_outcome::placed);
}

TEST_CASE("a call at a former incarnation takes no place at the new one and teaches it nothing") {
  pool_fixture pool(started(100));
  pool.submit(call(1));
  pool.submit(call(2));
  REQUIRE(pool.submit(call(3)) == submit_outcome::queued);
  const auto placed = pool.pool.set_servers(started(200), at(1s));
  REQUIRE(placed.size() == 1);
  CHECK(placed.front().server.start == incarnation(200));
  CHECK(pool.pool.demand() == 1);

  SECTION("its failure does not exclude the new one, nor free a place there twice") {
    pool.pool.finished(placement_id(1), server_outcome::unreachable, at(1s));
    pool.pool.finished(placement_id(2), server_outcome::failed, at(1s));
    CHECK(pool.pool.unhealthy(at(1s)).empty());
    CHECK(pool.submit(call(4)) == submit_outcome::placed);
    CHECK(pool.submit(call(5)) == submit_outcome::queued);
  }
  SECTION("a late answer of it does not make the new one slow") {
    pool.pool.finished(placement_id(3), server_outcome::answered, at(1100ms));
    pool.pool.started(placement_id(1), at(9s));
    pool.pool.finished(placement_id(1), server_outcome::answered, at(9s));
    CHECK(pool.pool.unhealthy(at(9s)).empty());
  }
  SECTION("it may end after the server is gone") {
    pool.pool.finished(placement_id(3), server_outcome::answered, at(1s));
    pool.pool.set_servers({}, at(1s));
    CHECK(pool.pool.finished(placement_id(1), server_outcome::failed, at(1s)).empty());
    CHECK(pool.pool.demand() == 0);
  }
  SECTION("places that are shared out are not used up by it") {
    pool.pool.set_in_flight_limit(2, at(1s));
    CHECK(pool.submit(call(4)) == submit_outcome::placed);
  }
}

TEST_CASE("other hosts hear that calls at a former incarnation count no more") {
  pool_fixture pool(started(100));
  pool.submit(turn(1, {piece(1, 500), piece(2, 400)}));
  const server_key former = server_key_of(backend_server_id("a"), incarnation(100));
  CHECK(pool.pool.take_update().loads == std::vector<server_load>{{former, 1}});
  pool.pool.set_servers(started(200), at(1s));
  CHECK(pool.pool.own_loads().empty());
  CHECK(pool.pool.take_update().loads == std::vector<server_load>{{former, 0}});
}

TEST_CASE("an entry that changes while its server goes on keeps what is known of it") {
  pool_fixture pool(started(100));
  pool.submit(call(1));
  std::vector<backend_entry> changed = started(100);
  changed.front().slots = 1;
  pool.pool.set_servers(changed, at(1s));
  CHECK(pool.pool.demand() == 1);
}
