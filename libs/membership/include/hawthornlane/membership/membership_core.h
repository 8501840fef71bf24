// Who is alive: probing by one random host a period, with rumours on each probe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/membership/messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Times and sizes of the probing.
struct membership_times {
  duration period = std::chrono::milliseconds(500);
  /// Without an answer for this long, others are asked to probe.
  duration direct_wait = std::chrono::milliseconds(200);
  /// How long a suspicion lasts before the host counts as gone.
  duration suspicion = std::chrono::seconds(3);
  std::uint32_t indirect_probes = 2;
  /// Rumours on one message; bounds its size.
  std::uint32_t updates_per_message = 6;
  /// Times that one rumour is passed on, per doubling of the number of hosts.
  std::uint32_t repeats = 3;
};

/// Deliver a probe message.
struct send_probe {
  std::string address;
  probe_message message;
};

/// The belief about a host changed.
struct member_changed {
  member now;
  std::optional<member_state> before;
};

/// What the membership core asks its host to do.
struct membership_actions {
  std::vector<send_probe> probes;
  std::vector<member_changed> changes;
};

/// One host's view of all hosts of its region. No I/O, clock or randomness.
///
/// Promise: what it says steers preference only. A wrong suspicion costs a move
/// of a shard, never safety.
class membership_core {
public:
  membership_core(member self, membership_times times);

  /// Probes the next host; `random` orders the round. Call once a `period`.
  membership_actions tick(timestamp now, std::uint64_t random);
  membership_actions receive(const probe_message& message, timestamp now);
  /// A host from the platform's lagging list; older news than a peer's own.
  membership_actions listed(const member& seen, timestamp now);
  /// Announces the planned stop of this host.
  void leave();

  [[nodiscard]] const member& self() const { return this->own; }
  [[nodiscard]] const std::map<host_id, member>& members() const { return this->known; }
  [[nodiscard]] const member* find(const host_id& host) const;
  /// The member if this very incarnation of the host is alive or leaving.
  [[nodiscard]] const member* find_live(const host_incarnation& host) const;
  /// Hosts that may get new work, this one included when it stays.
  [[nodiscard]] std::vector<member> usable() const;
  void set_documents(std::uint64_t digest, bool current) {
    this->documents_digest = digest;
    this->documents_current = current;
  }

private:
  struct waiting_probe {
    host_incarnation target;
    timestamp sent;
    bool asked_others = false;
    /// Set when this host probes for another one.
    std::optional<std::string> on_behalf_of;
    std::uint64_t their_sequence = 0;
  };

  probe_message make(probe_message::kind what, std::uint64_t sequence);
  void attach_updates(probe_message& message);
  void merge(const member& seen, timestamp now, membership_actions& out);
  void adopt(const member& seen, timestamp now, membership_actions& out);
  void refute(const member& seen);
  void suspect(const host_incarnation& host, timestamp now, membership_actions& out);
  void end_suspicions(timestamp now, membership_actions& out);
  void check_waiting(timestamp now, membership_actions& out);
  void ask_others(std::uint64_t sequence, const waiting_probe& item, membership_actions& out);
  const member* next_target(std::uint64_t random);

  member own;
  membership_times times;
  std::map<host_id, member> known;
  std::map<host_id, timestamp> suspected_since;
  /// Times that the current belief about a host is still to be passed on.
  std::map<host_id, std::uint32_t> to_spread;
  std::map<std::uint64_t, waiting_probe> waiting;
  std::vector<host_id> round;
  std::uint64_t next_sequence = 1;
  std::uint64_t documents_digest = 0;
  bool documents_current = false;
};

}  // namespace hawthornlane
