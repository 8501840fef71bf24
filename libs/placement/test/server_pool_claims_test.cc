// Tests the choice of the servers at which a call claims a place.
#include <catch2/catch.hpp>
#include <functional>

#include "hawthornlane/placement/server_pool.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 6;
const timestamp load_time(10s);
const backend_server_id session_server("s1");

backend_entry server(const std::string& id) {
  backend_entry entry;
  entry.id = backend_server_id(id);
  entry.zone = availability_zone("here");
  entry.slots = slots;
  return entry;
}

/// A pool of two servers; the first one has cached the call's session.
class claim_fixture {
public:
  explicit claim_fixture(std::int64_t session_tokens) {
    this->pool.set_servers({server("s1"), server("s2")}, load_time);
    this->request.id = placement_id(1);
    this->request.affinity = 7;
    this->request.prompt = {{prompt_part_key(1), token_count(100)},
                            {prompt_part_key(2), token_count(session_tokens)}};
    this->request.give_up_at = load_time + 5s;
    for (const prompt_piece& piece : this->request.prompt) {
      this->pool.add_prompt_location({piece.key, server_key_of(session_server), piece.tokens});
    }
  }
  static pool_rules rules() {
    pool_rules with;
    with.claims_places = true;
    return with;
  }
  void load(std::uint32_t of_session_server, std::uint32_t of_other) {
    this->pool.set_remote_load({server_key_of(session_server), of_session_server}, load_time);
    this->pool.set_remote_load({server_key_of(backend_server_id("s2")), of_other}, load_time);
  }

  server_pool pool{rules(), host_id("front"), availability_zone("here")};
  placement_request request;
};

}  // namespace

TEST_CASE("a call claims a place at a second server only if that costs little more") {
  struct row {
    const char* what;
    std::int64_t session_tokens;
    std::uint32_t of_session_server;
    std::uint32_t of_other;
    duration age;
    bool full;
    std::size_t targets;
  };
  const row rows[] = {
      {"the session's server has a place", 5000, slots, slots - 1, 0ms, false, 1},
      {"the session's server is full, long session", 5000, slots + 1, slots - 1, 0ms, true, 1},
      {"the same with a count of 10 ms ago", 5000, slots + 1, slots - 1, 10ms, true, 1},
      {"both servers are full, short session", 10, slots + 1, slots + 1, 0ms, true, 2},
      {"both servers are full, long session", 5000, slots + 1, slots + 1, 0ms, true, 1},
  };
  for (const row& item : rows) {
    INFO(item.what);
    claim_fixture fixture(item.session_tokens);
    fixture.load(item.of_session_server, item.of_other);
    const auto targets = fixture.pool.claim_targets(fixture.request, load_time + item.age);
    REQUIRE(targets.size() == item.targets);
    CHECK(targets.front().server == session_server);
    CHECK(targets.front().places == slots + 1);
    CHECK(targets.front().full == item.full);
  }
}

TEST_CASE("calls without a prompt and retried calls claim no place") {
  struct row {
    const char* what;
    std::function<void(placement_request&)> change;
    std::size_t targets;
  };
  const row rows[] = {
      {"a first attempt with a prompt", [](placement_request&) {}, 1},
      {"no prompt", [](placement_request& r) { r.prompt.clear(); }, 0},
      {"a retry", [](placement_request& r) { r.tried.insert(session_server); }, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    claim_fixture fixture(5000);
    fixture.load(slots + 1, slots + 1);
    item.change(fixture.request);
    CHECK(fixture.pool.claim_targets(fixture.request, load_time).size() == item.targets);
  }
}

TEST_CASE("a granted call is sent to its server also beyond this host's limit, unless removed") {
  claim_fixture fixture(5000);
  for (std::uint64_t number = 1; number <= slots + 1; ++number) {
    fixture.request.id = placement_id(number);
    REQUIRE(fixture.pool.place_at(fixture.request, session_server, load_time));
  }
  CHECK(fixture.pool.own_loads() ==
        std::vector<server_load>{{server_key_of(session_server), slots + 1}});
  fixture.pool.set_servers({server("s2")}, load_time);
  fixture.request.id = placement_id(99);
  CHECK_FALSE(fixture.pool.place_at(fixture.request, session_server, load_time));
}
