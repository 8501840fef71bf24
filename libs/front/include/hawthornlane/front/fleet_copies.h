// Whole copies of what front hosts know: packed for others, and taken from others.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/copy_messages.h"
#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane::front {

/// What copies are made of and taken into, besides the state of the fleet.
struct copy_hooks {
  /// Decodes a configuration as hosts pass it on.
  std::function<std::optional<configuration>(const std::string& copy)> decode_configuration;
  /// The newest set of disks that this host knows, if any.
  std::function<std::optional<ledger_set>()> ledger;
  std::function<void(const ledger_set&, const host_id& from)> apply_ledger_set;
};

/// One host's knowledge as copies. For one thread.
class fleet_copies {
public:
  fleet_copies(discovery::fleet_state& state, copy_hooks with)
      : fleet(state), hooks(std::move(with)) {}

  /// Takes a copy into this host's beliefs; false when the bytes are none.
  bool take(const host_id& from, copy_kind kind, const std::string& copy);
  /// What this host knows of one kind, whole, made once for all that ask until `renew`; nothing
  /// when it knows nothing.
  const std::optional<std::string>& ready(copy_kind kind);
  /// This host's knowledge of that kind has changed.
  void renew(copy_kind kind) { this->made[kind].reset(); }

private:
  [[nodiscard]] std::optional<std::string> make(copy_kind kind) const;

  discovery::fleet_state& fleet;
  copy_hooks hooks;
  per_copy_kind<std::optional<std::string>> made;
};

}  // namespace hawthornlane::front
