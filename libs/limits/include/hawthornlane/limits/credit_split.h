// One backend server's window, split between the hosts that use it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// What a host asks of a server's steward: calls inside it and calls waiting.
struct credit_demand {
  host_incarnation host;
  std::int64_t inside = 0;
  std::int64_t waiting = 0;
};

/// A host's share of the window.
struct credit_grant {
  host_incarnation host;
  std::int64_t credits = 0;
};

/// Splits `window` by demand. Promise: the grants never sum to more than the
/// larger of the window and what is inside already; every host that wants any
/// gets one credit before another gets its second, as far as the window goes.
std::vector<credit_grant> split_window(std::int64_t window,
                                       const std::vector<credit_demand>& demands);

}  // namespace hawthornlane
