// The kinds of route of the test deployments.
#pragma once

#include <algorithm>
#include <array>
#include <string>

#include "test_caller.h"

namespace hawthornlane::scenarios {

/// A kind of route.
struct route_shape {
  const char* path;
  bool is_turn;
  /// Hosts store its turns.
  bool is_stored;
  /// Servers that may run one call.
  int max_runs;
};

inline constexpr route_shape once_route{"/once/x", false, false, 1};
inline constexpr route_shape safe_route{"/safe/x", false, false, 2};
inline constexpr route_shape kept_route{"/kept/x", true, true, 1};
inline constexpr route_shape resumed_route{"/resumed/x", true, false, 2};
inline constexpr std::array all_routes{&once_route, &safe_route, &kept_route, &resumed_route};

/// Whether a response of this status promises that the call has not run.
inline bool is_promise_not_run(int status) {
  constexpr std::array statuses{408, 421, 429, 503};
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/// A call to the route, or a first turn. Its content differs from that of all other calls, so that
/// the failures of one do not count against another.
inline call_request request_to(const route_shape& route, const std::string& id) {
  if (route.is_turn) {
    return turn_request_of(route.path, id, "p-" + id, "", 1000);
  }
  call_request request;
  request.path = route.path;
  request.id = id;
  request.body = "input of " + id;
  return request;
}

}  // namespace hawthornlane::scenarios
