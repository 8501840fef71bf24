// Cost of sending a call to a server.
#include "hawthornlane/placement/server_choice.h"

#include <algorithm>

namespace hawthornlane {

namespace {

double calls_beside(const server_prospect& server) { return std::min(server.calls, server.slots); }

double waiting_at(const server_prospect& server) {
  return std::max(0.0, server.calls + 1 - server.slots) / server.slots;
}

double crowding_at(const server_prospect& server, const choice_rules& rules) {
  return rules.crowding * calls_beside(server) / server.slots;
}

}  // namespace

double time_at(const server_prospect& server, const choice_rules& rules) {
  return 1 + waiting_at(server) + crowding_at(server, rules);
}

double cost_of(const server_prospect& server, const choice_rules& rules) {
  const double others_delayed = rules.delayed_others * calls_beside(server);
  const double reading = server.missing_tokens * rules.token * (1 + others_delayed);
  const double loaded = waiting_at(server) + crowding_at(server, rules) + reading;
  const double slower = server.slowness - 1;
  return server.slowness * loaded + slower + (server.near ? 0 : rules.far);
}

}  // namespace hawthornlane
