// This host's view of the other hosts.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/membership/membership_core.h"

namespace hawthornlane {

/// A thread-safe wrapper around the membership core.
class host_view {
public:
  host_view(member self, membership_times times) : core(std::move(self), times) {}

  membership_actions tick(timestamp now, std::uint64_t random);
  membership_actions receive(const probe_message& message, timestamp now);
  /// Called for a member that the platform lists.
  membership_actions listed(const member& seen, timestamp now);
  void leave();
  void set_documents(std::uint64_t digest, bool current);

  [[nodiscard]] member self() const;
  [[nodiscard]] std::vector<member> all() const;
  [[nodiscard]] std::vector<member> usable() const;
  [[nodiscard]] std::optional<member> find(const host_id& host) const;
  /// The member, if that incarnation of it is alive or leaving.
  [[nodiscard]] std::optional<member> find_live(const host_incarnation& host) const;
  /// Whether that incarnation has ended: it is gone, or a later one has started.
  [[nodiscard]] bool has_ended(const host_incarnation& host) const;

private:
  mutable std::mutex mutex;
  membership_core core;
};

}  // namespace hawthornlane
