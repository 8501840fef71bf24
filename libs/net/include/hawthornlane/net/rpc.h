// Calls between hosts over one kept TCP connection a pair.
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

/// Why a call brought no answer.
enum class rpc_failure : std::uint8_t {
  none,
  /// Not connected; the other host has seen nothing.
  unreachable,
  /// Sent, then the connection ended or the time was over: it may have been acted on.
  unknown,
  /// The other host cannot read the request, does not serve the method, or has no room
  /// for the answer; or the request is too large to be sent.
  refused,
};

/// Receives the answer, or why there is none. Called once.
using rpc_done = std::function<void(rpc_failure why, std::string answer)>;

/// Requests that wait to be sent to one other host, bytes (each client for itself); beyond it a
/// call fails at once as unreachable. One of the largest requests fits beside some hundred small
/// ones.
constexpr std::size_t max_unsent_bytes = std::size_t{10} * 1024 * 1024;

/// One other host. Connects when there is something to send; a connection on which
/// a call timed out without a byte from the other side is given up as silent.
/// For one thread.
class rpc_client {
public:
  rpc_client(boost::asio::io_context& context, deadline_sweeper& sweeper, http::endpoint where);
  rpc_client(const rpc_client&) = delete;
  rpc_client& operator=(const rpc_client&) = delete;
  ~rpc_client();

  void call(std::uint16_t method, std::string payload, duration limit, rpc_done done);
  [[nodiscard]] const http::endpoint& where() const;

  struct state;

private:
  std::shared_ptr<state> shared;
};

/// Sends one answer; nothing refuses the request.
using rpc_reply = std::function<void(std::optional<std::string> answer)>;
/// Serves one request; may reply later, but once.
using rpc_handler = std::function<void(std::uint16_t method, std::string payload, rpc_reply reply)>;

/// Listens for other hosts' calls. For one thread.
class rpc_server {
public:
  /// Throws `boost::system::system_error` when it cannot listen.
  rpc_server(boost::asio::io_context& context, deadline_sweeper& sweeper,
             const http::endpoint& listen_at, rpc_handler handle);
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;
  ~rpc_server();

  [[nodiscard]] http::endpoint where() const;
  /// Bytes of answers that the kernel has not taken yet, of all connections.
  [[nodiscard]] std::size_t queued_bytes() const;
  /// Beyond so many of them a request is refused in place of its answer; 16 MB unless
  /// set. One connection may hold a quarter of it, but always one of the largest answers.
  void limit_queued_bytes(std::size_t most);

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::net
