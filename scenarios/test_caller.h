// Requests and responses of test callers, and what all test deployments share.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::scenarios {

/// Address on which everything listens.
inline constexpr const char* loopback = "127.0.0.1";

/// Response as a caller received it.
struct call_result {
  /// 0: no response.
  int status = 0;
  std::vector<http::header> headers;
  std::string body;
  /// The response is complete.
  bool whole = false;
  /// The received bytes are not valid HTTP.
  bool malformed = false;
  /// The caller closed the connection before the end.
  bool left = false;
  std::chrono::milliseconds took{};
  /// How long the connection had been idle when the request was sent.
  std::chrono::milliseconds idle_before{};

  [[nodiscard]] std::optional<std::string> header(const std::string& name) const;
};

/// Request as a caller sends it.
struct call_request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::vector<http::header> headers;
  std::string body;
  std::string http_version = "1.1";
};

/// Request for one turn of a program, which generates at most 30 tokens.
call_request turn_request_of(const std::string& path, const std::string& id,
                             const std::string& program, const std::string& previous, int budget);

/// Serializes a request.
std::string bytes_of(const call_request& what);

/// Reads one response, or what arrives of it; `buffer` keeps the bytes that follow. Stops early
/// once `is_enough` returns true for the body so far; it may be empty.
boost::asio::awaitable<void> read_answer(
    net::timed_socket& socket, std::string& buffer, net::steady_time until, call_result& into,
    std::function<bool(const std::string& body)> is_enough = {});

/// A free port, from a range of this process.
std::uint16_t free_port();

/// Configuration of the test deployments, with this version.
std::string configuration_of(int version);

}  // namespace hawthornlane::scenarios
