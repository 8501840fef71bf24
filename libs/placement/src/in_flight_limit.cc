// How many calls one host may have at the servers of a service while places are scarce.
#include "hawthornlane/placement/in_flight_limit.h"

#include <algorithm>
#include <cmath>

namespace hawthornlane {

std::optional<std::uint32_t> compute_in_flight_limit(const service_load& load) {
  const double needed = load.own_calls + load.other_calls;
  if (load.places <= 0 || needed < window_from * load.places) {
    return std::nullopt;
  }
  const double part = load.own_calls / needed;
  const double most = std::ceil(load.places * window_size * part);
  return std::max(least_window, static_cast<std::uint32_t>(most));
}

}  // namespace hawthornlane
