// The HTTP client, on Boost.Beast.
#include "hawthornlane/http/client.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>

#include "hawthornlane/http/connection_end.h"
#include "hawthornlane/http/response_reader.h"

namespace hawthornlane::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t max_idle_per_endpoint = 32;
constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Limit of the body of an error response.
constexpr std::size_t max_error_bytes = std::size_t{64} * 1024;

std::chrono::steady_clock::duration steady(duration time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
}

/// Whether an idle connection is open and nothing has arrived on it. What has arrived answers no
/// request.
bool is_quiet(beast::tcp_stream& stream) {
  error_code error;
  stream.socket().non_blocking(true, error);
  char byte = 0;
  stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

struct client::pool {
  std::mutex mutex;
  std::map<endpoint, std::vector<std::unique_ptr<beast::tcp_stream>>> streams;

  std::unique_ptr<beast::tcp_stream> take(const endpoint& where) {
    const std::lock_guard lock(this->mutex);
    auto& available = this->streams[where];
    while (!available.empty()) {
      auto stream = std::move(available.back());
      available.pop_back();
      if (is_quiet(*stream)) {
        return stream;
      }
    }
    return nullptr;
  }

  void put_idle(const endpoint& where, std::unique_ptr<beast::tcp_stream> stream) {
    stream->expires_never();
    const std::lock_guard lock(this->mutex);
    auto& available = this->streams[where];
    if (available.size() < max_idle_per_endpoint) {
      available.push_back(std::move(stream));
    }
  }
};

namespace {

using string_request = bhttp::request<bhttp::string_body>;

string_request to_beast_request(const endpoint& where, const request& what) {
  string_request message;
  message.version(11);
  message.method_string(what.method);
  message.target(what.target);
  message.set(bhttp::field::host, to_string(where));
  for (const header& item : what.headers) {
    message.set(item.name, item.value);
  }
  message.body() = what.body;
  message.prepare_payload();
  return message;
}

response to_response(const response_reader& reader) {
  response plain;
  plain.status = reader.status();
  plain.headers = reader.headers();
  plain.content_type = plain.find_header("content-type").value_or("");
  return plain;
}

/// One attempt to get a response over one connection.
struct attempt {
  std::unique_ptr<beast::tcp_stream> stream;
  /// The connection comes from the pool; the server may have closed it in the meantime.
  bool reused = false;
  bool try_again = false;
  bool reusable = false;
  std::optional<response> head;
};

/// Limits of one response.
struct response_limits {
  response_sizes sizes;
  /// Between two parts.
  duration idle_time{};
  /// From the head to the end of the body.
  std::optional<duration> body_time;
  accepted_end ends = accepted_end::framing;
};

/// Enables TCP keepalive probes, so that a long wait for a response ends soon if the peer or the
/// network path is lost without a TCP close.
void enable_keepalive(tcp::socket& socket) {
  using asio::detail::socket_option::integer;
  constexpr int probe_seconds = 1;
  constexpr int probes = 3;
  error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(probe_seconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(probe_seconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(probes), ignored);
}

asio::awaitable<bool> connect(beast::tcp_stream& stream, const endpoint& where, duration limit,
                              fetch_failure& reason) {
  error_code error;
  const auto address = asio::ip::make_address(where.address, error);
  if (!error) {
    stream.expires_after(steady(limit));
    co_await stream.async_connect(tcp::endpoint(address, where.port),
                                  asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    reason.detail = to_string(where) + ": " + error.message();
    reason.reached = progress::not_connected;
    co_return false;
  }
  stream.socket().set_option(tcp::no_delay(true), error);
  enable_keepalive(stream.socket());
  co_return true;
}

/// Reads what arrives next into `buffer`.
asio::awaitable<error_code> read_more(beast::tcp_stream& stream, std::string& buffer) {
  std::array<char, read_size> bytes{};
  error_code error;
  const std::size_t size = co_await stream.async_read_some(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  buffer.append(bytes.data(), size);
  co_return read_error(stream.socket(), error);
}

/// Passes the body to `sink`, or stores it in `head.body` when the status is an error.
asio::awaitable<bool> read_body(beast::tcp_stream& stream, std::string& buffer,
                                response_reader& reader, const response_limits& limits,
                                const body_sink& sink, response& head, fetch_failure& reason) {
  using clock = std::chrono::steady_clock;
  const auto until =
      limits.body_time ? clock::now() + steady(*limits.body_time) : clock::time_point::max();
  reason.reached = progress::partial_response;
  while (true) {
    const std::string part = reader.take_body();
    if (!head.is_success()) {
      head.body += part;
      if (head.body.size() > max_error_bytes) {
        reason.detail = "the body of the error response is too large";
        co_return false;
      }
    } else if (!part.empty() && !sink(part)) {
      reason.detail = "the receiver stopped the transfer";
      co_return false;
    }
    if (reader.is_done()) {
      break;
    }
    const auto now = clock::now();
    if (now >= until) {
      reason.detail = "the body did not end in time";
      co_return false;
    }
    stream.expires_at(std::min(until, now + steady(limits.idle_time)));
    const error_code error = co_await read_more(stream, buffer);
    const bool has_ended = error == asio::error::eof && reader.ends_with_connection();
    if (error && !has_ended) {
      reason.detail = error.message();
      co_return false;
    }
    auto invalid = has_ended ? reader.end() : reader.feed(buffer);
    if (invalid) {
      reason.detail = std::move(*invalid);
      reason.is_malformed = !has_ended;
      co_return false;
    }
  }
  if (reader.ends_with_connection() && limits.ends == accepted_end::framing) {
    reason.detail = "the body has no length and ended with its connection";
    co_return false;
  }
  co_return true;
}

/// Must run on the connection's own strand, to avoid races with the stream's timer.
asio::awaitable<void> run(attempt& one, const endpoint& where, const string_request& message,
                          const response_limits& limits, const body_sink& sink,
                          fetch_failure& reason) {
  if (!one.reused) {
    const bool connected = co_await connect(*one.stream, where, limits.idle_time, reason);
    if (!connected) {
      co_return;
    }
  }
  error_code error;
  response_reader reader(limits.sizes, message.method() == bhttp::verb::head);
  std::string buffer;
  one.stream->expires_after(steady(limits.idle_time));
  co_await bhttp::async_write(*one.stream, message,
                              asio::redirect_error(asio::use_awaitable, error));
  std::optional<std::string> invalid;
  while (!error && !invalid && !reader.has_head()) {
    error = co_await read_more(*one.stream, buffer);
    if (!error) {
      invalid = reader.feed(buffer);
    }
  }
  if (error || invalid) {
    reason.reached = invalid ? progress::partial_response : progress::possibly_sent;
    reason.is_malformed = invalid.has_value();
    reason.detail = to_string(where) + ": " + invalid.value_or(error.message());
    one.try_again = one.reused && !invalid && error != beast::error::timeout;
    co_return;
  }
  response head = to_response(reader);
  const bool whole = co_await read_body(*one.stream, buffer, reader, limits, sink, head, reason);
  if (!whole) {
    co_return;
  }
  one.reusable = reader.keeps_connection() && buffer.empty();
  one.head = std::move(head);
}

}  // namespace

client::client(std::size_t max_bytes)
    : max_response_bytes(max_bytes), idle(std::make_shared<pool>()) {}
client::~client() = default;

asio::awaitable<std::optional<response>> client::fetch(endpoint where, request what, duration limit,
                                                       fetch_failure& reason, accepted_end ends) {
  std::string body;
  const auto append = [&body](std::string_view part) {
    body += part;
    return true;
  };
  auto head = co_await this->exchange(where, std::move(what), limit, limit * body_time_factor, ends,
                                      append, reason);
  if (head && head->body.empty()) {
    head->body = std::move(body);
  }
  co_return head;
}

asio::awaitable<std::optional<response>> client::fetch_stream(endpoint where, request what,
                                                              duration idle_timeout, body_sink sink,
                                                              fetch_failure& reason,
                                                              accepted_end ends,
                                                              std::optional<duration> body_time) {
  co_return co_await this->exchange(where, std::move(what), idle_timeout, body_time, ends,
                                    std::move(sink), reason);
}

asio::awaitable<std::optional<response>> client::exchange(endpoint where, request what,
                                                          duration idle_timeout,
                                                          std::optional<duration> body_limit,
                                                          accepted_end ends, body_sink sink,
                                                          fetch_failure& reason) {
  const response_sizes sizes{.body = this->max_response_bytes};
  const response_limits limits{sizes, idle_timeout, body_limit, ends};
  const auto executor = co_await asio::this_coro::executor;
  const string_request message = to_beast_request(where, what);
  // The server may have closed a pooled connection, and a failed write does not tell whether the
  // request arrived. So only requests that may run twice (GET) use the pool.
  const bool repeatable = what.method == "GET";
  while (true) {
    attempt one;
    one.stream = repeatable ? this->idle->take(where) : nullptr;
    one.reused = one.stream != nullptr;
    if (!one.stream) {
      one.stream = std::make_unique<beast::tcp_stream>(asio::make_strand(executor));
    }
    const auto strand = one.stream->get_executor();
    co_await asio::co_spawn(strand, run(one, where, message, limits, sink, reason),
                            asio::use_awaitable);
    if (one.try_again) {
      continue;
    }
    if (one.reusable) {
      this->idle->put_idle(where, std::move(one.stream));
    }
    co_return std::move(one.head);
  }
}

}  // namespace hawthornlane::http
