// A TCP socket whose operations have deadlines.
#include "hawthornlane/net/timed_socket.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace hawthornlane::net {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Time, in milliseconds, after which unacknowledged data closes a connection. A host that lost
/// power or is behind a network partition sends no reset.
constexpr int unacknowledged_timeout_ms = 4000;
/// Bytes written under one timeout; 35 ms on a link of 30 Mbit/s.
constexpr std::size_t slice_size = std::size_t{128} * 1024;
/// Timeout for the peer's kernel to accept one slice.
constexpr auto slice_timeout = std::chrono::seconds(3);

}  // namespace

struct timed_socket::watch_state {
  std::function<void()> hook;
};

void timed_socket::alarm::on_expired() {
  this->fired = true;
  error_code ignored;
  this->socket.socket.cancel(ignored);
}

timed_socket::timed_socket(tcp::socket connected, deadline_sweeper& sweep)
    : socket(std::move(connected)), alarms(sweep.registered()) {
  this->alarms->insert(&this->read_alarm);
  this->alarms->insert(&this->write_alarm);
  this->set_options();
}

timed_socket::timed_socket(asio::io_context& context, deadline_sweeper& sweep)
    : socket(context), alarms(sweep.registered()) {
  this->alarms->insert(&this->read_alarm);
  this->alarms->insert(&this->write_alarm);
}

timed_socket::~timed_socket() {
  this->stop_watching();
  this->alarms->erase(&this->read_alarm);
  this->alarms->erase(&this->write_alarm);
  // Asio's destructor would turn `set_reset_at_end` off.
  this->close();
}

void timed_socket::set_options() {
  error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  this->socket.set_option(user_timeout(unacknowledged_timeout_ms), ignored);
}

error_code timed_socket::end_operation(alarm& timer, error_code error) {
  timer.expires_at = never;
  if (error && timer.fired) {
    error = asio::error::timed_out;
  }
  timer.fired = false;
  return error;
}

error_code timed_socket::read_error(error_code returned) {
  return this->has_shut_down_sending ? returned : http::read_error(this->socket, returned);
}

asio::awaitable<error_code> timed_socket::connect(http::endpoint where, steady_time until) {
  error_code error;
  const auto address = asio::ip::make_address(where.address, error);
  if (error) {
    co_return error;
  }
  this->write_alarm.expires_at = until;
  co_await this->socket.async_connect(tcp::endpoint(address, where.port),
                                      asio::redirect_error(asio::use_awaitable, error));
  error = end_operation(this->write_alarm, error);
  if (!error) {
    this->set_options();
  }
  co_return error;
}

asio::awaitable<std::size_t> timed_socket::read_some(asio::mutable_buffer into, steady_time until,
                                                     error_code& error) {
  // Bytes that are already there are read without a wait, in which the alarm could expire.
  if (std::chrono::steady_clock::now() >= until) {
    error = asio::error::timed_out;
    co_return 0;
  }
  this->read_alarm.expires_at = until;
  error = {};
  const std::size_t got =
      co_await this->socket.async_read_some(into, asio::redirect_error(asio::use_awaitable, error));
  error = this->read_error(end_operation(this->read_alarm, error));
  co_return got;
}

asio::awaitable<error_code> timed_socket::read_more(std::string& buffer, std::size_t max_bytes,
                                                    steady_time until) {
  const std::size_t before = buffer.size();
  buffer.resize(before + max_bytes);
  error_code error;
  const std::size_t got =
      co_await this->read_some(asio::buffer(buffer.data() + before, max_bytes), until, error);
  buffer.resize(before + got);
  co_return error;
}

asio::awaitable<error_code> timed_socket::wait_readable(steady_time until) {
  if (std::chrono::steady_clock::now() >= until) {
    co_return asio::error::timed_out;
  }
  this->read_alarm.expires_at = until;
  error_code error;
  co_await this->socket.async_wait(tcp::socket::wait_read,
                                   asio::redirect_error(asio::use_awaitable, error));
  co_return end_operation(this->read_alarm, error);
}

std::size_t timed_socket::read_available(asio::mutable_buffer into, error_code& error) {
  this->socket.non_blocking(true, error);
  const std::size_t got = error ? 0 : this->socket.read_some(into, error);
  error = this->read_error(error);
  return got;
}

std::size_t timed_socket::write_available(std::string_view bytes) {
  error_code error;
  this->socket.non_blocking(true, error);
  return error ? 0 : this->socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
}

asio::awaitable<error_code> timed_socket::write_all(std::string_view bytes, steady_time until) {
  this->write_alarm.expires_at = until;
  error_code error;
  co_await asio::async_write(this->socket, asio::buffer(bytes.data(), bytes.size()),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return end_operation(this->write_alarm, error);
}

asio::awaitable<error_code> timed_socket::wait_acknowledged(steady_time until) {
  // The kernel has no event for acknowledgements.
  constexpr std::chrono::milliseconds first_pause{1};
  constexpr std::chrono::milliseconds longest_pause{20};
  std::chrono::milliseconds pause = first_pause;
  asio::steady_timer timer(this->socket.get_executor());
  while (!this->is_reset()) {
    int unacknowledged = 0;
    const int failed = ::ioctl(this->socket.native_handle(), SIOCOUTQ, &unacknowledged);
    if (failed == 0 && unacknowledged == 0) {
      co_return error_code();
    }
    if (std::chrono::steady_clock::now() >= until) {
      co_return asio::error::timed_out;
    }
    timer.expires_after(pause);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    pause = std::min(2 * pause, longest_pause);
  }
  co_return asio::error::connection_reset;
}

asio::awaitable<error_code> timed_socket::write_slices(
    std::string_view bytes, const std::function<void(std::size_t)>& sent) {
  while (!bytes.empty()) {
    const std::string_view slice = bytes.substr(0, slice_size);
    const error_code error =
        co_await this->write_all(slice, std::chrono::steady_clock::now() + slice_timeout);
    if (error) {
      co_return error;
    }
    sent(slice.size());
    bytes.remove_prefix(slice.size());
  }
  co_return error_code();
}

void timed_socket::watch_for_close(std::function<void()> hook) {
  this->stop_watching();
  this->watch = std::make_shared<watch_state>();
  this->watch->hook = std::move(hook);
  this->socket.async_wait(
      tcp::socket::wait_read, [this, watching = this->watch](const error_code& error) {
        if (!watching->hook || error == asio::error::operation_aborted) {
          return;
        }
        // Moved out first: the hook may stop the watch, and that destroys `watching->hook`.
        const std::function<void()> callback = std::move(watching->hook);
        watching->hook = nullptr;
        char byte = 0;
        error_code peeked;
        const bool data = !error && this->socket.receive(asio::buffer(&byte, 1),
                                                         tcp::socket::message_peek, peeked) > 0;
        if (!data && peeked != asio::error::would_block) {
          callback();
        }
      });
}

void timed_socket::stop_watching() {
  if (!this->watch) {
    return;
  }
  this->watch->hook = nullptr;
  this->watch = nullptr;
}

bool timed_socket::stale_while_idle() {
  if (!this->socket.is_open()) {
    return true;
  }
  error_code error;
  this->socket.non_blocking(true, error);
  char byte = 0;
  this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

void timed_socket::close(bool hard) {
  error_code ignored;
  if (hard) {
    this->set_reset_at_end(true);
  }
  this->socket.close(ignored);
}

void timed_socket::set_reset_at_end(bool on) {
  error_code ignored;
  this->socket.set_option(asio::socket_base::linger(on, 0), ignored);
}

void timed_socket::shutdown_send() {
  error_code ignored;
  this->has_shut_down_sending = true;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace hawthornlane::net
