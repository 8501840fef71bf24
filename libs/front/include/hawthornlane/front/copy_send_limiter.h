// Limits how many state copies a host sends at a time, and names other hosts that have the state.
// No I/O or clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "hawthornlane/front/copy_messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Sends few copies of a kind at once; hosts that have received one send it on. A change thus
/// reaches all hosts in a few rounds, and only a few copies queue for a host's link, whatever the
/// number of hosts: 1.4 MB instead of 34 MB for a configuration of 700 KB and 24 hosts
/// (configuration_spread_test). Without the limit, fetches that time out are repeated while their
/// copies are still queued.
class copy_send_limiter {
public:
  /// Concurrent copies allowed for any size. The second one keeps the link busy while the first
  /// receiver confirms its copy.
  static constexpr std::size_t min_concurrent_copies = 2;
  /// More concurrent copies are allowed up to this many bytes in total: 17 ms of a link of
  /// 30 Mbit/s.
  static constexpr std::size_t max_burst_bytes = std::size_t{64} * 1024;
  /// A copy not confirmed within this time counts as lost. The receiver waits as long for it.
  static constexpr duration confirmation_timeout = std::chrono::seconds(1);
  /// Maximum number of hosts named in a refusal. They are the last ones that received a copy, so
  /// most of them are not sending any yet.
  static constexpr std::size_t max_holders = 4;

  /// True when a copy may be sent to `receiver` now; it is then counted as in flight. If the
  /// receiver asks again, its previous copy is lost and no longer counted.
  bool try_begin(copy_kind kind, const host_id& receiver, std::size_t bytes, timestamp now);
  /// The copy has arrived. The receiver may take long to apply it, and the link is free meanwhile.
  void received(copy_kind kind, const host_id& receiver);
  /// The receiver has applied its copy.
  void taken(copy_kind kind, const host_id& receiver);
  /// This host's state of that kind has changed: no host has received it yet.
  void invalidate(copy_kind kind);
  [[nodiscard]] std::vector<host_id> holders(copy_kind kind) const;

private:
  struct copy_in_flight {
    timestamp began;
    std::size_t bytes = 0;
    /// Whether the copy is of the newest state. The receiver of an older one is not a holder.
    bool is_newest = true;
    bool has_arrived = false;
  };
  struct send_state {
    /// By receiver. Invariant: of those that have not arrived, at most `min_concurrent_copies`, or
    /// `max_burst_bytes` together.
    std::map<host_id, copy_in_flight> in_flight;
    /// Most recent first. Invariant: at most `max_holders`, each once.
    std::deque<host_id> holders;
  };

  per_copy_kind<send_state> send_states;
};

}  // namespace hawthornlane::front
