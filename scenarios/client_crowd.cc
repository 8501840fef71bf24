// Crowds of clients that send requests without an end, beyond the limits, or never whole.
#include "client_crowd.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kb = 1024;
/// Size of a small body.
constexpr std::size_t small_body = 60 * kb;
/// Bytes handed to the kernel in one write.
constexpr std::size_t write_size = 64 * kb;
/// Size of a small piece, and the pause after it.
constexpr std::size_t piece_size = 8 * kb;
constexpr auto piece_pause = std::chrono::milliseconds(10);
constexpr auto operation_timeout = std::chrono::seconds(30);
/// Pause before a client comes again.
constexpr auto return_pause = std::chrono::milliseconds(50);

enum class framing : std::uint8_t { none, announced, length, large_chunks, tiny_chunks, trailer };

/// What one client sends.
struct client_script {
  int clients = 0;
  /// Times that each client sends its request.
  int rounds = 1;
  framing body = framing::length;
  bool small_pieces = false;
  bool is_whole = false;
  bool sends_small_body = false;
};

client_script script_of(crowd_kind kind, const crowd_size& size) {
  constexpr int returns = 3;
  using enum crowd_kind;
  switch (kind) {
    case announced_far_over_limit:
      return {size.large, returns, framing::announced};
    case chunked_without_end:
      return {size.large, returns, framing::large_chunks};
    case whole_bodies:
      return {size.large, returns, framing::length, false, true};
    case whole_bodies_in_pieces:
      return {size.large, 1, framing::length, true, true};
    case stalled_bodies:
      return {size.large, 1, framing::length};
    case stalled_bodies_in_pieces:
      return {size.large, 1, framing::length, true};
    case whole_large_chunks:
      return {size.large, returns, framing::large_chunks, false, true};
    case stalled_large_chunks:
      return {size.large, 1, framing::large_chunks};
    case whole_tiny_chunks:
      return {size.large, 1, framing::tiny_chunks, false, true};
    case stalled_tiny_chunks:
      return {size.large, 1, framing::tiny_chunks};
    case trailer_without_end:
      return {size.large, returns, framing::trailer};
    case stalled_small_bodies:
    case stalled_behind_many_fields:
      return {size.small, 1, framing::length, false, false, true};
    case stalled_heads:
    case silent:
      return {size.small, 1, framing::none};
  }
  return {};
}

std::string head_begin(const crowd_target& target, std::uint64_t number) {
  std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: crowd-{}\r\n",
                                 target.path, target.host_name, number);
  if (target.sends_turns) {
    head += fmt::format(
        "X-Program-Id: p-{}\r\nX-Session-Id: s\r\nX-Token-Budget: 1000\r\n"
        "X-Token-Count: 100,30\r\n",
        number);
  }
  return head;
}

/// A head just below the limit: one long field, or fields as short as possible.
std::string long_head(const crowd_target& target, std::uint64_t number, bool short_fields) {
  constexpr std::size_t margin = 128;
  std::string head = head_begin(target, number);
  if (!short_fields) {
    head += "X-Filler: ";
    head.append(target.head_bytes - margin - head.size(), 'h');
    return head + "\r\n";
  }
  while (head.size() + margin < target.head_bytes) {
    head += "a:b\r\n";
  }
  return head;
}

std::string chunks_of(std::size_t bytes, std::size_t chunk_size) {
  const std::string chunk = fmt::format("{:x}\r\n{}\r\n", chunk_size, std::string(chunk_size, 'c'));
  std::string text;
  text.reserve(bytes / chunk_size * chunk.size());
  for (std::size_t sent = 0; sent + chunk_size <= bytes; sent += chunk_size) {
    text += chunk;
  }
  return text;
}

}  // namespace

struct client_crowd::state : std::enable_shared_from_this<client_crowd::state> {
  state(asio::io_context& io, net::deadline_sweeper& sweep, crowd_kind what, crowd_target where,
        crowd_size how_large)
      : context(io),
        sweeper(sweep),
        kind(what),
        target(std::move(where)),
        size(how_large),
        script(script_of(what, how_large)) {}

  asio::io_context& context;
  net::deadline_sweeper& sweeper;
  crowd_kind kind;
  crowd_target target;
  crowd_size size;
  client_script script;
  /// The part of a body that is sent; the same for all clients.
  std::string body;
  bool has_left = false;
  int sending = 0;
  std::uint64_t requests = 0;
  std::uint64_t sent = 0;
  std::map<int, int> statuses;
  std::set<net::timed_socket*> open;

  void start() {
    this->body = this->make_body();
    this->sending = this->script.clients;
    for (int number = 0; number < this->script.clients; ++number) {
      asio::co_spawn(this->context, run_client(this->shared_from_this()), asio::detached);
    }
  }

  [[nodiscard]] std::string make_body() const {
    constexpr std::size_t large_chunk = 64 * kb;
    const std::size_t bytes = this->script.sends_small_body ? small_body : this->target.body_bytes;
    switch (this->script.body) {
      case framing::none:
        return "";
      case framing::announced:
        return std::string(this->size.endless_bytes, 'a');
      case framing::length:
        return std::string(this->script.is_whole ? bytes : bytes - 1, 'b');
      case framing::large_chunks:
        if (this->kind == crowd_kind::chunked_without_end) {
          return chunks_of(this->size.endless_bytes, large_chunk);
        }
        return chunks_of(bytes, large_chunk) + (this->script.is_whole ? "0\r\n\r\n" : "");
      case framing::tiny_chunks:
        return chunks_of(bytes, 1) + (this->script.is_whole ? "0\r\n\r\n" : "");
      case framing::trailer: {
        std::string text = "1\r\nc\r\n0\r\n";
        while (text.size() < this->size.endless_bytes) {
          text += "X-Field-After-The-Body: value\r\n";
        }
        return text;
      }
    }
    return "";
  }

  [[nodiscard]] std::string make_head(std::uint64_t number) const {
    if (this->kind == crowd_kind::silent) {
      return "";
    }
    if (this->kind == crowd_kind::stalled_heads) {
      return long_head(this->target, number, false);
    }
    std::string head = this->kind == crowd_kind::stalled_behind_many_fields
                           ? long_head(this->target, number, true)
                           : head_begin(this->target, number);
    switch (this->script.body) {
      case framing::announced:
        return head + "Content-Length: 900000000000\r\n\r\n";
      case framing::length:
        return head + fmt::format("Content-Length: {}\r\n\r\n",
                                  this->body.size() + (this->script.is_whole ? 0 : 1));
      default:
        return head + "Transfer-Encoding: chunked\r\n\r\n";
    }
  }

  asio::awaitable<net::error_code> send(net::timed_socket& socket, std::string_view bytes) {
    const std::size_t step = this->script.small_pieces ? piece_size : write_size;
    net::error_code error;
    while (!error && !bytes.empty() && !this->has_left) {
      const std::string_view piece = bytes.substr(0, step);
      error = co_await socket.write_all(piece, steady::now() + operation_timeout);
      bytes.remove_prefix(piece.size());
      this->sent += error ? 0 : piece.size();
      if (this->script.small_pieces) {
        net::async_signal pause(this->context);
        co_await pause.wait_until(steady::now() + piece_pause);
      }
    }
    co_return error;
  }

  /// Reads the status of a response; 0 if there is none.
  static asio::awaitable<int> read_status(net::timed_socket& socket) {
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t status_digits = 3;
    std::string answer;
    net::error_code error;
    while (!error && answer.size() < version.size() + status_digits) {
      error = co_await socket.read_more(answer, kb, steady::now() + operation_timeout);
    }
    if (!answer.starts_with(version) || answer.size() < version.size() + status_digits) {
      co_return 0;
    }
    co_return std::stoi(answer.substr(version.size(), status_digits));
  }

  /// Sends one request. A client that does not send it whole stays until the host closes the
  /// connection.
  static asio::awaitable<void> run_round(const std::shared_ptr<state>& self, bool is_last) {
    net::timed_socket socket(self->context, self->sweeper);
    self->open.insert(&socket);
    net::error_code error =
        co_await socket.connect(self->target.where, steady::now() + operation_timeout);
    const std::string head = self->make_head(self->requests++);
    if (!error) {
      error = co_await self->send(socket, head);
    }
    if (!error) {
      error = co_await self->send(socket, self->body);
    }
    self->sending -= is_last ? 1 : 0;
    const int status = co_await read_status(socket);
    ++self->statuses[status];
    self->open.erase(&socket);
    socket.close();
  }

  static asio::awaitable<void> run_client(std::shared_ptr<state> self) {
    for (int round = 1; round <= self->script.rounds && !self->has_left; ++round) {
      const bool is_last = round == self->script.rounds;
      co_await run_round(self, is_last);
      net::async_signal pause(self->context);
      co_await pause.wait_until(steady::now() + return_pause);
    }
  }

  void leave() {
    this->has_left = true;
    for (net::timed_socket* socket : this->open) {
      socket->close(true);
    }
  }
};

std::span<const crowd_kind> all_crowd_kinds() {
  using enum crowd_kind;
  static constexpr std::array kinds{announced_far_over_limit,
                                    chunked_without_end,
                                    whole_bodies,
                                    whole_bodies_in_pieces,
                                    stalled_bodies,
                                    stalled_bodies_in_pieces,
                                    whole_large_chunks,
                                    stalled_large_chunks,
                                    whole_tiny_chunks,
                                    stalled_tiny_chunks,
                                    trailer_without_end,
                                    stalled_small_bodies,
                                    stalled_heads,
                                    stalled_behind_many_fields,
                                    silent};
  return kinds;
}

const char* name_of(crowd_kind kind) {
  static constexpr std::array names{"announced_far_over_limit",
                                    "chunked_without_end",
                                    "whole_bodies",
                                    "whole_bodies_in_pieces",
                                    "stalled_bodies",
                                    "stalled_bodies_in_pieces",
                                    "whole_large_chunks",
                                    "stalled_large_chunks",
                                    "whole_tiny_chunks",
                                    "stalled_tiny_chunks",
                                    "trailer_without_end",
                                    "stalled_small_bodies",
                                    "stalled_heads",
                                    "stalled_behind_many_fields",
                                    "silent"};
  return names.at(static_cast<std::size_t>(kind));
}

client_crowd::client_crowd(asio::io_context& context, net::deadline_sweeper& sweeper,
                           crowd_kind kind, crowd_target target, crowd_size size)
    : shared(std::make_shared<state>(context, sweeper, kind, std::move(target), size)) {
  this->shared->start();
}

client_crowd::~client_crowd() { this->leave(); }

bool client_crowd::has_sent() const { return this->shared->sending == 0; }

void client_crowd::leave() { this->shared->leave(); }

const std::map<int, int>& client_crowd::responses() const { return this->shared->statuses; }

std::uint64_t client_crowd::bytes_sent() const { return this->shared->sent; }

}  // namespace hawthornlane::scenarios
