// Limits the calls that one host may have in flight at the servers of a service under overload.
#include "hawthornlane/placement/in_flight_limit.h"

#include <algorithm>
#include <cmath>

namespace hawthornlane {

std::optional<std::uint32_t> compute_in_flight_limit(const service_load& load) {
  const double demand = load.own_calls + load.other_calls;
  if (load.places <= 0 || demand < overload_demand_ratio * load.places) {
    return std::nullopt;
  }
  const double own_share = load.own_calls / demand;
  const double limit = std::ceil(load.places * in_flight_ratio * own_share);
  return std::max(min_in_flight_limit, static_cast<std::uint32_t>(limit));
}

}  // namespace hawthornlane
