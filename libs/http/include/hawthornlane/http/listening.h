// Listening for connections, with a delay after a failed accept.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "hawthornlane/http/message.h"

namespace hawthornlane::http {

/// Without a delay, a process that has run out of file descriptors retries the same accept two
/// million times a second and does nothing else.
constexpr std::chrono::milliseconds failed_accept_delay{20};

template <class Executor>
boost::asio::awaitable<void> delay_after_failed_accept(const Executor& executor) {
  boost::asio::steady_timer timer(executor, failed_accept_delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

/// Binds the acceptor to the address and listens. `backlog`: connections that the kernel queues
/// until they are accepted. Throws `boost::system::system_error` on failure.
inline void listen_on(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& where,
                      int backlog = boost::asio::socket_base::max_listen_connections) {
  const boost::asio::ip::tcp::endpoint at(boost::asio::ip::make_address(where.address), where.port);
  acceptor.open(at.protocol());
  acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor.bind(at);
  acceptor.listen(backlog);
}

/// Passes each accepted socket to `take` until the acceptor is closed. `take` must keep the owner
/// of the acceptor alive.
template <class Take>
boost::asio::awaitable<void> accept_until_closed(boost::asio::ip::tcp::acceptor& acceptor,
                                                 Take take) {
  while (acceptor.is_open()) {
    boost::system::error_code error;
    boost::asio::ip::tcp::socket socket = co_await acceptor.async_accept(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (!error) {
      take(std::move(socket));
      continue;
    }
    if (acceptor.is_open()) {
      co_await delay_after_failed_accept(acceptor.get_executor());
    }
  }
}

}  // namespace hawthornlane::http
