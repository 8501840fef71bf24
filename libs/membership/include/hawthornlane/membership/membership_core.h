// Membership and failure detection in the manner of SWIM: each host probes one random host per
// period, and membership updates are spread by gossip on the probe messages.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/membership/messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Timeouts and sizes of probing and gossip.
struct membership_times {
  duration period = std::chrono::milliseconds(500);
  /// Time without an answer after which other hosts are asked to probe the target.
  duration direct_timeout = std::chrono::milliseconds(200);
  /// Time from the start of a suspicion after which the host counts as gone.
  duration suspicion = std::chrono::seconds(3);
  std::uint32_t indirect_probes = 2;
  /// Most updates on one message; limits its size.
  std::uint32_t updates_per_message = 6;
  /// How many times an update is sent per doubling of the number of hosts.
  std::uint32_t retransmit_multiplier = 3;
};

/// Send a probe message.
struct send_probe {
  std::string address;
  probe_message message;
};

/// The state of a host changed in this host's view.
struct member_changed {
  member now;
  std::optional<member_state> before;
};

/// Actions that the membership core returns and its host carries out.
struct membership_actions {
  std::vector<send_probe> probes;
  std::vector<member_changed> changes;
};

/// One host's view of all hosts of its region. It does no I/O and has no clock and no random
/// source.
///
/// Its output is used for preference only: a wrong suspicion moves a shard, and safety does not
/// depend on it.
class membership_core {
public:
  membership_core(member self, membership_times times);

  /// Probes the next host; to be called once per `period`. `random` is the seed of the probe order
  /// when a new round begins.
  membership_actions tick(timestamp now, std::uint64_t random);
  membership_actions receive(const probe_message& message, timestamp now);
  /// Adds a host from the platform's list if it is unknown. The list lags behind, so it does not
  /// change a host that is known already.
  membership_actions listed(const member& reported, timestamp now);
  /// Announces the planned stop of this host.
  void leave();

  [[nodiscard]] const member& self() const { return this->own; }
  [[nodiscard]] const std::map<host_id, member>& members() const { return this->known; }
  [[nodiscard]] const member* find(const host_id& host) const;
  /// The member if exactly this incarnation of the host is alive or leaving.
  [[nodiscard]] const member* find_live(const host_incarnation& host) const;
  /// Hosts that may get new work, including this one unless it is leaving.
  [[nodiscard]] std::vector<member> usable() const;
  void set_documents(std::uint64_t digest, bool current) {
    this->documents_digest = digest;
    this->documents_current = current;
  }

private:
  struct pending_probe {
    host_incarnation target;
    timestamp sent;
    bool sent_ping_requests = false;
    /// Reply address of the host that requested this probe; absent for this host's own probes.
    std::optional<std::string> requester_address;
    std::uint64_t requester_sequence = 0;
  };

  probe_message make_message(probe_message::kind what, std::uint64_t sequence);
  void attach_updates(probe_message& message);
  void merge(const member& reported, timestamp now, membership_actions& out);
  void set_member(const member& reported, timestamp now, membership_actions& out);
  void refute(const member& reported);
  void suspect(const host_incarnation& host, timestamp now, membership_actions& out);
  void expire_suspicions(timestamp now, membership_actions& out);
  void check_pending_probes(timestamp now, membership_actions& out);
  void send_ping_requests(std::uint64_t sequence, const pending_probe& item,
                          membership_actions& out);
  const member* next_target(std::uint64_t random);

  member own;
  membership_times times;
  std::map<host_id, member> known;
  std::map<host_id, timestamp> suspected_since;
  /// How many more times the current state of each host is sent.
  std::map<host_id, std::uint32_t> remaining_sends;
  std::map<std::uint64_t, pending_probe> pending_probes;
  std::vector<host_id> probe_order;
  std::uint64_t next_sequence = 1;
  std::uint64_t documents_digest = 0;
  bool documents_current = false;
};

}  // namespace hawthornlane
