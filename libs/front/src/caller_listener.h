// The listener for callers: accepts their connections and serves them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/call_service.h"
#include "hawthornlane/overload/client_registry.h"
#include "hawthornlane/overload/drain_pace.h"
#include "hawthornlane/relay/caller_connection.h"

namespace hawthornlane::front {

/// What the listener uses; must outlive it.
struct caller_sources {
  net::deadline_sweeper& sweeper;
  const discovery::fleet_state& fleet;
  call_service& calls;
  std::shared_ptr<overload::client_registry> clients;
  std::size_t max_connections = 0;
  /// Whether a planned stop has begun.
  std::function<bool()> leaving;
};

/// Not thread-safe.
class caller_listener {
public:
  caller_listener(boost::asio::io_context& context, caller_sources sources);

  /// Listens and serves until closed. `owner` owns this object and is kept alive by each
  /// connection. Throws `boost::system::system_error` when it cannot listen.
  void listen(const http::endpoint& where, const std::shared_ptr<void>& owner);
  /// In a planned stop: accepts no more connections and closes those without a call.
  void close();
  [[nodiscard]] bool is_closing() const { return this->closing; }
  [[nodiscard]] std::size_t connections() const { return this->open_connections; }

private:
  boost::asio::awaitable<void> serve(std::shared_ptr<void> owner,
                                     boost::asio::ip::tcp::socket accepted);
  /// Serves the requests of one connection; returns true if the last one was refused before it was
  /// whole.
  boost::asio::awaitable<bool> serve_requests(relay::caller_connection& caller);

  boost::asio::io_context& context;
  caller_sources from;
  overload::listener* place;
  /// Response to a request whose connection has to yield to another one.
  std::string yield_response;
  boost::asio::ip::tcp::acceptor acceptor;
  std::size_t open_connections = 0;
  /// Connections on which requests are read.
  std::set<relay::caller_connection*> callers;
  bool closing = false;
  overload::drain_pace pace;
};

}  // namespace hawthornlane::front
