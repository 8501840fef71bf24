// Which front hosts a caller is told of. No I/O, clock or randomness.
#pragma once

#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"

namespace hawthornlane::front {

/// Callers stay in their zone when it has at least this many ready hosts: one of
/// them may die, and a caller needs another address at once. Bytes between zones
/// are paid for, and a call in the zone is a few milliseconds quicker.
constexpr std::size_t enough_in_zone = 2;
/// A zone's hosts must not carry many times what others do: callers stay there only
/// while it has at least this part of an even share of the hosts.
constexpr double least_zone_share = 0.5;

/// Addresses of ready hosts for a caller of that zone.
std::vector<std::string> addresses_for(const availability_zone& zone,
                                       const std::vector<host_entry>& ready);

}  // namespace hawthornlane::front
