// Decides which of two front hosts sends the next probe.
#include "hawthornlane/front/probe_schedule.h"

namespace hawthornlane::front {
namespace {

/// Divisor of the probe interval: allowance for a probe of the peer that is in flight. 0.1 s with
/// few hosts, where the round trip to another zone takes some milliseconds.
constexpr int way_part = 4;
/// Divisor of the probe interval: a failed probe is retried after this part. With half of the
/// interval and a fifth of the messages lost, twice as many live hosts were declared failed as
/// without turns.
constexpr int retry_part = 3;

bool is_own_turn(const probe_times& moments, bool goes_first, duration pause) {
  const auto way = pause / way_part;
  const auto later = moments.was_probed - moments.probed;
  const bool at_once = later < way && later > -way;
  return at_once ? goes_first : later > duration::zero();
}

}  // namespace

bool is_probe_due(const probe_times& moments, bool goes_first, duration pause, timestamp now) {
  if (now - moments.tried < pause / retry_part) {
    return false;
  }
  if (is_own_turn(moments, goes_first, pause)) {
    return now - moments.was_probed >= pause;
  }
  return now - moments.probed >= pause + pause / way_part;
}

}  // namespace hawthornlane::front
