// A TCP proxy on loopback that injects faults into the connections it forwards.
#include "fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

#include "hawthornlane/http/connection_end.h"
#include "hawthornlane/http/listening.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t batch_size = std::size_t{16} * 1024;
/// Interval at which a held batch checks whether it may be delivered.
constexpr std::chrono::milliseconds poll_interval{5};
/// Receive buffer towards a target behind a slow link, bytes: the target has to queue
/// what exceeds it.
constexpr int slow_link_window = 64 * 1024;

asio::awaitable<void> pause(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// One forwarded connection.
struct proxied_connection {
  explicit proxied_connection(tcp::socket from)
      : client_side(std::move(from)), target_side(client_side.get_executor()) {}

  tcp::socket client_side;
  tcp::socket target_side;
  /// The side whose sending has been shut down, because the other one has ended in order.
  const tcp::socket* half_closed = nullptr;
  bool silent = false;

  void reset() {
    error_code ignored;
    for (tcp::socket* side : {&this->client_side, &this->target_side}) {
      side->set_option(asio::socket_base::linger(true, 0), ignored);
      side->close(ignored);
    }
  }
};

}  // namespace

struct fault_proxy::state : std::enable_shared_from_this<fault_proxy::state> {
  state(asio::io_context& io, const http::endpoint& to)
      : context(io), target(asio::ip::make_address(to.address), to.port), acceptor(io) {}

  asio::io_context& context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  http::endpoint address;
  link_fault fault;
  /// Bytes per second back from the target; 0: no limit.
  std::uint64_t rate = 0;
  /// When the slow link will have sent everything queued so far.
  std::chrono::steady_clock::time_point link_free_at;
  std::vector<std::weak_ptr<proxied_connection>> links;

  static asio::awaitable<void> forward_connection(std::shared_ptr<state> self,
                                                  std::shared_ptr<proxied_connection> link) {
    error_code error = asio::error::connection_refused;
    if (!self->fault.refuse) {
      link->target_side.open(self->target.protocol(), error);
      if (self->rate > 0) {
        link->target_side.set_option(asio::socket_base::receive_buffer_size(slow_link_window),
                                     error);
      }
      co_await link->target_side.async_connect(self->target,
                                               asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || !link->client_side.is_open()) {
      link->reset();
      co_return;
    }
    link->client_side.set_option(tcp::no_delay(true), error);
    link->target_side.set_option(tcp::no_delay(true), error);
    std::erase_if(self->links, [](const auto& item) { return item.expired(); });
    self->links.push_back(link);
    asio::co_spawn(self->context, pump(self, link, true), asio::detached);
    co_await pump(self, link, false);
  }

  /// Takes connections from now on.
  void begin() {
    const auto at = this->acceptor.local_endpoint();
    this->address = {at.address().to_string(), at.port()};
    const auto take = [self = this->shared_from_this()](tcp::socket socket) {
      const auto link = std::make_shared<proxied_connection>(std::move(socket));
      asio::co_spawn(self->context, forward_connection(self, link), asio::detached);
    };
    asio::co_spawn(this->context, http::accept_until_closed(this->acceptor, take), asio::detached);
  }

  [[nodiscard]] bool held(bool forward) const {
    return forward ? this->fault.hold_forward : this->fault.hold_back;
  }

  /// Waits until the slow link has sent these bytes and all bytes queued before them.
  static asio::awaitable<void> wait_for_link(std::shared_ptr<state> self, std::size_t bytes) {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> takes(static_cast<double>(bytes) /
                                              static_cast<double>(self->rate));
    self->link_free_at = std::max(self->link_free_at, now) +
                         std::chrono::duration_cast<std::chrono::steady_clock::duration>(takes);
    asio::steady_timer timer(self->context, self->link_free_at);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  /// Forwards one direction until it ends.
  static asio::awaitable<void> pump(std::shared_ptr<state> self,
                                    std::shared_ptr<proxied_connection> link, bool forward) {
    tcp::socket& from = forward ? link->client_side : link->target_side;
    tcp::socket& to = forward ? link->target_side : link->client_side;
    std::array<char, batch_size> batch{};
    error_code error;
    while (!error) {
      const std::size_t got = co_await from.async_read_some(
          asio::buffer(batch), asio::redirect_error(asio::use_awaitable, error));
      if (link->half_closed != &from) {
        error = http::read_error(from, error);
      }
      if (self->rate > 0 && !forward) {
        co_await wait_for_link(self, got);
      }
      if (self->fault.delay.count() > 0) {
        co_await pause(self->fault.delay);
      }
      while (self->held(forward) && from.is_open()) {
        co_await pause(poll_interval);
      }
      if (link->silent) {
        continue;
      }
      if (!error) {
        co_await asio::async_write(to, asio::buffer(batch.data(), got),
                                   asio::redirect_error(asio::use_awaitable, error));
      }
    }
    if (link->silent) {
      co_return;
    }
    error_code ignored;
    if (error == asio::error::eof) {
      link->half_closed = &to;
      to.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      link->reset();
    }
  }
};

fault_proxy::fault_proxy(asio::io_context& context, const http::endpoint& target)
    : shared(std::make_shared<state>(context, target)) {
  http::listen_on(this->shared->acceptor, {target.address, 0});
  this->shared->begin();
}

fault_proxy::fault_proxy(asio::io_context& context, int listener, const http::endpoint& target)
    : shared(std::make_shared<state>(context, target)) {
  this->shared->acceptor.assign(tcp::v4(), listener);
  this->shared->begin();
}

fault_proxy::~fault_proxy() { this->close(); }

void fault_proxy::close() {
  error_code ignored;
  this->shared->acceptor.close(ignored);
  this->reset_connections();
}

http::endpoint fault_proxy::where() const { return this->shared->address; }

void fault_proxy::set_fault(const link_fault& fault) { this->shared->fault = fault; }

void fault_proxy::limit_rate(std::uint64_t bytes_per_second) {
  this->shared->rate = bytes_per_second;
}

void fault_proxy::reset_connections() {
  for (const auto& item : this->shared->links) {
    if (const auto link = item.lock()) {
      link->reset();
    }
  }
}

void fault_proxy::silence_connections() {
  for (const auto& item : this->shared->links) {
    if (const auto link = item.lock()) {
      link->silent = true;
    }
  }
}

}  // namespace hawthornlane::scenarios
