// One caller's connection: parses requests strictly and writes responses as they arrive.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/fleet/configuration.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/http/request_assembler.h"
#include "hawthornlane/net/timed_socket.h"
#include "hawthornlane/overload/client_registry.h"
#include "hawthornlane/overload/drain_pace.h"

namespace hawthornlane::relay {

/// How reading a request ended.
enum class read_outcome : std::uint8_t {
  request,
  /// The caller closed the connection or was idle for too long; no response is due.
  closed,
  /// The request is invalid; the failure says why.
  refused,
};

/// How long what a caller still sends is dropped.
struct drop_time {
  duration least{};
  duration most{};
};

/// Reads requests from one caller and writes the responses. Not thread-safe.
class caller_connection {
public:
  /// A connection whose requests are limited by themselves only.
  explicit caller_connection(net::timed_socket& connected);
  /// One whose requests and whose connection are limited together with those of other clients.
  /// `yield_text` is the response to a request that is refused because its connection has to yield.
  caller_connection(net::timed_socket& connected,
                    std::shared_ptr<overload::client_registry> registry, overload::listener* at,
                    std::string yield_text);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection();

  /// False if its listener has no room for it; it has to be closed.
  [[nodiscard]] bool has_place() const { return !this->slot || this->slot->is_connected(); }

  /// Waits for the next request. Further data that has arrived is buffered for the next
  /// `read`, so callers may pipeline requests. A request has the limits that are in force when its
  /// first bytes have arrived.
  boost::asio::awaitable<read_outcome> read(const std::function<caller_limits()>& limits_in_force,
                                            http::request& into, failure& reason);

  /// Counts that the request holds `more` bytes in addition to itself, from now until `release`.
  /// Returns false if they are too much.
  [[nodiscard]] bool hold_also(std::size_t more) { return this->requests.hold_also(more); }
  /// The request that was read is over.
  void release() { this->requests.release(); }
  /// Reads and drops what the caller still sends, until it closes the connection, so that closing
  /// does not reset the connection before the caller has read the response. `must_end` is asked
  /// after the least time.
  boost::asio::awaitable<void> drop_rest(overload::drain_pace& pace, drop_time time,
                                         const std::function<bool()>& must_end);

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
  /// Waits for the first bytes of a request, and begins it with the limits in force then.
  boost::asio::awaitable<http::assembly> read_first(
      const std::function<caller_limits()>& limits_in_force, caller_limits& limits);
  /// Reads until the request is complete or refused; `incomplete` if that takes too long.
  boost::asio::awaitable<http::assembly> read_rest(const caller_limits& limits,
                                                   http::assembly state);
  /// Reads what has arrived, or waits for it. The bytes are valid until the next wait. Fails with
  /// `timed_out` if reading has been stopped or the request has to yield.
  boost::asio::awaitable<net::error_code> read_some(std::string_view& bytes,
                                                    net::steady_time until);
  boost::asio::awaitable<net::error_code> wait_readable(net::steady_time until);
  /// Why a request that is incomplete at its time limit is refused.
  [[nodiscard]] failure incomplete_request();
  void yield(overload::yielded what);
  boost::asio::awaitable<bool> send(std::string_view bytes);
  [[nodiscard]] std::string head_bytes(int status, const std::vector<http::header>& headers) const;

  net::timed_socket& socket;
  /// Null if the connection is not limited together with others.
  std::unique_ptr<overload::client_slot> slot;
  http::request_assembler requests;
  std::string yield_response;
  bool keep_alive = true;
  bool is_gone = false;
  bool has_started = false;
  /// No request has been read from it.
  bool is_new = true;
  bool is_reading = false;
  bool reading_stopped = false;
  /// The request, if one has begun, is refused because of others.
  bool has_yielded = false;
  /// Whether responses may use chunked encoding; false for HTTP/1.0, which does not support it.
  bool may_use_chunked_encoding = true;
};

}  // namespace hawthornlane::relay
