// A caller of a fault soak, shared by the sources of soak_callers.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak_callers.h"

namespace hawthornlane::scenarios {

inline boost::asio::awaitable<void> pause(std::chrono::milliseconds time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

/// One caller with the connection that it reuses.
struct soak_callers::caller {
  caller(boost::asio::io_context& io, net::deadline_sweeper& alarms, std::uint64_t seed)
      : context(io), sweeper(alarms), random(seed) {}

  /// Lets one caller in four speak HTTP/1.0; `seed` is that of the caller.
  void choose_version(std::uint64_t seed) {
    constexpr std::uint64_t other_source = 0x10;
    constexpr double share = 0.25;
    std::mt19937_64 source(seed ^ other_source);
    this->http_version = std::bernoulli_distribution(share)(source) ? "1.0" : "1.1";
  }

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  std::mt19937_64 random;
  std::unique_ptr<net::timed_socket> socket;
  std::string buffer;
  std::vector<std::string> addresses;
  net::steady_time addresses_until{};
  /// Last address that failed; not used for the next connection if there is another.
  std::string failed;
  std::string connected_to;
  std::string http_version = "1.1";
  /// When the connection was opened, or the last response on it had been read.
  net::steady_time idle_since{};

  std::size_t random_index(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
  }
  bool chance(double share) { return std::bernoulli_distribution(share)(this->random); }
  void drop(bool hard) {
    if (this->socket) {
      this->socket->close(hard);
      this->socket = nullptr;
    }
    this->buffer.clear();
  }
};

}  // namespace hawthornlane::scenarios
