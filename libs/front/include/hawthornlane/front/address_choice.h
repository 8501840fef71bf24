// Chooses the front host addresses that a caller gets. No I/O, clock or randomness.
#pragma once

#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"

namespace hawthornlane::front {

/// Minimum of ready hosts in the caller's zone for using only that zone: if one host fails, the
/// caller needs another address at once. Traffic between zones is charged for, and calls within
/// a zone are a few milliseconds faster.
constexpr std::size_t min_hosts_in_zone = 2;
/// Minimum number of hosts in the zone, as a fraction of an even share of all hosts. Below it the
/// hosts of a small zone would carry several times the load of others.
constexpr double min_zone_share = 0.5;

/// Addresses of ready hosts for a caller in `zone`: those in its zone, or all.
std::vector<std::string> addresses_for(const availability_zone& zone,
                                       const std::vector<host_entry>& ready);

}  // namespace hawthornlane::front
