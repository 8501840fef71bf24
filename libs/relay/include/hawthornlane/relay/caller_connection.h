// One caller's connection: requests read strictly, answers written as they come.
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
  /// The caller closed, or was idle for too long; there is nothing to answer.
  closed,
  /// What arrived is not acceptable; the failure says why.
  refused,
};

/// Reads requests from one caller and writes their answers. For one thread.
class caller_connection {
public:
  explicit caller_connection(net::timed_socket& connected) : socket(connected) {}

  /// Waits for the next request. Whole requests that have arrived are kept for
  /// the next call, so a caller may send ahead.
  boost::asio::awaitable<read_outcome> read(const caller_limits& limits, http::request& into,
                                            failure& reason);

  /// Writes a whole answer. All writers return false once the caller is gone.
  boost::asio::awaitable<bool> respond(int status, const std::vector<http::header>& headers,
                                       std::string_view body);
  /// Writes the head of an answer whose body comes in pieces.
  boost::asio::awaitable<bool> start(int status, const std::vector<http::header>& headers);
  boost::asio::awaitable<bool> write(std::string_view piece);
  boost::asio::awaitable<bool> finish();
  /// Ends an answer that is not whole, so that it cannot look whole.
  void abort_connection();

  /// Answers of this connection say that it will be closed.
  void close_after_response() { this->keep = false; }
  /// Whether the connection may carry another request.
  [[nodiscard]] bool usable() const { return this->keep && !this->is_gone; }
  [[nodiscard]] bool started() const { return this->has_started; }
  [[nodiscard]] bool gone() const { return this->is_gone; }
  /// The caller closed its connection while it was being served.
  void mark_disconnected() { this->is_gone = true; }
  [[nodiscard]] net::timed_socket& connection() { return this->socket; }

private:
  struct request_parser;
  /// Reads until the head is whole and checks it; `length` is its size.
  boost::asio::awaitable<read_outcome> read_head(const caller_limits& limits, std::size_t& length,
                                                 failure& reason);
  boost::asio::awaitable<read_outcome> read_body(const caller_limits& limits, request_parser& from,
                                                 failure& reason);
  boost::asio::awaitable<bool> send(std::string_view bytes);
  [[nodiscard]] std::string head_bytes(int status, const std::vector<http::header>& headers) const;

  net::timed_socket& socket;
  std::string buffer;
  bool keep = true;
  bool is_gone = false;
  bool has_started = false;
  /// The request was HTTP/1.0, which knows no chunks.
  bool chunks = true;
};

}  // namespace hawthornlane::relay
