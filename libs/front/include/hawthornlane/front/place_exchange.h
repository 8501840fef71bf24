// Claims places at full backend servers. A place lets one call be at a server; a server has one
// place more than it has slots. Hosts send claims to the server's directory host, which stores the
// server's directory entry, queues the claims and grants places.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/front/call_metrics.h"
#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/placement/place_queue.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane::front {

/// The answer to a grant.
struct grant_answer {
  /// The call will use the place; otherwise the place is free again.
  bool wanted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->wanted);
  }
};

/// Callbacks from the exchange to the rest of the host.
struct place_hooks {
  /// The other live front hosts.
  std::function<std::vector<host_id>()> hosts;
  /// Sends a message to another host.
  std::function<void(const host_id& to, gossip_method method, const std::string& payload,
                     net::rpc_done done)>
      send;
};

/// How a call's claims ended.
struct claim_result {
  enum class kind : std::uint8_t {
    granted,
    /// Refused at all servers.
    refused,
    /// No directory host could decide: the call is placed by this host's own information.
    unknown,
    caller_left
  };
  kind outcome = kind::unknown;
  /// Only if granted.
  backend_server_id server;
  server_key key;
  /// Only if refused: the directory hosts' estimate of the time until a place is free.
  duration wait{};
};

/// Cancels a call's wait for a place from outside the waiting coroutine.
class place_wait {
public:
  /// The caller has disconnected.
  void cancel();

private:
  friend class place_exchange;
  struct open_claim;
  std::weak_ptr<open_claim> open;
  bool left = false;
};

/// Sends this host's claims to directory hosts, and queues all hosts' claims at the servers whose
/// directory host is this one. Not thread-safe.
class place_exchange {
public:
  /// `counts`: the loads that hosts have reported to this one; must outlive the exchange.
  place_exchange(boost::asio::io_context& context, host_id own_host,
                 const placement_directory& counts, call_metrics& metrics, place_hooks hooks);

  /// Claims a place at each of `targets` and waits until one is granted, all are refused, or no
  /// directory host can decide.
  boost::asio::awaitable<claim_result> claim(const placement_request& request,
                                             std::vector<place_target> targets, place_wait& wait);
  /// Returns a granted place that the call will not use.
  void return_place(placement_id call, server_key server);
  /// Handles a message of another host; returns nothing if it is malformed.
  std::optional<std::string> serve(gossip_method method, const std::string& payload);
  /// A host has reported a new load of a server whose directory host is this one.
  void count_changed(const host_id& host, const server_load& load, std::uint32_t before);
  /// Number of waiting calls that would delay another call for this server.
  [[nodiscard]] std::uint32_t waiting(server_key server) const;
  /// Grants places whose earlier grants have expired, and updates the list of live hosts.
  void tick();

private:
  using open_claim = place_wait::open_claim;
  using open_claim_ptr = std::shared_ptr<open_claim>;

  [[nodiscard]] host_id directory_host_of(server_key server) const;
  boost::asio::awaitable<void> wait_for_grant(open_claim_ptr item);
  /// Determines how the claim ended; counts and logs it.
  claim_result result_of(const open_claim& item);
  void send_claims(const open_claim_ptr& item);
  void apply_response(const open_claim_ptr& item, std::size_t target, const claim_response& answer);
  /// Handles a missing answer. A claim that waits stays valid: its directory host was busy, or the
  /// repeat goes to the next one.
  static void handle_missing_answer(open_claim& item, std::size_t target);
  /// Withdraws the call's claims at all servers but the one that it uses.
  void withdraw_others(const open_claim& item);
  void send_withdrawal(const place_grant& withdrawn);
  /// Sends all new grants to their hosts.
  void send_grants();
  void send_grant(const place_grant& grant);
  /// Accepts a grant for a call of this host; returns whether the call still wants the place.
  bool accept_grant(const place_grant& grant);
  static void log_refused(const open_claim& item, duration wait);

  boost::asio::io_context& context;
  host_id self;
  call_metrics& metrics;
  place_hooks hooks;
  place_queue queue;
  /// As of the latest tick.
  std::optional<std::vector<host_id>> live_hosts;
  std::map<placement_id, open_claim_ptr> open;
  /// Guards against reentry: grants that are added while `send_grants` runs are sent by its loop.
  bool sending_grants = false;
};

}  // namespace hawthornlane::front
