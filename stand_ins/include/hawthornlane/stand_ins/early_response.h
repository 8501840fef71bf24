// A response that a server sends before it has read the request's body, and the end of its
// connection. For comparison, the same response may follow the whole request.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::stand_ins {

/// How a server ends a connection whose request it has not read.
enum class early_ending : std::uint8_t {
  /// A reset.
  reset,
  /// An ordinary close, which the kernel turns into a reset if there are unread bytes.
  close_unread,
  /// Ends its side in order and resets the connection a moment later.
  end_then_reset,
  /// Ends its side in order, and neither reads nor closes.
  end_and_hold,
  /// Ends its side in order and reads on until the client closes.
  end_and_drain,
  /// Reads the rest of the request, and then ends its side in order.
  drain_then_end,
  /// Reads the rest of the request and keeps the connection open.
  keep_open,
};

std::string_view name_of(early_ending ending);

/// The bytes of the response, and what follows them.
struct early_response {
  std::string bytes;
  early_ending ending = early_ending::reset;
  /// Between the last byte and what follows.
  std::chrono::milliseconds pause{0};
  /// The whole request is read first.
  bool is_late = false;
};

/// The head of a request that waits on a connection.
struct waiting_head {
  /// Without its body.
  http::request request;
  std::size_t head_size = 0;
  std::size_t body_size = 0;
};

/// Waits for the head of a request and leaves it on the connection, whose descriptor is given, too.
/// Empty if there is none until then.
boost::asio::awaitable<std::optional<waiting_head>> peek_head(net::timed_socket& socket,
                                                              int descriptor,
                                                              net::steady_time until);

/// Takes the head, sends the response and ends the connection as it says. Returns true if the
/// connection may serve another request.
boost::asio::awaitable<bool> send_early_response(net::timed_socket& socket, waiting_head head,
                                                 early_response what, net::steady_time until);

}  // namespace hawthornlane::stand_ins
