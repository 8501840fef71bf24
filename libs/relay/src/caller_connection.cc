// One caller's connection.
#include "hawthornlane/relay/caller_connection.h"

#include <fmt/format.h>

#include <boost/beast/http.hpp>

#include "hawthornlane/relay/framing.h"

namespace hawthornlane::relay {
namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using net::error_code;

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Timeout of one write to a caller. A slower caller would hold memory for too long.
constexpr auto write_timeout = std::chrono::seconds(5);
/// The timeout of a body is this multiple of the timeout of a head.
constexpr int body_time_factor = 2;
/// Bytes read beyond the header limit, so that exceeding it is detected and reported as such.
constexpr std::size_t header_overrun = 1;
/// Limit of the line before a chunk of a body, and of the fields after the last one.
constexpr std::size_t max_chunk_framing_bytes = std::size_t{16} * 1024;

using parser_type = bhttp::request_parser<bhttp::string_body>;

/// HTTP/1.0 in Beast's version numbers.
constexpr unsigned http_1_0 = 10;

net::steady_time after(duration time) { return std::chrono::steady_clock::now() + time; }

/// Feeds `buffer` to the parser and removes the consumed bytes.
error_code feed(parser_type& parser, std::string& buffer) {
  while (!buffer.empty() && !parser.is_done()) {
    error_code error;
    const std::size_t taken = parser.put(asio::buffer(buffer), error);
    buffer.erase(0, taken);
    if (error && error != bhttp::error::need_more) {
      return error;
    }
    if (error || taken == 0) {
      break;
    }
  }
  const bool too_large = !parser.is_done() && buffer.size() > max_chunk_framing_bytes;
  return too_large ? make_error_code(bhttp::error::body_limit) : error_code();
}

failure failure_from(const error_code& error) {
  const bool large = error == bhttp::error::body_limit;
  return {large ? error_kind::body_too_large : error_kind::bad_request, error.message()};
}

void copy_request(parser_type& parser, http::request& into) {
  auto& message = parser.get();
  into.method = std::string(message.method_string());
  into.target = std::string(message.target());
  into.path = into.target.substr(0, into.target.find('?'));
  into.headers.clear();
  for (const auto& item : message) {
    into.headers.push_back({std::string(item.name_string()), std::string(item.value())});
  }
  into.body = std::move(message.body());
}

}  // namespace

struct caller_connection::request_parser {
  parser_type parser;
};

asio::awaitable<error_code> caller_connection::read_more(std::size_t max_bytes,
                                                         net::steady_time until) {
  if (this->reading_stopped) {
    co_return asio::error::timed_out;
  }
  this->is_reading = true;
  const error_code error = co_await this->socket.read_more(this->buffer, max_bytes, until);
  this->is_reading = false;
  co_return error;
}

void caller_connection::stop_reading() {
  this->reading_stopped = true;
  if (this->is_reading) {
    this->socket.cancel_read();
  }
}

failure caller_connection::incomplete_request(const char* detail) const {
  if (this->reading_stopped) {
    return {error_kind::host_leaving, "the host stops before the request has arrived"};
  }
  return {error_kind::request_timeout, detail};
}

asio::awaitable<bool> caller_connection::wait_for_request(const caller_limits& limits) {
  if (!this->buffer.empty()) {
    co_return true;
  }
  const error_code error = co_await this->read_more(
      std::min(read_size, limits.header_bytes + header_overrun), after(limits.idle_timeout));
  co_return !error;
}

asio::awaitable<read_outcome> caller_connection::read_head(const caller_limits& limits,
                                                           std::size_t& length, failure& reason) {
  const net::steady_time head_until = after(limits.header_timeout);
  while (!head_length(this->buffer) && this->buffer.size() <= limits.header_bytes) {
    const error_code error = co_await this->read_more(
        std::min(read_size, limits.header_bytes + header_overrun), head_until);
    if (error == asio::error::timed_out) {
      reason = this->incomplete_request("the request head did not arrive in time");
      co_return read_outcome::refused;
    }
    if (error) {
      co_return read_outcome::closed;
    }
  }
  length = head_length(this->buffer).value_or(this->buffer.size());
  if (length > limits.header_bytes) {
    reason = {error_kind::header_too_large, "the request head exceeds the limit"};
    co_return read_outcome::refused;
  }
  if (const auto error_found =
          find_framing_error(std::string_view(this->buffer).substr(0, length))) {
    reason = {error_kind::bad_request, *error_found};
    co_return read_outcome::refused;
  }
  co_return read_outcome::request;
}

asio::awaitable<read_outcome> caller_connection::read_body(const caller_limits& limits,
                                                           request_parser& from, failure& reason) {
  error_code error_found = feed(from.parser, this->buffer);
  const net::steady_time until = after(limits.header_timeout * body_time_factor);
  const bool expects_continue =
      from.parser.is_header_done() && !from.parser.is_done() &&
      same_header_name(from.parser.get()[bhttp::field::expect], "100-continue");
  if (!error_found && expects_continue && !co_await this->send("HTTP/1.1 100 Continue\r\n\r\n")) {
    co_return read_outcome::closed;
  }
  while (!error_found && !from.parser.is_done()) {
    const error_code error = co_await this->read_more(read_size, until);
    if (error == asio::error::timed_out) {
      reason = this->incomplete_request("the request body did not arrive in time");
      co_return read_outcome::refused;
    }
    if (error) {
      co_return read_outcome::closed;
    }
    error_found = feed(from.parser, this->buffer);
  }
  if (error_found) {
    reason = failure_from(error_found);
    co_return read_outcome::refused;
  }
  co_return read_outcome::request;
}

asio::awaitable<read_outcome> caller_connection::read(
    const std::function<caller_limits()>& limits_in_force, http::request& into, failure& reason) {
  this->has_started = false;
  const bool has_begun = co_await this->wait_for_request(limits_in_force());
  if (!has_begun) {
    co_return read_outcome::closed;
  }
  const caller_limits limits = limits_in_force();
  std::size_t length = 0;
  read_outcome outcome = co_await this->read_head(limits, length, reason);
  if (outcome != read_outcome::request) {
    co_return outcome;
  }
  request_parser from;
  from.parser.eager(true);
  from.parser.header_limit(static_cast<std::uint32_t>(length + 1));
  from.parser.body_limit(limits.body_bytes);
  outcome = co_await this->read_body(limits, from, reason);
  if (outcome != read_outcome::request) {
    co_return outcome;
  }
  this->keep_alive = from.parser.keep_alive();
  this->may_use_chunked_encoding = from.parser.get().version() > http_1_0;
  copy_request(from.parser, into);
  co_return read_outcome::request;
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
