// What test callers send and get, and what every played deployment is made of.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::scenarios {

/// Everything listens here.
inline constexpr const char* loopback = "127.0.0.1";

/// What a caller got.
struct call_result {
  /// 0: no answer.
  int status = 0;
  std::vector<http::header> headers;
  std::string body;
  /// The answer came to its proper end.
  bool whole = false;
  /// What came is no answer in the protocol.
  bool malformed = false;
  std::chrono::milliseconds took{};

  [[nodiscard]] std::optional<std::string> header(const std::string& name) const;
};

/// What a caller sends.
struct call_request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::vector<http::header> headers;
  std::string body;
};

/// Headers and body of one turn of a program, which generates 30 tokens at most.
call_request turn_request_of(const std::string& path, const std::string& id,
                             const std::string& program, const std::string& previous, int budget);

/// The bytes of a request as a caller sends them.
std::string bytes_of(const call_request& what);

/// Reads one answer, as far as it comes; `buffer` keeps what follows it.
boost::asio::awaitable<void> read_answer(net::timed_socket& socket, std::string& buffer,
                                         net::steady_time until, call_result& into);

/// A port that nobody listens at, in a range of this process.
std::uint16_t free_port();

/// The configuration that the operator of the played deployments writes.
std::string configuration_of(int version);

}  // namespace hawthornlane::scenarios
