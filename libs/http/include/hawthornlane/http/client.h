// An HTTP client with a pool of idle connections.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::http {

/// How far a failed request got. Unless it is `not_connected`, the server may have executed it.
enum class progress : std::uint8_t { not_connected, possibly_sent, partial_response };

/// Why a fetch failed.
struct fetch_failure {
  progress reached = progress::not_connected;
  std::string detail;
  /// The response is not valid HTTP, or exceeds its limits.
  bool is_malformed = false;
};

/// What may mark the end of a response's body.
enum class accepted_end : std::uint8_t {
  /// Its length or its last chunk. A body that has neither is a `partial_response`.
  framing,
  /// Also the end of its connection, which comes in order when the server's process is killed. Only
  /// for bodies that have an end mark of their own, which the receiver checks.
  connection,
};

/// Receives the next part of a body; returns false to end the transfer.
using body_sink = std::function<bool(std::string_view)>;

/// Sends requests. Interim responses are skipped; a response that is not valid HTTP is a
/// `partial_response`. Safe for concurrent use from coroutines on any executor.
class client {
public:
  static constexpr std::size_t default_max_response_bytes = std::size_t{64} * 1024 * 1024;
  /// The whole body of a response may take this multiple of the limit of its parts.
  static constexpr int body_time_factor = 4;

  /// `max_response_bytes`: a response with a longer body fails.
  explicit client(std::size_t max_response_bytes = default_max_response_bytes);
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  ~client();

  /// Sends one request and reads the whole response. `limit` is applied to connecting, to the
  /// response's head and to each part of its body; the whole body may take four times as long.
  boost::asio::awaitable<std::optional<response>> fetch(endpoint where, request what,
                                                        duration limit, fetch_failure& reason,
                                                        accepted_end ends = accepted_end::framing);
  /// Sends one request and passes the body to `sink` as it arrives. `idle_timeout` limits the
  /// time between two parts. The returned response has an empty body, except when its status is not
  /// 2xx: then it contains the body, of 64 KB at most, and `sink` is not called. `body_time` limits
  /// the whole body.
  boost::asio::awaitable<std::optional<response>> fetch_stream(
      endpoint where, request what, duration idle_timeout, body_sink sink, fetch_failure& reason,
      accepted_end ends = accepted_end::framing, std::optional<duration> body_time = std::nullopt);

private:
  struct pool;

  boost::asio::awaitable<std::optional<response>> exchange(endpoint where, request what,
                                                           duration idle_timeout,
                                                           std::optional<duration> body_limit,
                                                           accepted_end ends, body_sink sink,
                                                           fetch_failure& reason);

  std::size_t max_response_bytes;
  std::shared_ptr<pool> idle;
};

}  // namespace hawthornlane::http
