// The listener for callers.
#include "caller_listener.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/listening.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Pending connections of callers during a burst; the callers' kernels retry further ones.
constexpr int accept_backlog = 1024;

/// How long a caller has for closing a connection after its last response.
constexpr duration end_time = std::chrono::milliseconds(250);

std::string overloaded_response() {
  const error_answer& row = answer_for(error_kind::overloaded);
  const std::string body =
      fmt::format(R"({{"error":"{}","outcome":"{}"}})", row.name, outcome_name(row.outcome));
  return fmt::format(
      "HTTP/1.1 {} Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 0.5\r\n"
      "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
      row.http_status, body.size(), body);
}

}  // namespace

caller_listener::caller_listener(asio::io_context& io, caller_sources sources)
    : context(io),
      from(std::move(sources)),
      place(from.clients->add_listener("callers", from.max_connections)),
      yield_response(overloaded_response()),
      acceptor(io) {}

void caller_listener::listen(const http::endpoint& where, const std::shared_ptr<void>& owner) {
  http::listen_on(this->acceptor, where, accept_backlog);
  const auto take = [this, owner](tcp::socket socket) {
    asio::co_spawn(this->context, this->serve(owner, std::move(socket)), asio::detached);
  };
  asio::co_spawn(this->context, http::accept_until_closed(this->acceptor, take), asio::detached);
}

void caller_listener::close() {
  this->closing = true;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (relay::caller_connection* caller : this->callers) {
    caller->stop_reading();
  }
}

asio::awaitable<void> caller_listener::serve([[maybe_unused]] std::shared_ptr<void> owner,
                                             tcp::socket accepted) {
  net::timed_socket socket(std::move(accepted), this->from.sweeper);
  relay::caller_connection caller(socket, this->from.clients, this->place, this->yield_response);
  if (!caller.has_place()) {
    // Nothing has been read, so the caller may send its request again.
    socket.close(true);
    co_return;
  }
  ++this->open_connections;
  this->callers.insert(&caller);
  const bool was_refused = co_await this->serve_requests(caller);
  this->callers.erase(&caller);
  if (!caller.gone()) {
    // Closing with unread bytes would send a reset, which discards the answer.
    socket.shutdown_send();
    const duration most = was_refused ? duration(overload::drain_pace::max_time) : end_time;
    const std::function<bool()> must_end = [this] { return this->closing; };
    co_await caller.drop_rest(this->pace, {end_time, most}, must_end);
  }
  socket.close();
  --this->open_connections;
}

asio::awaitable<bool> caller_listener::serve_requests(relay::caller_connection& caller) {
  const std::function<caller_limits()> limits = [this] {
    return this->from.fleet.table() ? this->from.fleet.table()->source().limits : caller_limits{};
  };
  while (!this->closing) {
    http::request request;
    failure reason;
    const relay::read_outcome outcome = co_await caller.read(limits, request, reason);
    if (outcome == relay::read_outcome::closed) {
      co_return false;
    }
    if (outcome == relay::read_outcome::refused) {
      caller.close_after_response();
      co_await this->from.calls.refuse_unread(caller, reason);
      co_return true;
    }
    if (this->from.leaving()) {
      caller.close_after_response();
    }
    co_await this->from.calls.serve(caller, std::move(request));
    caller.release();
    if (!caller.usable()) {
      co_return false;
    }
  }
  co_return false;
}

}  // namespace hawthornlane::front
