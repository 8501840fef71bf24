// Which of two front hosts probes the other one next.
#include "hawthornlane/front/probe_schedule.h"

namespace hawthornlane::front {
namespace {

/// For a probe of the other host that is on its way, as a part of the pause: 0.1 s at few
/// hosts, where the way to another zone and back takes some milliseconds.
constexpr int way_part = 4;
/// A probe that fails is sent again after this part of the pause. With a half, twice as many
/// hosts were taken for gone while a fifth of the messages was lost as without turns.
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
