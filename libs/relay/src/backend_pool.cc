// A pool of connections to backend servers, and sending a call over one of them.
#include "hawthornlane/relay/backend_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "hawthornlane/http/response_reader.h"
#include "hawthornlane/relay/framing.h"
#include "server_connection.h"

namespace hawthornlane::relay {
namespace asio = boost::asio;
using net::error_code;

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Round trips to servers take about a millisecond. A lost first packet is retransmitted after
/// one second; trying another server is faster.
constexpr auto connect_timeout = std::chrono::milliseconds(400);
/// Limit for a check whether a server listens; callers wait for its result.
constexpr auto listening_timeout = std::chrono::milliseconds(150);
/// Interval of connection attempts to a server that closes each connection, which it does if it has
/// too many or is ending; doubles with each attempt.
constexpr auto first_check_interval = std::chrono::milliseconds(5);
/// Idle connections kept per server. One host's share of a server's calls rarely needs more.
constexpr std::size_t max_idle_connections = 16;
/// How long an idle connection may be reused if the server sends no Keep-Alive header. Such
/// servers close idle connections after a few seconds.
constexpr auto max_idle_time = std::chrono::seconds(4);
/// The same limit for calls that are not repeatable: some servers drop idle connections early
/// without notice.
constexpr auto max_idle_time_not_repeatable = std::chrono::milliseconds(1500);
/// Fraction of the server's advertised Keep-Alive time that is used.
constexpr double keep_alive_share = 0.6;
/// Responses to other calls that are skipped before the connection is closed.
constexpr int max_mismatched_responses = 3;
/// Limit of all responses in memory, unless another one is set.
constexpr std::size_t default_buffered_bytes = std::size_t{64} * 1024 * 1024;
/// Divisor of that limit: what small responses may take in addition.
constexpr std::size_t small_share = 4;
/// A request's body of up to this size is copied behind its head, to be written at once.
constexpr std::size_t max_copied_body = std::size_t{64} * 1024;
constexpr int first_failure_status = 300;
/// Statuses that tell a caller that the call has not run and will not run. If a server sends one
/// without stating that it did not run the call, the attempt counts as broken.
constexpr std::array not_run_statuses{408, 421, 429, 503};

std::optional<std::chrono::seconds> keep_alive_time(const std::vector<http::header>& headers) {
  for (const http::header& item : headers) {
    if (!same_header_name(item.name, "keep-alive")) {
      continue;
    }
    const std::size_t at = item.value.find("timeout=");
    if (at == std::string::npos) {
      continue;
    }
    const char* begin = item.value.data() + at + std::string_view("timeout=").size();
    int seconds = 0;
    if (std::from_chars(begin, item.value.data() + item.value.size(), seconds).ec == std::errc{}) {
      return std::chrono::seconds(seconds);
    }
  }
  return std::nullopt;
}

bool is_event_stream(const std::vector<http::header>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const http::header& item) {
    return same_header_name(item.name, "content-type") &&
           item.value.starts_with("text/event-stream");
  });
}

bool implies_not_run(int status) {
  return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) !=
         not_run_statuses.end();
}

/// A request as it is written: the pieces one after the other.
struct request_message {
  /// The head, and the body too if it is copied.
  std::string begin;
  std::array<std::string_view, 2> body;
  std::shared_ptr<const void> body_owner;
};

request_message message_of(const backend_request& request) {
  request_message message;
  std::string& bytes = message.begin;
  bytes = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  for (const http::header& item : request.headers) {
    bytes += fmt::format("{}: {}\r\n", item.name, item.value);
  }
  const std::size_t size = request.body_begin.size() + request.body.size();
  if (size > 0 || request.method == "POST" || request.method == "PUT") {
    bytes += fmt::format("Content-Length: {}\r\n", size);
  }
  bytes += "\r\n";
  if (request.body_owner && size > max_copied_body) {
    message.body = {request.body_begin, request.body};
    message.body_owner = request.body_owner;
    return message;
  }
  bytes += request.body_begin;
  bytes += request.body;
  return message;
}

asio::awaitable<error_code> write_message(net::timed_socket& socket, const request_message& message,
                                          net::steady_time until) {
  error_code error = co_await socket.write_all(message.begin, until);
  for (const std::string_view piece : message.body) {
    if (!error && !piece.empty()) {
      error = co_await socket.write_all(piece, until);
    }
  }
  co_return error;
}

}  // namespace

void attempt_handle::abandon() {
  this->abandoned = true;
  if (this->socket != nullptr) {
    this->socket->close(true);
  }
}

backend_pool::backend_pool(asio::io_context& io, net::deadline_sweeper& sweep,
                           const call_codec& with)
    : context(io),
      sweeper(sweep),
      codec(with),
      buffered(std::make_shared<overload::byte_budget>(default_buffered_bytes,
                                                       default_buffered_bytes / small_share)) {}

backend_pool::~backend_pool() = default;

void backend_pool::limit_buffered_bytes(std::size_t max_bytes) {
  this->buffered = std::make_shared<overload::byte_budget>(max_bytes, max_bytes / small_share);
}

backend_pool::connection_ptr backend_pool::take_idle(const backend_request& request) {
  const auto found = this->idle.find(request.where);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const net::steady_time now = std::chrono::steady_clock::now();
  auto& connections = found->second;
  while (!connections.empty()) {
    connection_ptr candidate = std::move(connections.back());
    connections.pop_back();
    const bool same_incarnation = candidate->server_start == request.server_start;
    const bool fresh =
        request.repeatable || now - candidate->idle_since < max_idle_time_not_repeatable;
    if (same_incarnation && fresh && now < candidate->usable_until &&
        !candidate->socket.stale_while_idle()) {
      candidate->reused = true;
      return candidate;
    }
  }
  return nullptr;
}

void backend_pool::put_idle(const backend_request& request, connection_ptr connection) {
  auto& connections = this->idle[request.where];
  if (connections.size() >= max_idle_connections) {
    return;
  }
  connection->idle_since = std::chrono::steady_clock::now();
  connection->server_start = request.server_start;
  connections.push_back(std::move(connection));
}

void backend_pool::close_idle(const std::function<bool(const http::endpoint&)>& still_listed) {
  const net::steady_time now = std::chrono::steady_clock::now();
  for (auto& [where, connections] : this->idle) {
    const bool listed = still_listed(where);
    std::erase_if(connections,
                  [&](const connection_ptr& item) { return !listed || now >= item->usable_until; });
  }
  std::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
}

asio::awaitable<backend_pool::connection_ptr> backend_pool::acquire(const backend_request& request,
                                                                    attempt_handle& handle,
                                                                    std::string& detail) {
  connection_ptr connection = this->take_idle(request);
  if (connection) {
    ++this->counts.reused;
    handle.socket = &connection->socket;
    co_return connection;
  }
  connection = std::make_unique<server_connection>(this->context, this->sweeper);
  handle.socket = &connection->socket;
  const net::steady_time until =
      std::min(request.until, std::chrono::steady_clock::now() + connect_timeout);
  const error_code error = co_await connection->socket.connect(request.where, until);
  if (error) {
    handle.socket = nullptr;
    detail = "connect: " + error.message();
    co_return nullptr;
  }
  ++this->counts.opened;
  co_return connection;
}

asio::awaitable<listening_state> backend_pool::check_listening(http::endpoint where,
                                                               duration watch_time) {
  const net::steady_time watched_until = std::chrono::steady_clock::now() + watch_time;
  net::steady_time next_attempt = std::chrono::steady_clock::now();
  auto interval = first_check_interval;
  do {
    net::timed_socket socket(this->context, this->sweeper);
    ++this->counts.opened;
    const error_code error =
        co_await socket.connect(where, std::chrono::steady_clock::now() + listening_timeout);
    if (error) {
      const bool is_refused = error == asio::error::connection_refused;
      co_return is_refused ? listening_state::refused : listening_state::silent;
    }
    std::string nothing;
    co_await socket.read_more(nothing, 1, watched_until);
    socket.close(true);
    next_attempt = std::max(next_attempt + interval, std::chrono::steady_clock::now());
    interval *= 2;
    if (next_attempt < watched_until) {
      asio::steady_timer pause(this->context, next_attempt);
      error_code ignored;
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  } while (next_attempt < watched_until);
  co_return listening_state::listening;
}

asio::awaitable<attempt_outcome> backend_pool::run(const backend_request& request,
                                                   const stream_sink& sink, attempt_handle& handle,
                                                   backend_response& answer, std::string& detail) {
  connection_ptr connection = co_await this->acquire(request, handle, detail);
  if (handle.abandoned) {
    co_return attempt_outcome::abandoned;
  }
  if (!connection) {
    co_return attempt_outcome::not_sent;
  }
  co_return co_await this->run_on(std::move(connection), request, sink, handle, answer, detail);
}

asio::awaitable<attempt_outcome> backend_pool::run_on(
    connection_ptr connection, const backend_request& request, const stream_sink& sink,
    attempt_handle& handle, backend_response& answer, std::string& detail) {
  // A server may respond before it has read a long body, so the response is read while the
  // request is still being written.
  server_connection& current = *connection;
  handle.socket = &current.socket;
  current.sending = sending_state::writing;
  current.reusable = false;
  const auto alive = std::make_shared<connection_ptr>(std::move(connection));
  const auto bytes = std::make_shared<const request_message>(message_of(request));
  asio::co_spawn(
      this->context,
      [](std::shared_ptr<connection_ptr> held, std::shared_ptr<const request_message> message,
         net::steady_time until) -> asio::awaitable<void> {
        const error_code error = co_await write_message((*held)->socket, *message, until);
        (*held)->sending = error ? sending_state::failed : sending_state::sent;
        (*held)->written.wake();
      }(alive, bytes, request.until),
      asio::detached);
  attempt_outcome outcome = co_await this->exchange(current, request, sink, handle, answer, detail);
  handle.socket = nullptr;
  this->counts.malformed_responses += answer.is_malformed ? 1 : 0;
  if (handle.abandoned) {
    outcome = attempt_outcome::abandoned;
  }
  const bool complete = outcome == attempt_outcome::whole || outcome == attempt_outcome::not_run;
  if (complete && current.reusable && current.sending == sending_state::sent &&
      current.buffer.empty()) {
    this->put_idle(request, std::move(*alive));
  } else {
    current.socket.close(!complete);
  }
  co_return outcome;
}

asio::awaitable<attempt_outcome> backend_pool::exchange(
    server_connection& connection, const backend_request& request, const stream_sink& sink,
    attempt_handle& handle, backend_response& answer, std::string& detail) {
  for (int skipped = 0; skipped <= max_mismatched_responses; ++skipped) {
    http::response_reader from({}, request.method == "HEAD");
    auto invalid = from.feed(connection.buffer);
    error_code error;
    while (!error && !invalid && !from.has_head()) {
      error = co_await connection.socket.read_more(connection.buffer, read_size, request.until);
      if (!error) {
        invalid = from.feed(connection.buffer);
      }
    }
    answer.is_malformed = invalid.has_value();
    answer.is_cut_off = error && error != asio::error::timed_out;
    if (error || invalid) {
      detail = "head: " + invalid.value_or(error.message());
      co_return error == asio::error::timed_out ? attempt_outcome::timed_out
                                                : attempt_outcome::broken;
    }
    answer.status = from.status();
    answer.headers = from.headers();
    answer.ends_with_connection = from.ends_with_connection();
    answer.terms = this->codec.decode_response(answer.status, answer.headers);
    const bool is_mismatched = answer.terms.id && *answer.terms.id != request.id;
    answer.has_begun = !is_mismatched;
    const stream_sink none;
    const attempt_outcome outcome = co_await this->read_body(
        connection, request, is_mismatched ? none : sink, from, handle, answer, detail);
    if (!is_mismatched) {
      co_return outcome;
    }
    ++this->counts.mismatched_responses;
    if (outcome != attempt_outcome::whole && outcome != attempt_outcome::not_run) {
      co_return outcome == attempt_outcome::timed_out ? outcome : attempt_outcome::broken;
    }
  }
  detail = "too many responses to other calls";
  co_return attempt_outcome::broken;
}

asio::awaitable<attempt_outcome> backend_pool::read_body(
    server_connection& connection, const backend_request& request, const stream_sink& sink,
    http::response_reader& from, attempt_handle& handle, backend_response& answer,
    std::string& detail) {
  std::shared_ptr<end_witness> witness;
  if (answer.ends_with_connection && !answer.terms.not_run) {
    witness = this->open_witness(request);
  }
  const bool is_stream =
      sink.on_head && answer.status < first_failure_status && is_event_stream(answer.headers);
  if (is_stream && !co_await sink.on_head(answer)) {
    co_return attempt_outcome::abandoned;
  }
  std::string whole;
  overload::byte_share share(this->buffered);
  while (true) {
    const std::string piece = from.take_body();
    if (is_stream && !piece.empty() && !co_await sink.on_bytes(piece)) {
      co_return attempt_outcome::abandoned;
    }
    if (!is_stream) {
      whole += piece;
    }
    if (from.is_done()) {
      break;
    }
    if (!share.grow_to(whole.capacity())) {
      detail = "the responses in memory are too large";
      co_return attempt_outcome::broken;
    }
    error_code error =
        co_await connection.socket.read_more(connection.buffer, read_size, request.until);
    if (error == asio::error::eof && from.ends_with_connection() && !from.end()) {
      error = {};
    }
    answer.is_cut_off = error && error != asio::error::timed_out;
    std::optional<std::string> invalid;
    if (!error) {
      // Behind these bytes the end may have arrived already, with the end of the process.
      if (!from.is_done() && !connection.socket.stale_while_idle()) {
        this->renew_witness(witness, request);
      }
      invalid = from.feed(connection.buffer);
      answer.is_malformed = invalid.has_value();
    }
    if (error || invalid) {
      detail = "body: " + invalid.value_or(error.message());
      co_return error == asio::error::timed_out ? attempt_outcome::timed_out
                                                : attempt_outcome::broken;
    }
  }
  if (answer.ends_with_connection && !answer.terms.not_run) {
    const attempt_outcome end =
        co_await this->confirm_end(connection, request, witness, handle, detail);
    const bool is_whole = end == attempt_outcome::whole;
    ++(is_whole ? this->counts.ends_confirmed : this->counts.ends_unconfirmed);
    answer.is_cut_off = end == attempt_outcome::broken;
    if (!is_whole) {
      co_return end;
    }
  }
  answer.body = std::move(whole);
  answer.memory = std::move(share);
  const auto idle_time = keep_alive_time(answer.headers);
  const net::steady_time now = std::chrono::steady_clock::now();
  connection.usable_until = now + max_idle_time;
  if (idle_time) {
    const auto share = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(*idle_time) * keep_alive_share);
    connection.usable_until = now + share;
  }
  connection.reusable = from.keeps_connection();
  co_return outcome_of(connection, answer, detail);
}

attempt_outcome backend_pool::outcome_of(const server_connection& connection,
                                         const backend_response& answer, std::string& detail) {
  if (answer.terms.not_run) {
    // On a reused connection a refusal without an id may be a late response to an earlier call.
    const bool is_certain = answer.terms.id || !connection.reused;
    if (is_certain) {
      return attempt_outcome::not_run;
    }
    ++this->counts.unidentified_refusals;
    detail = "a refusal without a request id on a reused connection";
    return attempt_outcome::broken;
  }
  if (implies_not_run(answer.status)) {
    detail = fmt::format("status {} does not say whether the call ran", answer.status);
    return attempt_outcome::broken;
  }
  return attempt_outcome::whole;
}

}  // namespace hawthornlane::relay
