// One caller's connection.
#include "hawthornlane/relay/caller_connection.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "hawthornlane/http/read_scratch.h"
#include "hawthornlane/relay/framing.h"

namespace hawthornlane::relay {
namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using net::error_code;

namespace {

/// Timeout of one write to a caller. A slower caller would hold memory for too long.
constexpr auto write_timeout = std::chrono::seconds(5);
/// The timeout of a body is this multiple of the timeout of a head.
constexpr int body_time_factor = 2;

net::steady_time after(duration time) { return std::chrono::steady_clock::now() + time; }

}  // namespace

caller_connection::caller_connection(net::timed_socket& connected)
    : socket(connected), requests(nullptr) {}

caller_connection::caller_connection(net::timed_socket& connected,
                                     std::shared_ptr<overload::client_registry> registry,
                                     overload::listener* at, std::string yield_text)
    : socket(connected),
      slot(std::make_unique<overload::client_slot>(
          std::move(registry), at, std::chrono::steady_clock::now(),
          [this](overload::yielded what) { this->yield(what); })),
      requests(this->slot.get()),
      yield_response(std::move(yield_text)) {}

caller_connection::~caller_connection() = default;

void caller_connection::yield(overload::yielded what) {
  this->has_yielded = true;
  if (what == overload::yielded::memory) {
    this->requests.drop();
    if (this->is_reading) {
      this->socket.cancel_read();
    }
    return;
  }
  const bool is_refused = this->requests.has_begun() && !this->has_started;
  this->requests.drop();
  if (is_refused) {
    this->socket.write_available(this->yield_response);
  }
  this->is_gone = true;
  this->socket.close();
}

asio::awaitable<error_code> caller_connection::read_some(std::string_view& bytes,
                                                         net::steady_time until) {
  error_code error = asio::error::would_block;
  while (error == asio::error::would_block) {
    if (this->reading_stopped || this->has_yielded || std::chrono::steady_clock::now() >= until) {
      co_return asio::error::timed_out;
    }
    const std::span<char> scratch = http::read_scratch();
    const std::size_t got =
        this->socket.read_available(asio::buffer(scratch.data(), scratch.size()), error);
    bytes = std::string_view(scratch.data(), got);
    if (error == asio::error::would_block) {
      const error_code failed = co_await this->wait_readable(until);
      if (failed) {
        co_return failed;
      }
    }
  }
  co_return error;
}

asio::awaitable<error_code> caller_connection::wait_readable(net::steady_time until) {
  if (this->reading_stopped || this->has_yielded) {
    co_return asio::error::timed_out;
  }
  this->is_reading = true;
  const error_code error = co_await this->socket.wait_readable(until);
  this->is_reading = false;
  co_return error;
}

void caller_connection::stop_reading() {
  this->reading_stopped = true;
  if (this->is_reading) {
    this->socket.cancel_read();
  }
}

failure caller_connection::incomplete_request() {
  if (this->has_yielded) {
    return {error_kind::overloaded, "the request had to yield its memory to others"};
  }
  if (this->reading_stopped) {
    return {error_kind::host_leaving, "the host stops before the request has arrived"};
  }
  if (this->slot) {
    this->slot->count_refusal(overload::refusal_cause::timeout);
  }
  return {error_kind::request_timeout, this->requests.is_head_complete()
                                           ? "the request body did not arrive in time"
                                           : "the request head did not arrive in time"};
}

asio::awaitable<http::assembly> caller_connection::read_first(
    const std::function<caller_limits()>& limits_in_force, caller_limits& limits) {
  std::string_view bytes;
  error_code error;
  if (!this->requests.has_begun()) {
    const net::steady_time until = after(limits_in_force().idle_timeout);
    // The first request usually arrives with the connection, further ones after a pause.
    if (!this->is_new) {
      error = co_await this->wait_readable(until);
    }
    this->is_new = false;
    if (!error) {
      error = co_await this->read_some(bytes, until);
    }
  }
  if (error) {
    this->is_gone = this->is_gone || error != asio::error::timed_out;
    co_return http::assembly::closed;
  }
  limits = limits_in_force();
  const http::assembly begun =
      this->requests.begin({limits.header_bytes, limits.body_bytes}, find_framing_error);
  if (begun != http::assembly::incomplete || bytes.empty()) {
    co_return begun;
  }
  co_return this->requests.add(bytes);
}

asio::awaitable<http::assembly> caller_connection::read_rest(const caller_limits& limits,
                                                             http::assembly state) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  net::steady_time until = after(limits.header_timeout);
  bool in_body = false;
  while (state == http::assembly::incomplete || state == http::assembly::expects_continue) {
    if (!in_body && this->requests.is_head_complete()) {
      in_body = true;
      until = after(limits.header_timeout * body_time_factor);
    }
    const bool expects = state == http::assembly::expects_continue;
    if (expects && !co_await this->send("HTTP/1.1 100 Continue\r\n\r\n")) {
      co_return http::assembly::closed;
    }
    // A client that sends without a pause must not keep others from being served.
    co_await asio::post(executor, asio::use_awaitable);
    std::string_view bytes;
    const error_code error = co_await this->read_some(bytes, until);
    if (error == asio::error::timed_out) {
      co_return http::assembly::incomplete;
    }
    if (error) {
      co_return http::assembly::closed;
    }
    state = this->requests.add(bytes);
  }
  co_return state;
}

asio::awaitable<read_outcome> caller_connection::read(
    const std::function<caller_limits()>& limits_in_force, http::request& into, failure& reason) {
  this->has_started = false;
  caller_limits limits;
  http::assembly state = co_await this->read_first(limits_in_force, limits);
  state = co_await this->read_rest(limits, state);
  if (state == http::assembly::closed || this->is_gone) {
    co_return read_outcome::closed;
  }
  if (state != http::assembly::complete) {
    reason =
        state == http::assembly::refused ? this->requests.reason() : this->incomplete_request();
    co_return read_outcome::refused;
  }
  this->keep_alive = this->requests.keep_alive();
  this->may_use_chunked_encoding = this->requests.may_use_chunks();
  into = this->requests.take();
  co_return read_outcome::request;
}

asio::awaitable<void> caller_connection::drop_rest(overload::drain_pace& pace, drop_time time,
                                                   const std::function<bool()>& must_end) {
  if (this->slot) {
    this->slot->enter(overload::client_phase::closing, std::chrono::steady_clock::now());
  }
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const net::steady_time least = after(time.least);
  const net::steady_time most = after(time.most);
  std::size_t due = this->requests.bytes_due();
  this->requests.drop();
  pace.begin();
  error_code error;
  while (!error && due > 0) {
    const net::steady_time now = std::chrono::steady_clock::now();
    if (now >= most || (now >= least && must_end())) {
      break;
    }
    error = co_await this->socket.wait_readable(std::min(most, after(time.least)));
    if (error == asio::error::timed_out) {
      error = {};
      continue;
    }
    const std::span<char> scratch = http::read_scratch();
    if (!error) {
      due -= std::min(
          due, this->socket.read_available(asio::buffer(scratch.data(), scratch.size()), error));
      error = error == asio::error::would_block ? error_code() : error;
    }
    if (!error) {
      asio::steady_timer timer(executor, pace.pause());
      error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  pace.end();
}

std::string caller_connection::head_bytes(int status,
                                          const std::vector<http::header>& headers) const {
  const auto reason = bhttp::obsolete_reason(static_cast<bhttp::status>(status));
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason));
  for (const http::header& item : headers) {
    head += fmt::format("{}: {}\r\n", item.name, item.value);
  }
  head += this->keep_alive ? "" : "Connection: close\r\n";
  return head;
}

asio::awaitable<bool> caller_connection::send(std::string_view bytes) {
  if (this->is_gone) {
    co_return false;
  }
  const error_code error = co_await this->socket.write_all(bytes, after(write_timeout));
  this->is_gone = this->is_gone || error.failed();
  co_return !this->is_gone;
}

asio::awaitable<bool> caller_connection::respond(int status,
                                                 const std::vector<http::header>& headers,
                                                 std::string_view body) {
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  std::string bytes = this->head_bytes(status, headers);
  if (status != no_content && status != not_modified) {
    bytes += fmt::format("Content-Length: {}\r\n", body.size());
  }
  bytes += "\r\n";
  this->has_started = true;
  // A large body is not copied.
  constexpr std::size_t max_copied_bytes = std::size_t{64} * 1024;
  if (body.size() > max_copied_bytes) {
    const bool head_sent = co_await this->send(bytes);
    co_return head_sent&& co_await this->send(body);
  }
  bytes += body;
  co_return co_await this->send(bytes);
}

asio::awaitable<bool> caller_connection::start(int status,
                                               const std::vector<http::header>& headers) {
  this->has_started = true;
  this->keep_alive = this->keep_alive && this->may_use_chunked_encoding;
  if (this->ends_with_connection()) {
    this->socket.set_reset_at_end(true);
  }
  std::string bytes = this->head_bytes(status, headers);
  bytes += this->may_use_chunked_encoding ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
  co_return co_await this->send(bytes);
}

asio::awaitable<bool> caller_connection::write(std::string_view piece) {
  if (piece.empty()) {
    co_return !this->is_gone;
  }
  if (!this->may_use_chunked_encoding) {
    co_return co_await this->send(piece);
  }
  const std::string bytes = fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
  co_return co_await this->send(bytes);
}

asio::awaitable<bool> caller_connection::finish() {
  if (this->ends_with_connection()) {
    if (!this->is_gone) {
      this->socket.set_reset_at_end(false);
    }
    co_return !this->is_gone;
  }
  co_return co_await this->send("0\r\n\r\n");
}

void caller_connection::abort_connection() {
  this->is_gone = true;
  this->socket.close(true);
}

}  // namespace hawthornlane::relay
