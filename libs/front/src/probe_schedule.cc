// Decides which of two front hosts sends the next probe.
#include "hawthornlane/front/probe_schedule.h"

namespace hawthornlane::front {
namespace {

/// Divisor of the probe interval: allowance for a probe of the peer that is in flight. 0.1 s with
/// few hosts, where the round trip to another zone takes some milliseconds.
constexpr int in_flight_divisor = 4;
/// Divisor of the probe interval: a failed probe is retried after this part. With half of the
/// interval and a fifth of the messages lost, twice as many live hosts were declared failed as
/// without turns.
constexpr int retry_divisor = 3;

bool is_own_turn(const probe_times& times, bool goes_first, duration probe_interval) {
  const auto in_flight_allowance = probe_interval / in_flight_divisor;
  const auto difference = times.last_received - times.last_acked;
  const bool simultaneous = difference < in_flight_allowance && difference > -in_flight_allowance;
  return simultaneous ? goes_first : difference > duration::zero();
}

}  // namespace

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
