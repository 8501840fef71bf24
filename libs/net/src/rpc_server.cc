// The serving side of the connection between two hosts.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "hawthornlane/net/frame.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::net {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto write_limit = std::chrono::seconds(3);
constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Answers that wait for a caller that does not read, bytes; beyond it the
/// connection ends.
constexpr std::size_t largest_backlog = std::size_t{16} * 1024 * 1024;

/// Bytes of answers that wait in all connections of a server.
using byte_account = std::shared_ptr<std::size_t>;

/// One other host's connection.
struct connection : std::enable_shared_from_this<connection> {
  connection(tcp::socket accepted, asio::io_context& io, deadline_sweeper& sweeper,
             byte_account account)
      : context(io), socket(std::move(accepted), sweeper), waiting(std::move(account)) {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { *this->waiting -= this->outgoing.size(); }

  asio::io_context& context;
  timed_socket socket;
  /// Invariant: counted in `waiting`, like the batch that is being written.
  std::string outgoing;
  byte_account waiting;
  bool writing = false;

  void answer(const frame& message) {
    if (!this->socket.is_open()) {
      return;
    }
    const std::size_t before = this->outgoing.size();
    append_frame(this->outgoing, message);
    *this->waiting += this->outgoing.size() - before;
    if (this->outgoing.size() > largest_backlog) {
      this->socket.close(true);
      return;
    }
    if (!this->writing) {
      asio::co_spawn(this->context, write(this->shared_from_this()), asio::detached);
    }
  }

  static asio::awaitable<void> write(std::shared_ptr<connection> self) {
    self->writing = true;
    while (!self->outgoing.empty()) {
      const std::string batch = std::move(self->outgoing);
      self->outgoing.clear();
      const error_code error =
          co_await self->socket.write_all(batch, std::chrono::steady_clock::now() + write_limit);
      *self->waiting -= batch.size();
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
  byte_account waiting = std::make_shared<std::size_t>(0);

  static asio::awaitable<void> accept(std::shared_ptr<state> self) {
    while (self->acceptor.is_open()) {
      error_code error;
      tcp::socket socket =
          co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        continue;
      }
      const auto opened = std::make_shared<connection>(std::move(socket), self->context,
                                                       self->sweeper, self->waiting);
      asio::co_spawn(self->context, connection::read(opened, self->handle), asio::detached);
    }
  }
};

rpc_server::rpc_server(asio::io_context& context, deadline_sweeper& sweeper,
                       const http::endpoint& listen_at, rpc_handler handle)
    : shared(std::make_shared<state>(context, sweeper, std::move(handle))) {
  const tcp::endpoint at(asio::ip::make_address(listen_at.address), listen_at.port);
  this->shared->acceptor.open(at.protocol());
  this->shared->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->shared->acceptor.bind(at);
  this->shared->acceptor.listen();
  asio::co_spawn(context, state::accept(this->shared), asio::detached);
}

rpc_server::~rpc_server() {
  error_code ignored;
  this->shared->acceptor.close(ignored);
}

http::endpoint rpc_server::where() const {
  const auto at = this->shared->acceptor.local_endpoint();
  return {at.address().to_string(), at.port()};
}

std::size_t rpc_server::waiting_bytes() const { return *this->shared->waiting; }

}  // namespace hawthornlane::net
