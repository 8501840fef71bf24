// Limits the calls that one host may have in flight at the servers of a service under overload.
// No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <optional>

namespace hawthornlane {

/// Demand of all hosts for one service, by the latest counts that this host has received.
struct service_load {
  /// Total number of slots of the healthy servers: calls that they work on at once.
  double places = 0;
  /// Calls of this host and of all other hosts: those at servers and those queued for one.
  double own_calls = 0;
  double other_calls = 0;
};

/// Ratio of demand to `places` above which in-flight calls are limited. Excess calls then queue at
/// hosts, which order them by urgency, instead of at servers, which work in order of arrival. Below
/// this ratio a call waits for less than half of a call's time.
constexpr double overload_demand_ratio = 1.5;
/// Calls that all hosts together may have in flight, as a multiple of `places`. It is above 1
/// because a server with some queued calls has no idle time between two calls, and because hosts
/// don't know which servers other hosts use. With 1.15, model servers did 10% less work in a burst.
constexpr double in_flight_ratio = 1.5;
/// Lower bound of the limit, so that a host with little demand can always send calls.
constexpr std::uint32_t min_in_flight_limit = 2;

/// This host's share of the calls in flight, in proportion to its share of the demand. Empty if
/// demand is low enough that no limit is needed, or if there is no healthy server.
std::optional<std::uint32_t> compute_in_flight_limit(const service_load& load);

}  // namespace hawthornlane
