// How many suspected hosts a message names, and how many hosts are probed because others suspect
// them. No I/O, clock or randomness.
//
// Answers the start of many hosts at once, and any moment at which all of them are slow. Each
// then suspects most others; without limits a message named up to 300 hosts, each name brought a
// probe, and the probes made all hosts slower still.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "hawthornlane/front/gossip_messages.h"

namespace hawthornlane::front {

/// Takes a few of a set of hosts at a time, so that each gets its turn.
class host_round_robin {
public:
  /// At most `most` of these, beginning after the last one taken before.
  [[nodiscard]] std::vector<host_key> next(const std::set<host_key>& all, std::size_t most);

private:
  host_key last;
};

/// One host's limits on what suspicions cost it and others.
class suspicion_limits {
public:
  /// Four bytes each: a message stays below 0.5 KB at any number of hosts. All of half of 83
  /// hosts, when these die at once, fit into one message.
  static constexpr std::size_t most_named = 48;
  /// Between two looks of 0.1 s: 120 probes a second, four times what a host sends of itself.
  /// Half of 83 hosts are asked within 0.4 s.
  static constexpr std::size_t most_probes = 12;

  /// The hosts that the next message names, of all that this host suspects.
  [[nodiscard]] std::vector<host_key> to_name(const std::set<host_key>& suspected);
  /// A new look begins: the hosts to probe now, of all that others suspect and this host has not
  /// asked since. The rest waits for the next look.
  [[nodiscard]] std::vector<host_key> to_probe(const std::set<host_key>& doubted);
  /// Whether one more such host may be probed before the next look; it then counts as probed.
  [[nodiscard]] bool admit_probe();

private:
  host_round_robin naming;
  host_round_robin probing;
  /// Invariant: at most `most_probes`; since the last look.
  std::size_t probed = 0;
};

}  // namespace hawthornlane::front
