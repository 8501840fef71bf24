// Whether the orderly end of a connection is the end of the response on it. The kernel ends the
// connections of a process that is killed in the same way, and a server that has not read the
// request may end its side before it resets the connection.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "server_connection.h"

namespace hawthornlane::relay {
namespace asio = boost::asio;
using net::error_code;

namespace {

/// Limit for opening the second connection, and for what arrives on it after the end. It includes
/// one retransmission: the end of a process that has been killed arrives on both connections.
constexpr auto check_timeout = std::chrono::milliseconds(300);
/// Another process has the server's address.
constexpr int misdirected_status = 421;

}  // namespace

std::shared_ptr<backend_pool::end_witness> backend_pool::open_witness(
    const backend_request& request) {
  std::optional<http::request> check =
      request.liveness_check ? request.liveness_check() : std::nullopt;
  auto witness = std::make_shared<end_witness>(this->context);
  witness->check.where = request.where;
  witness->check.server_start = request.server_start;
  witness->check.repeatable = true;
  witness->has_check = check.has_value();
  if (check) {
    witness->check.method = std::move(check->method);
    witness->check.target = std::move(check->target);
    witness->check.headers = std::move(check->headers);
    witness->check.headers.push_back({"Host", http::to_string(request.where)});
  }
  witness->connection = this->take_idle(witness->check);
  if (witness->connection) {
    return witness;
  }
  ++this->counts.opened;
  witness->connection = std::make_unique<server_connection>(this->context, this->sweeper);
  witness->is_opening = true;
  asio::co_spawn(this->context, connect_witness(witness), asio::detached);
  return witness;
}

void backend_pool::renew_witness(std::shared_ptr<end_witness>& witness,
                                 const backend_request& request) {
  if (!witness || witness->is_opening) {
    return;
  }
  if (!witness->connection || witness->connection->socket.stale_while_idle()) {
    witness = this->open_witness(request);
  }
}

asio::awaitable<void> backend_pool::connect_witness(std::shared_ptr<end_witness> witness) {
  const net::steady_time until = std::chrono::steady_clock::now() + check_timeout;
  const error_code error =
      co_await witness->connection->socket.connect(witness->check.where, until);
  if (error) {
    witness->connection = nullptr;
  }
  witness->is_opening = false;
  witness->opened.cancel();
}

asio::awaitable<attempt_outcome> backend_pool::confirm_end(server_connection& connection,
                                                           const backend_request& request,
                                                           std::shared_ptr<end_witness> witness,
                                                           attempt_handle& handle,
                                                           std::string& detail) {
  const bool goes_on = co_await this->has_outlived_end(std::move(witness), handle);
  if (handle.abandoned) {
    co_return attempt_outcome::abandoned;
  }
  if (!goes_on) {
    detail = "body: the connection ended, and the server has not shown that it goes on";
    co_return attempt_outcome::broken;
  }
  // The check of the process has used the handle.
  handle.socket = &connection.socket;
  const error_code error = co_await wait_until_taken(connection, request.until);
  if (error == asio::error::timed_out) {
    detail = "body: the connection ended, and the server has not read the request";
    co_return attempt_outcome::timed_out;
  }
  if (error) {
    detail = "body: the connection ended in order, and was then reset";
    co_return attempt_outcome::broken;
  }
  co_return attempt_outcome::whole;
}

asio::awaitable<error_code> backend_pool::wait_until_taken(server_connection& connection,
                                                           net::steady_time until) {
  while (connection.sending == sending_state::writing) {
    if (std::chrono::steady_clock::now() >= until) {
      co_return asio::error::timed_out;
    }
    co_await connection.written.wait_until(until);
  }
  if (connection.sending == sending_state::failed) {
    co_return asio::error::connection_reset;
  }
  co_return co_await connection.socket.wait_acknowledged(until);
}

asio::awaitable<bool> backend_pool::has_outlived_end(std::shared_ptr<end_witness> witness,
                                                     attempt_handle& handle) {
  witness->check.until = std::chrono::steady_clock::now() + check_timeout;
  if (witness->is_opening) {
    witness->opened.expires_at(witness->check.until);
    error_code ignored;
    co_await witness->opened.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (witness->is_opening || !witness->connection || handle.abandoned) {
    co_return false;
  }
  if (witness->connection->socket.stale_while_idle()) {
    co_return false;
  }
  if (!witness->has_check) {
    std::string nothing;
    const error_code error =
        co_await witness->connection->socket.read_more(nothing, 1, witness->check.until);
    co_return error == asio::error::timed_out;
  }
  const stream_sink none;
  backend_response found;
  std::string detail;
  const attempt_outcome outcome = co_await this->run_on(
      std::move(witness->connection), witness->check, none, handle, found, detail);
  const bool has_answered = found.has_begun && found.status != misdirected_status;
  // A busy server answers late, but its connection stays open.
  const bool is_open = outcome == attempt_outcome::timed_out;
  co_return has_answered || is_open;
}

}  // namespace hawthornlane::relay
