// Gossip between front hosts: failure detection, and exchange of state, so that updates also reach
// a host whose requests the store rejects.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/fleet/store_read_schedule.h"
#include "hawthornlane/front/copy_fetch_scheduler.h"
#include "hawthornlane/front/copy_send_limiter.h"
#include "hawthornlane/front/event_loop_lag.h"
#include "hawthornlane/front/fleet_copies.h"
#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/front/newer_kinds.h"
#include "hawthornlane/front/peer_failure_detector.h"
#include "hawthornlane/front/peer_traffic.h"
#include "hawthornlane/front/probe_encoder.h"
#include "hawthornlane/front/suspicion_limits.h"
#include "hawthornlane/net/rpc.h"

namespace hawthornlane::front {

/// Callbacks into the rest of the host.
struct gossip_hooks : copy_hooks {
  /// Builds this host's current digest.
  std::function<gossip_digest()> self;
  /// Whether the send queue to other hosts has room for one more copy.
  std::function<bool()> may_send_copy = [] { return true; };
  /// Checksum of the crashes under requests that this host knows.
  std::function<std::uint64_t()> crash_checksum = [] { return 0; };
  /// A peer has sent its checksum.
  std::function<void(const host_id&, std::uint64_t checksum)> on_crash_checksum =
      [](const host_id&, std::uint64_t) {};
  /// Counts the bytes of this host's requests to its peers.
  peer_traffic traffic;
};

/// Counters of state copies (configuration, registries, set of disks).
struct copy_counters {
  /// Requests that the peer refused because it was already sending as many copies as it may.
  std::uint64_t put_off = 0;
  std::uint64_t asked = 0;
  std::uint64_t taken = 0;
  std::uint64_t failed = 0;
  std::uint64_t given = 0;
  std::uint64_t bytes_taken = 0;
  std::uint64_t bytes_given = 0;
};

/// One host's gossip with the other front hosts. Not thread-safe.
class peer_gossip {
public:
  peer_gossip(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
              discovery::fleet_state& fleet, store_read_schedule& read_schedule,
              gossip_hooks hooks);
  peer_gossip(const peer_gossip&) = delete;
  peer_gossip& operator=(const peer_gossip&) = delete;
  ~peer_gossip();

  /// Serves a request of a peer; `nullopt` when it is malformed.
  std::optional<std::string> serve(gossip_method method, const std::string& payload);
  /// Updates the peers from the host registry.
  void refresh_hosts();
  /// Sends the probes and copy requests that are due. Called at each pass of the event loop.
  void tick();
  /// Probes all peers at once, to publish new state from the store or a planned stop.
  void broadcast_state();

  /// Sends a request to a disk host through a peer that reaches disk hosts.
  void relay(const relayed_request& relayed, duration timeout, net::rpc_done done);
  /// This host's index among the live front hosts, ordered by name.
  [[nodiscard]] std::size_t rank() const;
  /// Entries of the live peers that are ready and not leaving.
  [[nodiscard]] std::vector<host_entry> ready_hosts() const;
  /// Names of the live peers that are not leaving.
  [[nodiscard]] std::vector<host_id> live_hosts() const;
  /// Sends a request to a peer.
  void send(const host_id& to, gossip_method method, const std::string& payload,
            net::rpc_done done);
  /// Demand of all live peers, one entry per peer and service.
  [[nodiscard]] std::vector<service_demand> demand_of_others() const;
  /// Total lag of this host's event loop since its start.
  [[nodiscard]] duration event_loop_lag_total() const;
  [[nodiscard]] const copy_counters& counters() const { return this->counts; }

private:
  struct peer;

  [[nodiscard]] std::chrono::milliseconds probe_interval() const;
  /// A peer that has sent nothing for this long counts as failed.
  [[nodiscard]] std::chrono::milliseconds silence_timeout() const;
  [[nodiscard]] detector_timing timing() const;
  /// Marks and logs the peers that no longer count as live.
  void mark_silent_peers();
  void probe(peer& other, const std::string& payload);
  /// Sends a request to a peer and counts the bytes.
  void call(peer& other, gossip_method method, std::string payload, duration timeout,
            net::rpc_done done);
  [[nodiscard]] bool regular_probe_due(const peer& other) const;
  /// Probes the peers whose regular probe is due, and some of those that others suspect.
  void run_probe_round();
  /// The message sent as a probe and as the answer to one.
  [[nodiscard]] const std::string& probe_bytes();
  /// The hosts that this host suspects.
  [[nodiscard]] std::set<host_key> suspected() const;
  void handle_message(peer& other, const probe_message& message);
  void handle_suspicions(const host_id& from, const std::vector<host_key>& suspected);
  /// Versions of this host's state.
  [[nodiscard]] known_versions own_versions() const;
  /// Whether a peer counts as live.
  [[nodiscard]] bool is_alive(const peer& other) const;
  /// Whether a peer has answered a request of this host within the silence timeout. A live peer
  /// may be unreachable in this direction only.
  [[nodiscard]] bool reaches(const host_id& other) const;
  /// Discards cached copies and compares versions with the peers again if this host's state has
  /// changed.
  void detect_state_changes();
  void compare_with_peers(copy_kind kind);
  /// Requests the copies that are due.
  void request_due_copies();
  void request_copy(const std::shared_ptr<peer>& other, copy_kind kind);
  void handle_copy_response(const host_id& from, copy_kind kind, std::string bytes);
  /// Tells the sender of a copy that it has arrived, or has been applied.
  void confirm_copy(const host_id& from, gossip_method method, copy_kind kind);
  /// Logs how long a copy took to fetch, and how many requests.
  void log_copy(const host_id& from, copy_kind kind, std::size_t bytes) const;
  std::optional<std::string> send_copy(const copy_request& request);
  void add_peer(const host_entry& entry);

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  discovery::fleet_state& fleet;
  store_read_schedule& read_schedule;
  gossip_hooks hooks;
  std::map<host_id, std::shared_ptr<peer>> peers;
  timestamp next_probe_round{};
  /// Invariant: cached copies are of the versions in `last_versions`.
  fleet_copies copies;
  suspicion_limits limits;
  event_loop_lag loop_lag;
  /// Invariant: expires at each probe round and with each change of `last_versions`.
  probe_encoder encoder;
  known_versions last_versions;
  copy_fetch_scheduler fetches;
  copy_send_limiter send_limiter;
  copy_counters counts;
  /// Expires with this object; answers of peers may arrive later.
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

}  // namespace hawthornlane::front
