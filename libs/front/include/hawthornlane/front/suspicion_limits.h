// Limits the suspected hosts named in a message, and the probes sent because others suspect a host.
// No I/O, clock or randomness.
//
// Avoids overload when many hosts start at once or all of them are slow. Each host then suspects
// most others. Without limits a message named up to 300 hosts, each name caused a probe, and the
// probes slowed all hosts down further.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "hawthornlane/front/gossip_messages.h"

namespace hawthornlane::front {

/// Selects a few hosts of a set at a time, round robin.
class host_round_robin {
public:
  /// At most `max_count` hosts of `all`, starting after the last one selected before.
  [[nodiscard]] std::vector<host_key> next(const std::set<host_key>& all, std::size_t max_count);

private:
  host_key last;
};

/// One host's limits on the cost of suspicions, for itself and for its peers.
class suspicion_limits {
public:
  /// Hosts named in one message. Four bytes each: a message stays below 0.5 KB for any number of
  /// hosts. If half of 83 hosts fail at once, all of them fit into one message.
  static constexpr std::size_t max_named = 48;
  /// Probes per probe round of 0.1 s that are sent because others suspect a host: 120 a second,
  /// four times the regular probes of a host. Half of 83 hosts are probed within 0.4 s.
  static constexpr std::size_t max_probes_per_round = 12;

  /// Selects the hosts that the next message names, of all that this host suspects.
  [[nodiscard]] std::vector<host_key> select_to_name(const std::set<host_key>& suspected);
  /// Starts a probe round and selects the hosts to probe, of all that others suspect and this host
  /// has not probed since. The others wait for the next round.
  [[nodiscard]] std::vector<host_key> select_to_probe(const std::set<host_key>& confirmation_due);
  /// Whether one more host may be probed before the next round because others suspect it. If so,
  /// the probe is counted.
  [[nodiscard]] bool admit_reported_probe();

private:
  host_round_robin naming_rotation;
  host_round_robin probe_rotation;
  /// Probes of the current round. Invariant: at most `max_probes_per_round`.
  std::size_t probes_in_round = 0;
};

}  // namespace hawthornlane::front
