// Server side of calls between hosts.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "hawthornlane/http/listening.h"
#include "hawthornlane/net/frame.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::net {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr std::size_t default_max_queued_bytes = std::size_t{16} * 1024 * 1024;
/// One connection may queue the server's limit divided by this number.
constexpr std::size_t connection_share_divisor = 4;

/// Bytes of responses that are queued on all connections of an `rpc_server` together, and their
/// limit: 16 MB per connection would not protect a process that has 88 MB and 56 connections.
struct queue_usage {
  std::size_t waiting = 0;
  std::size_t max_bytes = default_max_queued_bytes;
};

/// A connection from another host.
struct connection : std::enable_shared_from_this<connection> {
  connection(tcp::socket accepted, asio::io_context& io, deadline_sweeper& sweeper,
             std::shared_ptr<queue_usage> usage)
      : context(io), socket(std::move(accepted), sweeper), account(std::move(usage)) {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { this->account->waiting -= this->outgoing.size(); }

  asio::io_context& context;
  timed_socket socket;
  /// Invariant: its size and `batch_bytes_left` are counted in `account->waiting`.
  std::string outgoing;
  /// Unsent bytes of the batch that is being written.
  std::size_t batch_bytes_left = 0;
  std::shared_ptr<queue_usage> account;
  bool writing = false;

  void answer(frame message) {
    if (!this->socket.is_open()) {
      return;
    }
    const std::size_t size = message.payload.size();
    if (size > max_payload_bytes || this->account->waiting + size > this->account->max_bytes) {
      message.kind = frame_kind::refusal;
      message.payload.clear();
    }
    const std::size_t before = this->outgoing.size();
    append_frame(this->outgoing, message);
    this->account->waiting += this->outgoing.size() - before;
    if (this->outgoing.size() + this->batch_bytes_left > this->max_backlog()) {
      this->socket.close(true);
      return;
    }
    if (!this->writing) {
      asio::co_spawn(this->context, write(this->shared_from_this()), asio::detached);
    }
  }

  /// Subtracts written bytes of the batch from the queued bytes.
  void sent(std::size_t bytes) {
    this->batch_bytes_left -= bytes;
    this->account->waiting -= bytes;
  }

  /// Limit of this connection's queued bytes; one response of the largest size always fits.
  [[nodiscard]] std::size_t max_backlog() const {
    return std::max(this->account->max_bytes / connection_share_divisor,
                    max_payload_bytes + frame_head_size);
  }

  static asio::awaitable<void> write(std::shared_ptr<connection> self) {
    self->writing = true;
    while (!self->outgoing.empty()) {
      const std::string batch = std::move(self->outgoing);
      self->outgoing.clear();
      self->batch_bytes_left = batch.size();
      const std::function<void(std::size_t)> sent = [self](std::size_t bytes) {
        self->sent(bytes);
      };
      const error_code error = co_await self->socket.write_slices(batch, sent);
      self->sent(self->batch_bytes_left);
      if (error) {
        self->socket.close(true);
        break;
      }
    }
    self->writing = false;
  }

  static asio::awaitable<void> read(std::shared_ptr<connection> self,
                                    std::shared_ptr<const rpc_handler> handle) {
    std::string buffer;
    frame_reader reader;
    while (!reader.broken()) {
      const error_code error = co_await self->socket.read_more(buffer, read_size, never);
      if (error) {
        break;
      }
      while (auto message = reader.take(buffer)) {
        (*handle)(message->method, std::move(message->payload),
                  [self, method = message->method,
                   call = message->call](std::optional<std::string> payload) {
                    const frame_kind kind = payload ? frame_kind::answer : frame_kind::refusal;
                    self->answer({kind, method, call, std::move(payload).value_or("")});
                  });
      }
      shrink_if_empty(buffer);
    }
    self->socket.close();
  }
};

}  // namespace

struct rpc_server::state {
  state(asio::io_context& io, deadline_sweeper& sweep, rpc_handler handler)
      : context(io),
        sweeper(sweep),
        acceptor(io),
        handle(std::make_shared<const rpc_handler>(std::move(handler))) {}

  asio::io_context& context;
  deadline_sweeper& sweeper;
  tcp::acceptor acceptor;
  std::shared_ptr<const rpc_handler> handle;
  std::shared_ptr<queue_usage> account = std::make_shared<queue_usage>();

  void take(tcp::socket accepted) {
    const auto opened = std::make_shared<connection>(std::move(accepted), this->context,
                                                     this->sweeper, this->account);
    asio::co_spawn(this->context, connection::read(opened, this->handle), asio::detached);
  }
};

rpc_server::rpc_server(asio::io_context& context, deadline_sweeper& sweeper,
                       const http::endpoint& listen_at, rpc_handler handle)
    : shared(std::make_shared<state>(context, sweeper, std::move(handle))) {
  http::listen_on(this->shared->acceptor, listen_at);
  const auto take = [self = this->shared](tcp::socket socket) { self->take(std::move(socket)); };
  asio::co_spawn(context, http::accept_until_closed(this->shared->acceptor, take), asio::detached);
}

rpc_server::~rpc_server() {
  error_code ignored;
  this->shared->acceptor.close(ignored);
}

http::endpoint rpc_server::where() const {
  const auto at = this->shared->acceptor.local_endpoint();
  return {at.address().to_string(), at.port()};
}

std::size_t rpc_server::queued_bytes() const { return this->shared->account->waiting; }

void rpc_server::limit_queued_bytes(std::size_t max_bytes) {
  this->shared->account->max_bytes = max_bytes;
}

}  // namespace hawthornlane::net
