// Carries claims of places at servers between the hosts whose calls want them and the hosts
// that keep the servers' entries.
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
  /// The call goes to the server; otherwise the place is free again.
  bool wanted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->wanted);
  }
};

/// What the exchange takes from the rest of the host.
struct place_hooks {
  /// The other front hosts that live.
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
    /// At all servers.
    refused,
    /// No keeper could tell: the call is placed by what this host knows itself.
    unknown,
    caller_left
  };
  kind outcome = kind::unknown;
  /// Of a granted claim.
  backend_server_id server;
  server_key key;
  /// Of a refused claim: before a place is free, by the keepers' expectation.
  duration wait{};
};

/// The wait of one call for a place, for the one who may end it.
class place_wait {
public:
  /// The caller is gone.
  void leave();

private:
  friend class place_exchange;
  struct open_claim;
  std::weak_ptr<open_claim> open;
  bool left = false;
};

/// One host's claims at keepers, and the claims of all hosts at the servers that it keeps. For
/// one thread.
class place_exchange {
public:
  /// `counts`: the calls that hosts have told this one of; outlives the exchange.
  place_exchange(boost::asio::io_context& context, host_id own, const placement_directory& counts,
                 call_metrics& metrics, place_hooks hooks);

  /// Claims a place at each of `targets`, and waits until one is granted, all are refused, or no
  /// keeper can tell.
  boost::asio::awaitable<claim_result> claim(const placement_request& request,
                                             std::vector<place_target> targets, place_wait& wait);
  /// The call that was granted a place does not go there.
  void give_back(placement_id call, server_key server);
  /// Serves another host; nothing when the message is malformed.
  std::optional<std::string> serve(gossip_method method, const std::string& payload);
  /// A host has told a new count to this one, as the server's keeper.
  void count_changed(const host_id& host, const server_load& load, std::uint32_t before);
  /// Calls that wait for the server, as far as they would delay another one.
  [[nodiscard]] std::uint32_t waiting(server_key server) const;
  /// Gives out places whose grants have lapsed, and notes which hosts live.
  void tick();

private:
  using open_claim = place_wait::open_claim;
  using open_claim_ptr = std::shared_ptr<open_claim>;

  [[nodiscard]] host_id keeper_of_server(server_key server) const;
  boost::asio::awaitable<void> wait_for_grant(open_claim_ptr item);
  /// How the claim ended, counted and logged.
  claim_result result_of(const open_claim& item);
  void send_claims(const open_claim_ptr& item);
  void take_answer(const open_claim_ptr& item, std::size_t target, const claim_response& answer);
  /// No answer came. A claim that waits goes on: its keeper was busy, or another one is asked next.
  static void lose_answer(open_claim& item, std::size_t target);
  /// The places that the call has claimed beside the one it takes.
  void withdraw_others(const open_claim& item);
  void send_withdrawal(const place_grant& withdrawn);
  /// Tells hosts of the places granted to them.
  void tell_grants();
  void tell_grant(const place_grant& grant);
  /// The host's answer: whether the call of this host still wants the place.
  bool take_grant(const place_grant& grant);
  static void log_refused(const open_claim& item, duration wait);

  boost::asio::io_context& context;
  host_id self;
  call_metrics& metrics;
  place_hooks hooks;
  place_queue queue;
  /// As of the latest tick.
  std::optional<std::vector<host_id>> live_hosts;
  std::map<placement_id, open_claim_ptr> open;
  /// Grants are being told; those that come up meanwhile are told by the same loop.
  bool telling = false;
};

}  // namespace hawthornlane::front
