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
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::http {

/// One request's way back to its caller. Either one `respond`, or `start_stream`,
/// any number of `write`s and one `finish_stream`. Each returns false once the
/// caller is gone; the handler may go on without it.
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

/// What a connection may do before it is answered with an error and closed.
struct server_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  /// For one whole request to arrive once its first byte has.
  duration request_time = std::chrono::seconds(10);
  /// For a connection without a request.
  duration idle_time = std::chrono::seconds(60);
  /// For one write to be taken by the caller.
  duration write_time = std::chrono::seconds(20);
  std::size_t connections = 4096;
};

using handler = std::function<boost::asio::awaitable<void>(const request&, exchange&)>;
/// Makes the response for a request that could not be read.
using error_responder = std::function<response(error_kind, std::string_view detail)>;

/// Listens and serves until stopped. A fault of one connection harms no other.
class server {
public:
  /// Listens at once, so that `where()` names the port that the kernel chose for
  /// port 0. Throws `boost::system::system_error` when it cannot.
  server(boost::asio::io_context& context, const endpoint& listen_at, server_limits limits,
         handler handle, error_responder refuse);
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  [[nodiscard]] endpoint where() const;
  /// Accepts nothing new; requests under way are served to their end.
  void stop_accepting();
  /// Requests under way.
  [[nodiscard]] std::size_t active() const;

  /// What the connections share; defined with the implementation.
  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::http
