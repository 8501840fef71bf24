// Divides the calls that may be in flight at one backend server, its window, between the hosts that
// use the server.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// A host's demand on a server: its calls in flight there and its waiting calls.
struct credit_demand {
  host_incarnation host;
  std::int64_t in_flight = 0;
  std::int64_t waiting = 0;
};

/// A host's share of the window.
struct credit_grant {
  host_incarnation host;
  /// Calls that the host may have in flight at the server.
  std::int64_t credits = 0;
};

/// Divides `window` by demand. Guarantees: the grants never sum to more than the window; every host
/// with demand gets one credit before another gets its second, as far as the window allows.
std::vector<credit_grant> split_window(std::int64_t window,
                                       const std::vector<credit_demand>& demands);

}  // namespace hawthornlane
