// Serves one call from its first byte to its answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/front/call_metrics.h"
#include "hawthornlane/front/turn_keeper.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/placement/server_pool.h"
#include "hawthornlane/relay/backend_pool.h"
#include "hawthornlane/relay/caller_link.h"

namespace hawthornlane::front {

/// The calls of one front host. For one thread.
class call_service {
public:
  call_service(boost::asio::io_context& context, host_id own, availability_zone here,
               discovery::fleet_state& fleet, relay::backend_pool& backends,
               const relay::call_codec& codec, turn_keeper& turns, call_metrics& metrics);
  call_service(const call_service&) = delete;
  call_service& operator=(const call_service&) = delete;
  ~call_service();

  /// Answers one request.
  boost::asio::awaitable<void> serve(relay::caller_link& caller, http::request request);
  /// Answers a request that could not be read, or that no host may serve now.
  boost::asio::awaitable<void> refuse(relay::caller_link& caller, const failure& why,
                                      const std::string& id);
  /// Tells the pools which servers there are now.
  void refresh_servers();
  /// Ends waits whose time is over, and tries again what waits for a server.
  void tick();
  /// Calls that have been read and not answered.
  [[nodiscard]] std::size_t under_way() const { return this->calls; }
  /// From now on calls are turned away; used near the end of a planned stop.
  void turn_away() { this->turning_away = true; }

private:
  struct call;
  struct waiter;
  struct acquired;

  server_pool& pool_of(const service_name& name);
  void deliver(const std::vector<placement>& placed);
  boost::asio::awaitable<void> run(call& one);
  /// Decodes the call and finds its route; why it cannot be served otherwise.
  std::optional<failure> prepare(call& one);
  /// Offers the call to one server; true when it is to be offered to another one.
  boost::asio::awaitable<bool> run_once(call& one, server_pool& pool);
  static token_count tokens_handed_out(const call& one);
  boost::asio::awaitable<bool> admit(call& one);
  boost::asio::awaitable<acquired> acquire(call& one, server_pool& pool);
  boost::asio::awaitable<relay::try_outcome> try_server(call& one, const backend_entry& server);
  boost::asio::awaitable<bool> stream_head(call& one, const relay::backend_answer& head);
  boost::asio::awaitable<bool> stream_bytes(call& one, std::string_view bytes);
  boost::asio::awaitable<void> finish_whole(call& one);
  boost::asio::awaitable<void> finish_stream(call& one);
  boost::asio::awaitable<void> give_up(call& one, failure why);
  boost::asio::awaitable<void> settle_broken(call& one);
  [[nodiscard]] bool may_try_again(const call& one, relay::try_outcome outcome) const;
  void log_call(const call& one) const;

  boost::asio::io_context& context;
  host_id own;
  availability_zone zone;
  discovery::fleet_state& fleet;
  relay::backend_pool& backends;
  const relay::call_codec& codec;
  turn_keeper& turns;
  call_metrics& metrics;
  std::map<service_name, server_pool> pools;
  std::map<placement_id, waiter*> waiters;
  placement_id last_placement;
  std::size_t calls = 0;
  bool turning_away = false;
};

}  // namespace hawthornlane::front
