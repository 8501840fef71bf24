// A TCP socket whose operations have deadlines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "hawthornlane/http/connection_end.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::net {

using boost::system::error_code;

/// Reads and writes with timeouts. Not thread-safe. An operation that exceeds its
/// deadline fails with `boost::asio::error::timed_out`; the socket stays open, so
/// that an error response can still be written.
class timed_socket {
public:
  timed_socket(boost::asio::ip::tcp::socket connected, deadline_sweeper& sweeper);
  timed_socket(boost::asio::io_context& context, deadline_sweeper& sweeper);
  timed_socket(const timed_socket&) = delete;
  timed_socket& operator=(const timed_socket&) = delete;
  ~timed_socket();

  boost::asio::awaitable<error_code> connect(http::endpoint where, steady_time until);
  /// Returns the bytes read; on failure 0, with `error` set. It is `eof` only if the peer has ended
  /// the connection in order, as with all reads here.
  boost::asio::awaitable<std::size_t> read_some(boost::asio::mutable_buffer into, steady_time until,
                                                error_code& error);
  /// Reads at most `max_bytes` bytes and appends them to `buffer`.
  boost::asio::awaitable<error_code> read_more(std::string& buffer, std::size_t max_bytes,
                                               steady_time until);
  /// Waits until there is something to read, the end of the connection included. Takes no buffer.
  boost::asio::awaitable<error_code> wait_readable(steady_time until);
  /// Reads what has arrived without a wait; fails with `would_block` if nothing has.
  std::size_t read_available(boost::asio::mutable_buffer into, error_code& error);
  /// Writes as much as can be written without a wait; returns the number of bytes.
  std::size_t write_available(std::string_view bytes);
  /// Ends the pending read as if its deadline had passed.
  void cancel_read() { this->read_alarm.on_expired(); }
  boost::asio::awaitable<error_code> write_all(std::string_view bytes, steady_time until);
  /// Waits until the peer's host has acknowledged all bytes that were written. Fails with
  /// `connection_reset` if the connection is reset or closed before. Not after `shutdown_send`.
  boost::asio::awaitable<error_code> wait_acknowledged(steady_time until);
  /// Writes in slices, each with its own timeout, so that a large batch on a slow link does
  /// not time out while it makes progress. `sent` is called with the size of each written
  /// slice and must outlive the operation.
  boost::asio::awaitable<error_code> write_slices(std::string_view bytes,
                                                  const std::function<void(std::size_t)>& sent);

  /// Calls `hook` once when the peer closes or resets the connection while no read is
  /// pending. If data arrives first, the watch ends and `hook` is not called.
  void watch_for_close(std::function<void()> hook);
  void stop_watching();
  /// True when an idle connection was closed or has unsolicited data.
  [[nodiscard]] bool stale_while_idle();

  /// Cancels pending operations and closes. `hard` sends a reset instead of an orderly
  /// shutdown.
  void close(bool hard = false);
  /// While on, every end of the connection is a reset, also the one by the kernel when the process
  /// ends, so that the end cannot be taken for the end of a message. Bytes that have not left the
  /// host by then are lost.
  void set_reset_at_end(bool on);
  [[nodiscard]] bool is_open() const { return this->socket.is_open(); }
  /// The peer has reset the connection, or it is closed. Not to be asked after `shutdown_send`.
  [[nodiscard]] bool is_reset() { return http::is_reset(this->socket); }
  /// Shuts down the sending side; the peer may still send.
  void shutdown_send();

private:
  /// The deadline of one direction; cancels the socket's operations when it expires.
  struct alarm final : deadline_item {
    explicit alarm(timed_socket& owner) : socket(owner) {}
    void on_expired() override;
    timed_socket& socket;
    bool fired = false;
  };
  struct watch_state;

  void set_options();
  [[nodiscard]] static error_code end_operation(alarm& timer, error_code error);
  [[nodiscard]] error_code read_error(error_code returned);

  boost::asio::ip::tcp::socket socket;
  /// Reads can then not tell a reset from an orderly end.
  bool has_shut_down_sending = false;
  std::shared_ptr<deadline_sweeper::registry> alarms;
  alarm read_alarm{*this};
  alarm write_alarm{*this};
  std::shared_ptr<watch_state> watch;
};

}  // namespace hawthornlane::net
