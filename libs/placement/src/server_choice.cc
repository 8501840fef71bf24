// Cost of sending a call to a server.
#include "hawthornlane/placement/server_choice.h"

#include <algorithm>

namespace hawthornlane {

namespace {

double calls_in_service(const server_estimate& server) {
  return std::min(server.calls, server.slots);
}

double queue_delay(const server_estimate& server) {
  return std::max(0.0, server.calls + 1 - server.slots) / server.slots;
}

double contention_delay(const server_estimate& server, const choice_rules& rules) {
  return rules.contention * calls_in_service(server) / server.slots;
}

}  // namespace

double relative_time(const server_estimate& server, const choice_rules& rules) {
  return 1 + queue_delay(server) + contention_delay(server, rules);
}

double placement_cost(const server_estimate& server, const choice_rules& rules) {
  const double delay = rules.delay_weight * calls_in_service(server);
  const double read_cost = server.missing_tokens * rules.read_token_cost * (1 + delay);
  const double load_cost = queue_delay(server) + contention_delay(server, rules) + read_cost;
  const double slower = server.slowdown - 1;
  return server.slowdown * load_cost + slower + (server.same_zone ? 0 : rules.cross_zone_cost);
}

}  // namespace hawthornlane
