// Front hosts tell each other that they live and what they know, so that news
// reach a host that the store turns away.
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

/// What the gossip takes from and gives to the rest of the host.
struct gossip_hooks : copy_hooks {
  /// What this host is and knows.
  std::function<gossip_digest()> self;
  /// Whether what waits to be sent to other hosts leaves room for one more copy.
  std::function<bool()> may_give_copy = [] { return true; };
  /// Counts what this host asks of other front hosts.
  peer_traffic traffic;
};

/// Whole copies of what hosts know (configuration, registries, set of disks), counted.
struct copy_counters {
  /// Questions that were put off, since the host asked gave enough copies already.
  std::uint64_t put_off = 0;
  std::uint64_t asked = 0;
  std::uint64_t taken = 0;
  std::uint64_t failed = 0;
  std::uint64_t given = 0;
  std::uint64_t bytes_taken = 0;
  std::uint64_t bytes_given = 0;
};

/// One host's talk with the other front hosts. For one thread.
class peer_gossip {
public:
  peer_gossip(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
              discovery::fleet_state& fleet, store_read_schedule& checks, gossip_hooks hooks);
  peer_gossip(const peer_gossip&) = delete;
  peer_gossip& operator=(const peer_gossip&) = delete;
  ~peer_gossip();

  /// Serves another front host; nothing when the request is malformed.
  std::optional<std::string> serve(gossip_method method, const std::string& payload);
  /// The front hosts may have changed.
  void refresh_hosts();
  /// Probes the others when it is time to.
  void tick();
  /// Tells everybody at once: what was just read from the store, or a planned stop.
  void broadcast_state();

  /// Has a front host that reaches disk hosts pass a question on.
  void relay(const relayed_request& question, duration limit, net::rpc_done done);
  /// This host's place among the front hosts that live, by name.
  [[nodiscard]] std::size_t rank() const;
  /// Where callers reach the front hosts that are ready, this one left out.
  [[nodiscard]] std::vector<host_entry> ready_hosts() const;
  /// The other front hosts that live and stay.
  [[nodiscard]] std::vector<host_id> live_hosts() const;
  /// Sends a message to one of them.
  void send(const host_id& to, gossip_method method, const std::string& payload,
            net::rpc_done done);
  /// What the other front hosts that live need of the services.
  [[nodiscard]] std::vector<service_demand> demand_of_others() const;
  [[nodiscard]] const copy_counters& counters() const { return this->counts; }

private:
  struct peer;

  [[nodiscard]] std::chrono::milliseconds probe_pause() const;
  /// After this long without a word another host counts as gone.
  [[nodiscard]] std::chrono::milliseconds silence() const;
  [[nodiscard]] detector_timing pace() const;
  /// Notes which hosts no longer count as living.
  void note_silent();
  void probe(peer& other, const std::string& payload);
  /// Calls another front host, and counts the bytes.
  void call(peer& other, gossip_method method, std::string payload, duration limit,
            net::rpc_done done);
  [[nodiscard]] bool turn_due(const peer& other) const;
  /// Probes whom it is this host's turn to probe, and some of those whom others suspect.
  void probe_due_ones();
  /// What this host tells with a probe, and in answer to one.
  [[nodiscard]] const std::string& probe_bytes();
  /// The hosts that this host suspects.
  [[nodiscard]] std::set<host_key> suspected() const;
  void hear(peer& other, const probe_message& message);
  void hear_suspicions(const host_id& from, const std::vector<host_key>& suspected);
  /// How far this host's own knowledge goes.
  [[nodiscard]] known_versions known() const;
  /// Whether another host still counts as one that lives.
  [[nodiscard]] bool lives(const peer& other) const;
  /// Whether another host has lately answered this one; one that lives may be cut off in this
  /// direction.
  [[nodiscard]] bool reaches(const host_id& other) const;
  /// Hears again who is ahead once this host's own knowledge has changed.
  void note_progress();
  void hear_again(copy_kind kind);
  /// Asks for the copies of which one is due.
  void ask_due();
  void ask(const std::shared_ptr<peer>& other, copy_kind kind);
  void take_answer(const host_id& from, copy_kind kind, std::string bytes);
  std::optional<std::string> give_copy(const copy_request& request);
  void add_peer(const host_entry& entry);

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  discovery::fleet_state& fleet;
  store_read_schedule& checks;
  gossip_hooks hooks;
  std::map<host_id, std::shared_ptr<peer>> peers;
  timestamp next_look{};
  /// Invariant: those made are of `last_known`.
  fleet_copies copies;
  suspicion_limits limits;
  event_loop_lag lateness;
  /// Invariant: expires at each look and with each change of `last_known`.
  probe_encoder encoder;
  known_versions last_known;
  copy_fetch_scheduler intake;
  copy_send_limiter outlet;
  copy_counters counts;
  /// Gone with this object, which answers of other hosts may outlive.
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

}  // namespace hawthornlane::front
