// An HTTP server whose handlers are coroutines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/overload/client_registry.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::http {

/// Writes the response of one request. Call either `respond` once, or `start_stream`,
/// any number of `write`s and one `finish_stream`. Each returns false once the
/// caller has disconnected; the handler may still continue. A handler that returns in the middle of
/// a stream ends the connection, and the response does not look whole.
class exchange {
public:
  exchange() = default;
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;
  virtual ~exchange() = default;

  virtual boost::asio::awaitable<bool> respond(response answer) = 0;
  virtual boost::asio::awaitable<bool> start_stream(response head) = 0;
  virtual boost::asio::awaitable<bool> write(std::string_view chunk) = 0;
  virtual boost::asio::awaitable<bool> finish_stream() = 0;
};

/// Limits of a server and its connections. A request that is too large or too slow gets an error
/// response, and its connection is closed.
struct server_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  /// Maximum time from the first byte of a request to its last.
  duration request_time = std::chrono::seconds(10);
  /// A connection without a request is closed after this time, without a response.
  duration idle_time = std::chrono::seconds(60);
  /// Timeout of one write to the caller.
  duration write_time = std::chrono::seconds(20);
  /// Maximum number of open connections, unless the listener of `server_clients` has its own. At
  /// the limit a silent or slow one yields to a new one.
  std::size_t connections = 4096;
  /// Copies of its body that a request may take while it is served, in addition to the body.
  std::size_t copies_in_service = 0;
};

/// What limits the clients of a server together with those of other servers of the process.
struct server_clients {
  /// Null: the server's clients are limited by themselves.
  std::shared_ptr<overload::client_registry> registry;
  overload::listener* at = nullptr;
};

using handler = std::function<boost::asio::awaitable<void>(const request&, exchange&)>;
/// Creates the response to a request that could not be read.
using error_responder = std::function<response(error_kind, std::string_view detail)>;

/// Listens and serves until stopped. An error on one connection does not affect others.
class server {
public:
  /// Listens at once, so that `where()` returns the port that the kernel chose for
  /// port 0. Throws `boost::system::system_error` on failure.
  server(boost::asio::io_context& context, const endpoint& listen_at, server_limits limits,
         handler handle, error_responder make_error_response, server_clients clients = {});
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  [[nodiscard]] endpoint where() const;
  /// Stops accepting connections; in-flight requests are completed.
  void stop_accepting();
  /// Number of in-flight requests.
  [[nodiscard]] std::size_t active() const;

  /// State shared by the connections; defined in the source file.
  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::http
