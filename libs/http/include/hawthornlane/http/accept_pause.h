// What a listener does when it cannot accept.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace hawthornlane::http {

/// Without a pause a process that has no descriptors left tries two million times a
/// second to accept the same caller and does nothing else.
constexpr std::chrono::milliseconds failed_accept_pause{20};

template <class Context>
boost::asio::awaitable<void> pause_after_failed_accept(Context& context) {
  boost::asio::steady_timer timer(context, failed_accept_pause);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace hawthornlane::http
