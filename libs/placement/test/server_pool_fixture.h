// Servers, calls and a pool for tests of a server pool.
#pragma once

#include <string>
#include <vector>

#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane::pool_tests {
using namespace std::chrono_literals;

inline timestamp at(duration since) { return timestamp(since); }

inline backend_entry server(const std::string& id, const std::string& zone = "here") {
  backend_entry entry;
  entry.id = backend_server_id(id);
  entry.zone = availability_zone(zone);
  entry.slots = 2;
  return entry;
}

inline placement_request call(std::uint64_t id, std::uint32_t priority = 0,
                              duration wanted_by = 10s) {
  placement_request request;
  request.id = placement_id(id);
  request.priority = priority;
  request.wanted_by = at(wanted_by);
  request.give_up_at = at(20s);
  return request;
}

class pool_fixture {
public:
  explicit pool_fixture(const std::vector<backend_entry>& servers)
      : pool(pool_rules{}, host_id("front-1"), availability_zone("here")) {
    this->pool.set_servers(servers, at(0s));
  }

  submit_outcome submit(const placement_request& request, duration now = 1s) {
    this->placed.clear();
    return this->pool.submit(request, at(now), this->placed);
  }
  std::string last_server() const {
    return this->placed.empty() ? "" : this->placed.front().server.id.get();
  }

  server_pool pool;
  std::vector<placement> placed;
};

}  // namespace hawthornlane::pool_tests
