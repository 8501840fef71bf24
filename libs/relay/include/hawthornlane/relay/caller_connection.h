// One caller's connection: parses requests strictly and writes responses as they arrive.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/fleet/configuration.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::relay {

/// How reading a request ended.
enum class read_outcome : std::uint8_t {
  request,
  /// The caller closed the connection or was idle for too long; no response is due.
  closed,
  /// The request is invalid; the failure says why.
  refused,
};

/// Reads requests from one caller and writes the responses. Not thread-safe.
class caller_connection {
public:
  explicit caller_connection(net::timed_socket& connected) : socket(connected) {}

  /// Waits for the next request. Further data that has arrived is buffered for the next
  /// `read`, so callers may pipeline requests. A request has the limits that are in force when its
  /// first bytes have arrived.
  boost::asio::awaitable<read_outcome> read(const std::function<caller_limits()>& limits_in_force,
                                            http::request& into, failure& reason);

  /// Writes a complete response. All writers return false once the caller has disconnected.
  boost::asio::awaitable<bool> respond(int status, const std::vector<http::header>& headers,
                                       std::string_view body);
  /// Writes the head of a response whose body follows in pieces.
  boost::asio::awaitable<bool> start(int status, const std::vector<http::header>& headers);
  boost::asio::awaitable<bool> write(std::string_view piece);
  boost::asio::awaitable<bool> finish();
  /// Ends a wait for a request, because the host stops. A request that has arrived in part is
  /// refused.
  void stop_reading();
  /// Resets the connection, so that an incomplete response cannot look complete.
  void abort_connection();

  /// Whether the end of the connection marks the end of a response that is sent in pieces.
  [[nodiscard]] bool ends_with_connection() const { return !this->may_use_chunked_encoding; }
  /// Announces in the following responses that the connection will be closed.
  void close_after_response() { this->keep_alive = false; }
  /// Whether the connection may carry another request.
  [[nodiscard]] bool usable() const { return this->keep_alive && !this->is_gone; }
  [[nodiscard]] bool started() const { return this->has_started; }
  [[nodiscard]] bool gone() const { return this->is_gone; }
  /// Records that the caller closed the connection while its request was being served.
  void mark_disconnected() { this->is_gone = true; }
  [[nodiscard]] net::timed_socket& connection() { return this->socket; }

private:
  struct request_parser;
  /// Waits for the first bytes of a request; returns false if the caller has left or is idle for
  /// too long.
  boost::asio::awaitable<bool> wait_for_request(const caller_limits& limits);
  /// Reads until the head is complete and validates it. `length` is its size, bytes.
  boost::asio::awaitable<read_outcome> read_head(const caller_limits& limits, std::size_t& length,
                                                 failure& reason);
  boost::asio::awaitable<read_outcome> read_body(const caller_limits& limits, request_parser& from,
                                                 failure& reason);
  /// Reads more of a request. Fails with `timed_out` if reading has been stopped.
  boost::asio::awaitable<net::error_code> read_more(std::size_t max_bytes, net::steady_time until);
  /// Why a request that is incomplete at its time limit is refused.
  [[nodiscard]] failure incomplete_request(const char* detail) const;
  boost::asio::awaitable<bool> send(std::string_view bytes);
  [[nodiscard]] std::string head_bytes(int status, const std::vector<http::header>& headers) const;

  net::timed_socket& socket;
  std::string buffer;
  bool keep_alive = true;
  bool is_gone = false;
  bool has_started = false;
  bool is_reading = false;
  bool reading_stopped = false;
  /// Whether responses may use chunked encoding; false for HTTP/1.0, which does not support it.
  bool may_use_chunked_encoding = true;
};

}  // namespace hawthornlane::relay
