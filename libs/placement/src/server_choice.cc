// What it costs to send a call to one server or another.
#include "hawthornlane/placement/server_choice.h"

#include <algorithm>

namespace hawthornlane {

double cost_of(const server_prospect& server, const choice_rules& rules) {
  const double beside = std::min(server.calls, server.slots);
  const double ahead = std::max(0.0, server.calls + 1 - server.slots);
  const double waiting = ahead / server.slots;
  const double crowded = rules.crowding * beside / server.slots;
  const double reading = server.missing_tokens * rules.token * (1 + rules.delayed_others * beside);
  return waiting + crowded + reading + (server.near ? 0 : rules.far);
}

}  // namespace hawthornlane
