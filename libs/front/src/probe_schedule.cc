// Decides which of two front hosts sends the next probe.
#include "hawthornlane/front/probe_schedule.h"

#include <cstdint>

#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane::front {
namespace {

/// Divisor of the probe interval: extra time for a probe of the peer that may be in flight. With
/// few hosts it is 0.1 s, and the round trip to another zone takes some milliseconds.
constexpr int in_flight_divisor = 4;
/// Divisor of the probe interval: a failed probe is retried after this part. With retries
/// after half of the interval and a fifth of the messages lost, twice as many live hosts were
/// declared failed as without taking turns.
constexpr int retry_divisor = 3;

bool is_own_turn(const probe_times& times, bool goes_first, duration probe_interval) {
  const auto in_flight_allowance = probe_interval / in_flight_divisor;
  const auto difference = times.last_received - times.last_acked;
  const bool simultaneous = difference < in_flight_allowance && difference > -in_flight_allowance;
  return simultaneous ? goes_first : difference > duration::zero();
}

}  // namespace

double probe_phase(const host_id& host, const host_id& other) {
  constexpr std::uint64_t steps = 1 << 16;
  const std::uint64_t step = rendezvous_weight(host.get(), host_key_of(other).get()) % steps;
  return static_cast<double>(step) / steps;
}

bool is_probe_due(const probe_times& times, bool goes_first, duration probe_interval,
                  timestamp now) {
  if (now - times.last_sent < probe_interval / retry_divisor) {
    return false;
  }
  if (is_own_turn(times, goes_first, probe_interval)) {
    return now - times.last_received >= probe_interval;
  }
  return now - times.last_acked >= probe_interval + probe_interval / in_flight_divisor;
}

}  // namespace hawthornlane::front
