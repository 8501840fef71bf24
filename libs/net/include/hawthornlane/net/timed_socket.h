// A TCP socket whose operations end at a moment.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::net {

using boost::system::error_code;

/// Reads and writes with timeouts. For one thread. An operation that ran into its
/// timeout fails with `boost::asio::error::timed_out`; the socket stays open, so
/// that an error answer can still be written.
class timed_socket {
public:
  timed_socket(boost::asio::ip::tcp::socket connected, deadline_sweeper& sweeper);
  timed_socket(boost::asio::io_context& context, deadline_sweeper& sweeper);
  timed_socket(const timed_socket&) = delete;
  timed_socket& operator=(const timed_socket&) = delete;
  ~timed_socket();

  boost::asio::awaitable<error_code> connect(http::endpoint where, steady_time until);
  /// Bytes read; 0 with an error set when there are none.
  boost::asio::awaitable<std::size_t> read_some(boost::asio::mutable_buffer into, steady_time until,
                                                error_code& error);
  /// Appends to `buffer`, at most `most` bytes.
  boost::asio::awaitable<error_code> read_more(std::string& buffer, std::size_t most,
                                               steady_time until);
  boost::asio::awaitable<error_code> write_all(std::string_view bytes, steady_time until);
  /// Writes in slices, each with a timeout of its own: a large batch on a slow link is not
  /// late as long as it goes on. `sent` hears of each slice
  /// and has to live until the end.
  boost::asio::awaitable<error_code> write_slices(std::string_view bytes,
                                                  const std::function<void(std::size_t)>& sent);

  /// Calls `hook` once when the other side closes or resets the connection while
  /// nothing is being read. Bytes that arrive instead end the watch silently.
  void watch_for_close(std::function<void()> hook);
  void stop_watching();
  /// True when an idle connection has been closed or has bytes nobody asked for.
  [[nodiscard]] bool stale_while_idle();

  /// Ends operations under way and closes; `hard` sends a reset in place of an
  /// orderly end.
  void close(bool hard = false);
  [[nodiscard]] bool is_open() const { return this->socket.is_open(); }
  /// Ends sending; the other side still may.
  void shutdown_send();

private:
  /// Cancels the operation of one direction.
  struct alarm final : expiring {
    explicit alarm(timed_socket& owner) : socket(owner) {}
    void on_expired() override;
    timed_socket& socket;
    bool fired = false;
  };
  struct watch_state;

  void set_options();
  [[nodiscard]] static error_code ended(alarm& timer, error_code error);

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<deadline_sweeper::registry> alarms;
  alarm read_alarm{*this};
  alarm write_alarm{*this};
  std::shared_ptr<watch_state> watch;
};

}  // namespace hawthornlane::net
