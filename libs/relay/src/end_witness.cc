// Whether the process that closed a connection at the end of a response goes on. The kernel closes
// the connections of a process that is killed in the same way.
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

/// Limit for opening the second connection and for the response on it. A check may wait for a slot
/// of the server, which takes about as long as one call.
constexpr auto check_timeout = std::chrono::milliseconds(500);
/// Another process has the server's address.
constexpr int misdirected_status = 421;

}  // namespace

std::shared_ptr<backend_pool::end_witness> backend_pool::open_witness(
    const backend_request& request) {
  std::optional<http::request> check =
      request.liveness_check ? request.liveness_check() : std::nullopt;
  if (!check) {
    return nullptr;
  }
  auto witness = std::make_shared<end_witness>(this->context);
  witness->check.where = request.where;
  witness->check.server_start = request.server_start;
  witness->check.method = std::move(check->method);
  witness->check.target = std::move(check->target);
  witness->check.headers = std::move(check->headers);
  witness->check.headers.push_back({"Host", http::to_string(request.where)});
  witness->check.repeatable = true;
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

asio::awaitable<bool> backend_pool::has_ended_response(std::shared_ptr<end_witness> witness,
                                                       net::steady_time until,
                                                       attempt_handle& handle) {
  if (!witness) {
    co_return false;
  }
  witness->check.until = std::min(until, std::chrono::steady_clock::now() + check_timeout);
  witness->opened.expires_at(witness->check.until);
  if (witness->is_opening) {
    error_code ignored;
    co_await witness->opened.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (witness->is_opening || !witness->connection || handle.abandoned) {
    co_return false;
  }
  const stream_sink none;
  backend_response found;
  std::string detail;
  co_await this->run_on(std::move(witness->connection), witness->check, none, handle, found,
                        detail);
  co_return found.has_begun&& found.status != misdirected_status;
}

}  // namespace hawthornlane::relay
