// How many calls one host may have at the servers of a service while places are
// scarce. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <optional>

namespace hawthornlane {

/// What all hosts together need, as far as this host has heard.
struct service_load {
  /// Places at servers that are in good health.
  double places = 0;
  /// Calls of this host and of all others, at servers and waiting for one.
  double own_calls = 0;
  double other_calls = 0;
};

/// From this part of all places on, calls wait at hosts, which know their urgency, and
/// not at servers, which take them in order. Below it they wait for less than half of a
/// call's time.
constexpr double window_from = 1.5;
/// As many calls as this part of all places may be at servers then: a server that has
/// some calls waiting loses no time between two, and hosts do not know which servers
/// others use. With 1.15, model servers did a tenth less work under a burst.
constexpr double window_size = 1.5;
/// A host that needs little may have as many calls at servers in any case.
constexpr std::uint32_t least_window = 2;

/// The host's part of all places by its part of the demand; nothing while there is room.
std::optional<std::uint32_t> compute_in_flight_limit(const service_load& load);

}  // namespace hawthornlane
