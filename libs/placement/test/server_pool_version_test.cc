// Placement of calls that take up a stream: only at servers of the version that began it.
#include <catch2/catch.hpp>

#include "server_pool_fixture.h"

using namespace hawthornlane;
using namespace hawthornlane::pool_tests;

namespace {

backend_entry server_of(const std::string& id, const std::string& version) {
  backend_entry entry = server(id);
  entry.version = software_version(version);
  return entry;
}

placement_request resumption(std::uint64_t id, const std::string& version) {
  placement_request request = call(id);
  request.version = software_version(version);
  return request;
}

const std::vector<backend_entry> two_versions{server_of("old", "v1"), server_of("new-1", "v2"),
                                              server_of("new-2", "v2")};

}  // namespace

TEST_CASE("a resumption is not placed at a server of another version, however busy its own are") {
  pool_fixture fixture(two_versions);
  const bool has_prompt = GENERATE(false, true);
  CHECK(fixture.pool.listed_versions().at(software_version("v2")) == 2);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    placement_request request = resumption(id, "v1");
    if (has_prompt) {
      request.prompt = {{prompt_part_key(1), token_count(500)},
                        {prompt_part_key(2), token_count(9)}};
    }
    CHECK(fixture.submit(request) == submit_outcome::placed);
    CHECK(fixture.last_server() == "old");
  }
  CHECK(fixture.submit(resumption(3, "v1")) == submit_outcome::queued);
  CHECK(fixture.submit(resumption(4, "v3")) == submit_outcome::refused);
  placement_request failed_once = resumption(5, "v1");
  failed_once.tried = {backend_server_id("old")};
  CHECK(fixture.submit(failed_once) == submit_outcome::refused);
}

TEST_CASE("a queued resumption neither holds up other calls nor waits behind new ones") {
  pool_fixture fixture(two_versions);
  for (std::uint64_t id = 1; id <= 6; ++id) {
    CHECK(fixture.submit(call(id)) == submit_outcome::placed);
  }
  CHECK(fixture.submit(call(7)) == submit_outcome::queued);
  CHECK(fixture.submit(resumption(8, "v1")) == submit_outcome::queued);
  std::map<std::uint64_t, std::string> servers;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    for (const placement& item :
         fixture.pool.finished(placement_id(id), server_outcome::answered, at(2s))) {
      servers[item.id.get()] = item.server.id.get();
    }
  }
  CHECK(servers.size() == 2);
  CHECK(servers[8] == "old");
}

TEST_CASE("a queued resumption does not wait for a version whose last server has left") {
  pool_fixture fixture(two_versions);
  for (std::uint64_t id = 1; id <= 6; ++id) {
    fixture.submit(call(id));
  }
  CHECK(fixture.submit(resumption(7, "v1")) == submit_outcome::queued);
  CHECK(fixture.pool.expire(at(2s)).empty());
  fixture.pool.set_servers({two_versions[1], two_versions[2]}, at(2s));
  CHECK(fixture.pool.expire(at(2s)) == std::vector{placement_id(7)});
}

TEST_CASE("new streams do not fill the last server of a version while others have room") {
  std::vector<backend_entry> servers = {server_of("old", "v1")};
  for (const char* id : {"new-1", "new-2", "new-3"}) {
    servers.push_back(server_of(id, "v2"));
  }
  for (backend_entry& entry : servers) {
    entry.slots = 8;
  }
  pool_fixture fixture(servers);
  int at_old = 0;
  for (std::uint64_t id = 1; id <= 24; ++id) {
    placement_request request = call(id);
    request.affinity = id * 7919;
    request.prompt = {{prompt_part_key(1), token_count(500)},
                      {prompt_part_key(100 + id), token_count(100)}};
    REQUIRE(fixture.submit(request) == submit_outcome::placed);
    at_old += fixture.last_server() == "old" ? 1 : 0;
  }
  CHECK(at_old <= 6);
  CHECK(fixture.submit(resumption(100, "v1")) == submit_outcome::placed);
}
