// A response that a server sends before it has read the request's body, and the end of its
// connection. For comparison, the same response may follow the whole request.
#include "hawthornlane/stand_ins/early_response.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <limits>

#include "backend_state.h"

namespace hawthornlane::stand_ins {
namespace bhttp = boost::beast::http;

namespace {

/// Limit of a request's head.
constexpr std::size_t max_head = std::size_t{64} * 1024;
/// Interval at which the rest of a head is looked for.
constexpr auto peek_interval = std::chrono::milliseconds(1);
/// Longer than any call waits.
constexpr auto hold_time = std::chrono::seconds(20);
constexpr std::string_view head_end = "\r\n\r\n";

std::optional<waiting_head> head_from(std::string_view bytes) {
  bhttp::request_parser<bhttp::empty_body> parser;
  parser.body_limit(boost::none);
  boost::system::error_code error;
  parser.put(asio::buffer(bytes.data(), bytes.size()), error);
  if (!parser.is_header_done()) {
    return std::nullopt;
  }
  waiting_head head;
  head.head_size = bytes.size();
  head.body_size = parser.content_length().value_or(0);
  head.request.method = std::string(parser.get().method_string());
  head.request.target = std::string(parser.get().target());
  for (const auto& item : parser.get()) {
    head.request.headers.push_back({std::string(item.name_string()), std::string(item.value())});
  }
  return head;
}

/// Reads this many bytes, or until the connection ends.
asio::awaitable<void> drop(net::timed_socket& socket, std::size_t size, net::steady_time until) {
  std::array<char, max_head> scratch{};
  net::error_code error;
  while (size > 0 && !error) {
    const asio::mutable_buffer into(scratch.data(), std::min(size, scratch.size()));
    size -= co_await socket.read_some(into, until, error);
  }
}

asio::awaitable<bool> end_connection(net::timed_socket& socket, std::size_t unread,
                                     early_ending ending, std::chrono::milliseconds pause,
                                     net::steady_time until) {
  constexpr std::size_t until_end = std::numeric_limits<std::size_t>::max();
  switch (ending) {
    case early_ending::reset:
      socket.close(true);
      break;
    case early_ending::close_unread:
      socket.close();
      break;
    case early_ending::end_then_reset:
      socket.shutdown_send();
      co_await delay(pause);
      socket.close(true);
      break;
    case early_ending::end_and_hold:
      socket.shutdown_send();
      co_await delay(hold_time);
      socket.close(true);
      break;
    case early_ending::end_and_drain:
      socket.shutdown_send();
      co_await drop(socket, until_end, until);
      socket.close();
      break;
    case early_ending::drain_then_end:
      co_await drop(socket, unread, until);
      socket.close();
      break;
    case early_ending::keep_open:
      co_await drop(socket, unread, until);
      co_return true;
  }
  co_return false;
}

}  // namespace

std::string_view name_of(early_ending ending) {
  constexpr std::array<std::string_view, 7> names{
      "reset",          "closed with unread bytes", "ended, then reset", "ended, not read",
      "ended, drained", "drained, then ended",      "left open"};
  return names.at(static_cast<std::size_t>(ending));
}

asio::awaitable<std::optional<waiting_head>> peek_head(net::timed_socket& socket, int descriptor,
                                                       net::steady_time until) {
  std::string bytes(max_head, '\0');
  while (!co_await socket.wait_readable(until)) {
    const ssize_t size = ::recv(descriptor, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    const bool has_ended = size == 0 || (size < 0 && errno != EAGAIN);
    if (has_ended) {
      break;
    }
    const std::string_view arrived(bytes.data(),
                                   static_cast<std::size_t>(std::max(size, ssize_t{0})));
    const std::size_t end = arrived.find(head_end);
    if (end != std::string_view::npos) {
      co_return head_from(arrived.substr(0, end + head_end.size()));
    }
    co_await delay(peek_interval);
  }
  co_return std::nullopt;
}

asio::awaitable<bool> send_early_response(net::timed_socket& socket, waiting_head head,
                                          early_response what, net::steady_time until) {
  const std::size_t unread = what.is_late ? 0 : head.body_size;
  co_await drop(socket, head.head_size + head.body_size - unread, until);
  const net::error_code failed = co_await socket.write_all(what.bytes, until);
  if (failed) {
    co_return false;
  }
  co_await delay(what.pause);
  co_return co_await end_connection(socket, unread, what.ending, what.pause, until);
}

}  // namespace hawthornlane::stand_ins
