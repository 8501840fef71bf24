// Protocol rules that the soak can disable, by name.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "hawthornlane/ownership/rules.h"

namespace hawthornlane::soak {

/// All rules but the named one; empty for an unknown name.
inline std::optional<ownership_rules> rules_without(const std::string& name) {
  static const std::map<std::string, bool ownership_rules::*> names{
      {"fence", &ownership_rules::replicas_fence},
      {"intent", &ownership_rules::intent_before_dispatch},
      {"seal", &ownership_rules::seal_all_before_not_run},
      {"charge", &ownership_rules::charge_open_intents},
      {"refusal", &ownership_rules::refusal_ends_ticket},
      {"ticket", &ownership_rules::ticket_bound_to_epoch}};
  const auto found = names.find(name);
  if (found == names.end()) {
    return std::nullopt;
  }
  ownership_rules rules;
  rules.*(found->second) = false;
  return rules;
}

}  // namespace hawthornlane::soak
