// Tables over where a call claims a place.
#include <catch2/catch.hpp>
#include <functional>

#include "hawthornlane/placement/server_pool.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 6;
const timestamp heard(10s);
const backend_server_id holder("s1");

backend_entry server(const std::string& id) {
  backend_entry entry;
  entry.id = backend_server_id(id);
  entry.zone = availability_zone("here");
  entry.slots = slots;
  return entry;
}

/// Two servers, of which the first holds the call's line.
class claim_fixture {
public:
  explicit claim_fixture(std::int64_t line_tokens) {
    this->pool.set_servers({server("s1"), server("s2")}, heard);
    this->request.id = placement_id(1);
    this->request.affinity = 7;
    this->request.prompt = {{prompt_part_key(1), token_count(100)},
                            {prompt_part_key(2), token_count(line_tokens)}};
    this->request.give_up_at = heard + 5s;
    for (const prompt_piece& piece : this->request.prompt) {
      this->pool.add_prompt_location({piece.key, server_key_of(holder), piece.tokens});
    }
  }
  static pool_rules rules() {
    pool_rules with;
    with.claims_places = true;
    return with;
  }
  void load(std::uint32_t of_holder, std::uint32_t of_other) {
    this->pool.set_remote_load({server_key_of(holder), of_holder}, heard);
    this->pool.set_remote_load({server_key_of(backend_server_id("s2")), of_other}, heard);
  }

  server_pool pool{rules(), host_id("front"), availability_zone("here")};
  placement_request request;
};

}  // namespace

TEST_CASE("a call claims at the cheapest server, and at one more that hardly costs more") {
  struct row {
    const char* what;
    std::int64_t line_tokens;
    std::uint32_t of_holder;
    std::uint32_t of_other;
    duration age;
    bool full;
    std::size_t targets;
  };
  const row rows[] = {
      {"the holder has a place", 5000, slots, slots - 1, 0ms, false, 1},
      {"the holder is full, a long line is not read again", 5000, slots + 1, slots - 1, 0ms, true,
       1},
      {"the same, heard some time ago", 5000, slots + 1, slots - 1, 10ms, true, 1},
      {"both are full, a short line", 10, slots + 1, slots + 1, 0ms, true, 2},
      {"both are full, a long line", 5000, slots + 1, slots + 1, 0ms, true, 1},
  };
  for (const row& item : rows) {
    INFO(item.what);
    claim_fixture fixture(item.line_tokens);
    fixture.load(item.of_holder, item.of_other);
    const auto targets = fixture.pool.claim_targets(fixture.request, heard + item.age);
    REQUIRE(targets.size() == item.targets);
    CHECK(targets.front().server == holder);
    CHECK(targets.front().places == slots + 1);
    CHECK(targets.front().full == item.full);
  }
}

TEST_CASE("calls without a prompt, and those tried before, claim nothing") {
  struct row {
    const char* what;
    std::function<void(placement_request&)> change;
    std::size_t targets;
  };
  const row rows[] = {
      {"a turn", [](placement_request&) {}, 1},
      {"no prompt", [](placement_request& r) { r.prompt.clear(); }, 0},
      {"tried before", [](placement_request& r) { r.tried.insert(holder); }, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    claim_fixture fixture(5000);
    fixture.load(slots + 1, slots + 1);
    item.change(fixture.request);
    CHECK(fixture.pool.claim_targets(fixture.request, heard).size() == item.targets);
  }
}

TEST_CASE("a granted call goes to its server while that is there, also beyond its own limit") {
  claim_fixture fixture(5000);
  for (std::uint64_t number = 1; number <= slots + 1; ++number) {
    fixture.request.id = placement_id(number);
    REQUIRE(fixture.pool.place_at(fixture.request, holder, heard));
  }
  CHECK(fixture.pool.own_loads() == std::vector<server_load>{{server_key_of(holder), slots + 1}});
  fixture.pool.set_servers({server("s2")}, heard);
  fixture.request.id = placement_id(99);
  CHECK_FALSE(fixture.pool.place_at(fixture.request, holder, heard));
}
