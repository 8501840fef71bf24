// A wake-up signal for one waiting coroutine.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornlane::net {

/// One waiter at a time. A `wake` that precedes the wait ends that wait at once. Not thread-safe.
class async_signal {
public:
  explicit async_signal(boost::asio::io_context& context)
      : timer(context, boost::asio::steady_timer::time_point::max()) {}

  void wake() {
    this->woken = true;
    this->timer.cancel();
  }

  boost::asio::awaitable<void> wait() {
    if (!this->woken) {
      boost::system::error_code ignored;
      co_await this->timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    this->woken = false;
  }

  /// As `wait`, but returns at `until` at the latest.
  boost::asio::awaitable<void> wait_until(std::chrono::steady_clock::time_point until) {
    if (!this->woken) {
      this->timer.expires_at(until);
      boost::system::error_code ignored;
      co_await this->timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      this->timer.expires_at(boost::asio::steady_timer::time_point::max());
    }
    this->woken = false;
  }

private:
  boost::asio::steady_timer timer;
  bool woken = false;
};

}  // namespace hawthornlane::net
