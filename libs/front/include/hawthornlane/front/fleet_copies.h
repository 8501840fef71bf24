// Encodes copies of this host's state for other front hosts, and applies copies received from them.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/copy_messages.h"
#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane::front {

/// Sources and targets of copies, besides the fleet state.
struct copy_hooks {
  /// Decodes a configuration in the form in which hosts exchange it.
  std::function<std::optional<configuration>(const std::string& copy)> decode_configuration;
  /// The newest set of disks that this host has, if any.
  std::function<std::optional<ledger_set>()> ledger;
  std::function<void(const ledger_set&, const host_id& from)> apply_ledger_set;
};

/// Copies of one host's state. Not thread-safe.
class fleet_copies {
public:
  fleet_copies(discovery::fleet_state& state, copy_hooks callbacks)
      : fleet(state), hooks(std::move(callbacks)) {}

  /// Applies a received copy to this host's state; false when the bytes are malformed.
  bool apply(const host_id& from, copy_kind kind, const std::string& copy);
  /// This host's state of one kind, encoded once and cached until `invalidate`; `nullopt` when it
  /// has none.
  const std::optional<std::string>& ready(copy_kind kind);
  /// Discards the cached copy because this host's state of that kind has changed.
  void invalidate(copy_kind kind) { this->cached[kind].reset(); }

private:
  [[nodiscard]] std::optional<std::string> encode(copy_kind kind) const;

  discovery::fleet_state& fleet;
  copy_hooks hooks;
  per_copy_kind<std::optional<std::string>> cached;
};

}  // namespace hawthornlane::front
