// One connection to a backend server, as its pool keeps it.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>

#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/relay/backend_pool.h"

namespace hawthornlane::relay {

/// What has become of a request that is written.
enum class sending_state : std::uint8_t { writing, sent, failed };

struct backend_pool::server_connection {
  server_connection(boost::asio::io_context& context, net::deadline_sweeper& sweeper)
      : socket(context, sweeper), written(context) {}

  net::timed_socket socket;
  std::string buffer;
  net::steady_time idle_since;
  net::steady_time usable_until;
  incarnation server_start;
  bool reused = false;
  /// If the response ends before the request is sent, the connection is not reused.
  sending_state sending = sending_state::writing;
  /// Woken once `sending` is no longer `writing`.
  net::async_signal written;
  bool reusable = false;
};

/// A second connection to the server of a response that ends with its own connection.
struct backend_pool::end_witness {
  explicit end_witness(boost::asio::io_context& context) : opened(context) {}

  /// Without a check the connection is only watched.
  bool has_check = false;
  backend_request check;
  /// Null if it could not be opened.
  connection_ptr connection;
  bool is_opening = false;
  /// Cancelled once `is_opening` is false.
  boost::asio::steady_timer opened;
};

}  // namespace hawthornlane::relay
