// Remote calls between hosts, over one persistent TCP connection per client.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::net {

/// Outcome of a call: `none` if there is a response, otherwise the reason why there is none.
enum class rpc_failure : std::uint8_t {
  none,
  /// Not sent; the other host has not seen the request.
  unreachable,
  /// Sent, then the connection closed or the call timed out: the request may have been executed.
  unknown,
  /// The other host cannot decode the request, does not serve the method, or has no room
  /// for the response; or the request is too large to send.
  refused,
};

/// Receives the outcome and the response, if there is one. Called exactly once.
using rpc_done = std::function<void(rpc_failure why, std::string answer)>;

/// Limit of the requests that are queued for sending, bytes per client; beyond it a call fails at
/// once as unreachable. Room for one request of the largest size (8 MB) and 2 MB of small ones,
/// which are some hundred.
constexpr std::size_t max_unsent_bytes = std::size_t{10} * 1024 * 1024;

/// Calls one other host. Connects when there is something to send. When a call times out and
/// nothing was received since it was sent, the connection is considered dead and closed.
/// Not thread-safe.
class rpc_client {
public:
  rpc_client(boost::asio::io_context& context, deadline_sweeper& sweeper, http::endpoint where);
  rpc_client(const rpc_client&) = delete;
  rpc_client& operator=(const rpc_client&) = delete;
  ~rpc_client();

  void call(std::uint16_t method, std::string payload, duration timeout, rpc_done done);
  [[nodiscard]] const http::endpoint& where() const;

  struct state;

private:
  std::shared_ptr<state> shared;
};

/// Sends the response; `std::nullopt` refuses the request.
using rpc_reply = std::function<void(std::optional<std::string> answer)>;
/// Serves one request. May reply later, but exactly once.
using rpc_handler = std::function<void(std::uint16_t method, std::string payload, rpc_reply reply)>;

/// Serves calls of other hosts. Not thread-safe.
class rpc_server {
public:
  /// Throws `boost::system::system_error` when it cannot listen.
  rpc_server(boost::asio::io_context& context, deadline_sweeper& sweeper,
             const http::endpoint& listen_at, rpc_handler handle);
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;
  ~rpc_server();

  [[nodiscard]] http::endpoint where() const;
  /// Bytes of responses, over all connections, that the kernel has not accepted yet.
  [[nodiscard]] std::size_t queued_bytes() const;
  /// Sets the limit of the queued response bytes; 16 MB by default. Beyond it a request is refused
  /// instead of answered. One connection may queue a quarter of the limit, but always one response
  /// of the largest size; a connection that exceeds this is closed.
  void limit_queued_bytes(std::size_t max_bytes);

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::net
