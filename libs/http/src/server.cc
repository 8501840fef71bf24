// The HTTP server, on Boost.Beast.
#include "hawthornlane/http/server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>

#include "connection_exchange.h"
#include "hawthornlane/http/connection_end.h"
#include "hawthornlane/http/listening.h"
#include "hawthornlane/http/read_scratch.h"
#include "hawthornlane/http/request_assembler.h"
#include "hawthornlane/overload/drain_pace.h"

namespace hawthornlane::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {
/// Memory for the requests of a server whose clients are limited by themselves.
constexpr std::size_t unshared_memory = std::size_t{256} * 1024 * 1024;
}  // namespace

struct server::state {
  state(asio::io_context& io, server_limits limit, handler on_request, error_responder on_error,
        server_clients from)
      : context(io),
        acceptor(asio::make_strand(io)),
        limits(limit),
        handle(std::move(on_request)),
        make_error_response(std::move(on_error)),
        clients(std::move(from)) {
    if (!this->clients.registry) {
      this->clients.registry = std::make_shared<overload::client_registry>(unshared_memory);
      this->clients.at = this->clients.registry->add_listener("server", limit.connections);
    }
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  server_limits limits;
  handler handle;
  error_responder make_error_response;
  server_clients clients;
  std::atomic<std::size_t> active{0};
  std::atomic<int> draining{0};
  std::atomic<bool> stopping{false};
};

namespace {

/// Increments a counter for the lifetime of the object.
class scoped_counter {
public:
  explicit scoped_counter(std::atomic<std::size_t>& target) : counter(target) { ++this->counter; }
  scoped_counter(const scoped_counter&) = delete;
  scoped_counter& operator=(const scoped_counter&) = delete;
  ~scoped_counter() { --this->counter; }

private:
  std::atomic<std::size_t>& counter;
};

/// Counts a connection that drops what its client sends.
class scoped_drain {
public:
  explicit scoped_drain(std::atomic<int>& target) : counter(target) { ++this->counter; }
  scoped_drain(const scoped_drain&) = delete;
  scoped_drain& operator=(const scoped_drain&) = delete;
  ~scoped_drain() { --this->counter; }

private:
  std::atomic<int>& counter;
};

/// Decodes path and query; false if the target is not a valid path.
bool decode_target(request& whole) {
  const auto url = boost::urls::parse_origin_form(
      boost::urls::string_view(whole.target.data(), whole.target.size()));
  if (!url) {
    return false;
  }
  whole.path = url->path();
  for (const auto& item : url->params()) {
    whole.query.emplace(std::string(item.key), std::string(item.value));
  }
  return true;
}

/// Cancels the reads of a connection at a deadline, but keeps it open for an error response.
/// The stream's own timeout would close it.
class read_deadline {
public:
  read_deadline(beast::tcp_stream& stream, duration limit) : timer(stream.get_executor()) {
    this->timer.expires_after(steady(limit));
    this->timer.async_wait([flags = this->flags, &stream](const error_code& cancelled) {
      if (!cancelled && !flags->over) {
        flags->passed = true;
        error_code ignored;
        stream.socket().cancel(ignored);
      }
    });
  }
  read_deadline(const read_deadline&) = delete;
  read_deadline& operator=(const read_deadline&) = delete;
  /// After this the stream is not accessed, even if the timer has already fired.
  ~read_deadline() { this->flags->over = true; }

  [[nodiscard]] bool passed() const { return this->flags->passed; }

private:
  struct state {
    bool passed = false;
    bool over = false;
  };
  std::shared_ptr<state> flags = std::make_shared<state>();
  asio::steady_timer timer;
};

/// One client's connection. All members are used on its strand.
class connection : public std::enable_shared_from_this<connection> {
public:
  connection(std::shared_ptr<server::state> of, tcp::socket accepted)
      : shared(std::move(of)), stream(std::move(accepted)) {}

  /// Returns false if there is no room for the connection.
  bool enter() {
    const auto on_yield = [weak = this->weak_from_this(),
                           strand = this->stream.get_executor()](overload::yielded what) {
      asio::post(strand, [weak, what] {
        if (const auto self = weak.lock()) {
          self->yield(what);
        }
      });
    };
    const server_clients& clients = this->shared->clients;
    this->slot = std::make_unique<overload::client_slot>(
        clients.registry, clients.at, std::chrono::steady_clock::now(), on_yield);
    this->requests = std::make_unique<request_assembler>(this->slot.get());
    return this->slot->is_connected();
  }

  static asio::awaitable<void> serve(std::shared_ptr<connection> self) {
    error_code ignored;
    self->stream.socket().set_option(tcp::no_delay(true), ignored);
    bool more = true;
    while (more) {
      more = co_await self->serve_one();
      // The request itself is gone by now.
      self->requests->release();
    }
    if (self->is_refused && !self->has_yielded_connection) {
      self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      co_await self->drop_rest();
    }
    self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

private:
  void yield(overload::yielded what) {
    this->has_yielded = true;
    this->requests->drop();
    error_code ignored;
    if (what == overload::yielded::connection) {
      this->has_yielded_connection = true;
      this->stream.socket().close(ignored);
    } else if (this->is_reading) {
      this->stream.socket().cancel(ignored);
    }
  }

  asio::awaitable<void> wait_readable(error_code& error) {
    this->is_reading = true;
    co_await this->stream.socket().async_wait(tcp::socket::wait_read,
                                              asio::redirect_error(asio::use_awaitable, error));
    this->is_reading = false;
  }

  /// Reads what has arrived, or waits for it. The bytes are valid until the next wait.
  asio::awaitable<std::string_view> read_some(error_code& error) {
    tcp::socket& socket = this->stream.socket();
    std::string_view bytes;
    error = asio::error::would_block;
    while (error == asio::error::would_block && !this->has_yielded) {
      const std::span<char> scratch = read_scratch();
      const asio::mutable_buffer buffer(scratch.data(), scratch.size());
      socket.non_blocking(true, error);
      bytes = std::string_view(scratch.data(), error ? 0 : socket.read_some(buffer, error));
      error = read_error(socket, error);
      if (error == asio::error::would_block) {
        error_code failed;
        co_await this->wait_readable(failed);
        error = failed ? failed : error;
      }
    }
    co_return bytes;
  }

  /// Waits until a request begins to arrive; false if the connection ends or is idle for too long.
  asio::awaitable<bool> wait_for_request() {
    if (this->requests->has_begun()) {
      co_return true;
    }
    this->stream.expires_never();
    const read_deadline idle(this->stream, this->shared->limits.idle_time);
    error_code error;
    co_await this->wait_readable(error);
    co_return !error;
  }

  /// Reads one request. Returns `closed` if no response is due.
  asio::awaitable<assembly> read_request() {
    assembly state = this->requests->begin(
        {this->shared->limits.header_bytes, this->shared->limits.body_bytes}, nullptr);
    error_code error;
    const read_deadline deadline(this->stream, this->shared->limits.request_time);
    const asio::any_io_executor executor = this->stream.get_executor();
    while (state == assembly::incomplete || state == assembly::expects_continue) {
      if (state == assembly::expects_continue) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->stream, asio::buffer(go_on.data(), go_on.size()),
                                   asio::redirect_error(asio::use_awaitable, error));
      }
      // A client that sends without a pause must not keep others from being served.
      co_await asio::post(executor, asio::use_awaitable);
      const std::string_view bytes = co_await this->read_some(error);
      if (deadline.passed() || this->has_yielded) {
        co_return assembly::incomplete;
      }
      if (error == asio::error::eof && this->requests->has_begun()) {
        co_return this->requests->add_end();
      }
      if (error) {
        co_return assembly::closed;
      }
      state = this->requests->add(bytes);
    }
    co_return state;
  }

  /// Why a request that did not become whole is refused.
  failure refusal_reason(assembly state) {
    if (state == assembly::refused) {
      failure why = this->requests->reason();
      // Callers of this server know one status for all that is too large.
      why.kind = why.kind == error_kind::header_too_large ? error_kind::body_too_large : why.kind;
      return why;
    }
    if (this->has_yielded) {
      return {error_kind::overloaded, "the request had to yield its memory to others"};
    }
    this->slot->count_refusal(overload::refusal_cause::timeout);
    return {error_kind::request_timeout, "the request did not arrive in time"};
  }

  asio::awaitable<bool> refuse(connection_exchange& reply, const failure& why) {
    this->is_refused = true;
    response refusal = this->shared->make_error_response(why.kind, why.detail);
    if (answer_for(why.kind).retry_later && !refusal.find_header("Retry-After")) {
      refusal.headers.push_back({"Retry-After", "1"});
    }
    co_await reply.respond(std::move(refusal));
    co_return false;
  }

  asio::awaitable<bool> serve_one() {
    const bool has_begun = co_await this->wait_for_request();
    if (!has_begun) {
      co_return false;
    }
    const scoped_counter in_flight(this->shared->active);
    const assembly state = co_await this->read_request();
    if (state == assembly::closed || this->has_yielded_connection) {
      co_return false;
    }
    constexpr unsigned http_1_1 = 11;
    if (state != assembly::complete) {
      connection_exchange reply(this->stream, this->shared->limits.write_time, false, http_1_1);
      const failure why = this->refusal_reason(state);
      co_return co_await this->refuse(reply, why);
    }
    const bool keep = this->requests->keep_alive() && !this->shared->stopping;
    const unsigned version = this->requests->may_use_chunks() ? http_1_1 : http_1_0;
    connection_exchange reply(this->stream, this->shared->limits.write_time, keep, version);
    request whole = this->requests->take();
    if (!this->requests->hold_also(whole.body.size() * this->shared->limits.copies_in_service)) {
      const failure why{error_kind::overloaded, "the requests in memory are too large"};
      co_return co_await this->refuse(reply, why);
    }
    if (!decode_target(whole)) {
      const failure why{error_kind::bad_request, "the request target is not a valid path"};
      co_return co_await this->refuse(reply, why);
    }
    this->stream.expires_never();
    co_await this->shared->handle(whole, reply);
    if (!reply.was_answered()) {
      response refusal =
          this->shared->make_error_response(error_kind::internal, "the handler sent no response");
      co_await reply.respond(std::move(refusal));
    }
    co_return reply.usable();
  }

  /// Reads and drops what the client still sends of a refused request, so that closing does not
  /// reset the connection before the client has read the response.
  asio::awaitable<void> drop_rest() {
    this->slot->enter(overload::client_phase::closing, std::chrono::steady_clock::now());
    std::size_t due = this->requests->bytes_due();
    this->requests->drop();
    this->has_yielded = false;
    const scoped_drain counted(this->shared->draining);
    const read_deadline deadline(this->stream, overload::drain_pace::max_time);
    asio::steady_timer timer(this->stream.get_executor());
    error_code error;
    while (!error && due > 0 && !deadline.passed() && !this->shared->stopping) {
      const std::string_view bytes = co_await this->read_some(error);
      due -= std::min(due, bytes.size());
      timer.expires_after(overload::drain_pace::pause_for(this->shared->draining));
      error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  std::shared_ptr<server::state> shared;
  beast::tcp_stream stream;
  std::unique_ptr<overload::client_slot> slot;
  std::unique_ptr<request_assembler> requests;
  bool is_reading = false;
  /// The last request was refused, and the client may still send some of it.
  bool is_refused = false;
  /// The request, or the connection too, is refused because of others.
  bool has_yielded = false;
  bool has_yielded_connection = false;
};

void ignore_exception(const std::exception_ptr& /*fault*/) {
  // An exception in the coroutine of a connection ends only that connection.
}

asio::awaitable<void> accept_loop(std::shared_ptr<server::state> shared) {
  while (!shared->stopping) {
    error_code error;
    auto socket = co_await shared->acceptor.async_accept(
        asio::make_strand(shared->context), asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || shared->stopping) {
      break;
    }
    if (error) {
      co_await delay_after_failed_accept(shared->context.get_executor());
      continue;
    }
    const auto strand = socket.get_executor();
    const auto opened = std::make_shared<connection>(shared, std::move(socket));
    if (opened->enter()) {
      asio::co_spawn(strand, connection::serve(opened), ignore_exception);
    }
  }
}

}  // namespace

server::server(asio::io_context& context, const endpoint& listen_at, server_limits limits,
               handler handle, error_responder make_error_response, server_clients clients)
    : shared(std::make_shared<state>(context, limits, std::move(handle),
                                     std::move(make_error_response), std::move(clients))) {
  listen_on(this->shared->acceptor, listen_at);
  asio::co_spawn(this->shared->acceptor.get_executor(), accept_loop(this->shared), asio::detached);
}

server::~server() { this->stop_accepting(); }

endpoint server::where() const {
  const auto at = this->shared->acceptor.local_endpoint();
  return {at.address().to_string(), at.port()};
}

void server::stop_accepting() {
  if (this->shared->stopping.exchange(true)) {
    return;
  }
  asio::post(this->shared->acceptor.get_executor(), [state = this->shared] {
    error_code ignored;
    state->acceptor.close(ignored);
  });
}

std::size_t server::active() const { return this->shared->active; }

}  // namespace hawthornlane::http
