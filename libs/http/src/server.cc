// The HTTP server, on Boost.Beast.
#include "hawthornlane/http/server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>

#include "hawthornlane/http/listening.h"

namespace hawthornlane::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

struct server::state {
  state(asio::io_context& io, server_limits limit, handler on_request, error_responder on_error)
      : context(io),
        acceptor(asio::make_strand(io)),
        limits(limit),
        handle(std::move(on_request)),
        make_error_response(std::move(on_error)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  server_limits limits;
  handler handle;
  error_responder make_error_response;
  std::atomic<std::size_t> active{0};
  std::atomic<std::size_t> connections{0};
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

std::chrono::steady_clock::duration steady(duration time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
}

/// HTTP/1.0 in Beast's version numbers.
constexpr unsigned http_1_0 = 10;

class connection_exchange final : public exchange {
public:
  /// `version` is the request's, in Beast's numbers.
  connection_exchange(beast::tcp_stream& to, duration limit, bool keep, unsigned version)
      : stream(to), write_time(limit), keep_alive(keep), uses_chunks(version > http_1_0) {}
  connection_exchange(const connection_exchange&) = delete;
  connection_exchange& operator=(const connection_exchange&) = delete;
  /// Closes the connection if a stream is unfinished.
  ~connection_exchange() override {
    if (this->is_streaming) {
      // Asio's destructor would turn the reset off.
      this->stream.close();
    }
  }

  asio::awaitable<bool> respond(response answer) override {
    bhttp::response<bhttp::string_body> message;
    this->fill(message, answer);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    this->stream.expires_after(steady(this->write_time));
    error_code error;
    co_await bhttp::async_write(this->stream, message,
                                asio::redirect_error(asio::use_awaitable, error));
    this->answered = true;
    co_return this->record_error(error);
  }

  asio::awaitable<bool> start_stream(response head) override {
    this->is_streaming = true;
    this->keep_alive = this->keep_alive && this->uses_chunks;
    if (!this->uses_chunks) {
      this->set_reset_at_end(true);
    }
    bhttp::response<bhttp::empty_body> message;
    this->fill(message, head);
    message.chunked(this->uses_chunks);
    bhttp::response_serializer<bhttp::empty_body> serializer{message};
    this->stream.expires_after(steady(this->write_time));
    error_code error;
    co_await bhttp::async_write_header(this->stream, serializer,
                                       asio::redirect_error(asio::use_awaitable, error));
    this->answered = true;
    co_return this->record_error(error);
  }

  asio::awaitable<bool> write(std::string_view chunk) override {
    if (this->gone || chunk.empty()) {
      co_return !this->gone;
    }
    this->stream.expires_after(steady(this->write_time));
    error_code error;
    const auto bytes = asio::buffer(chunk.data(), chunk.size());
    if (this->uses_chunks) {
      co_await asio::async_write(this->stream, bhttp::make_chunk(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
    } else {
      co_await asio::async_write(this->stream, bytes,
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    co_return this->record_error(error);
  }

  asio::awaitable<bool> finish_stream() override {
    if (this->gone) {
      co_return false;
    }
    error_code error;
    if (this->uses_chunks) {
      this->stream.expires_after(steady(this->write_time));
      co_await asio::async_write(this->stream, bhttp::make_chunk_last(),
                                 asio::redirect_error(asio::use_awaitable, error));
    } else {
      this->set_reset_at_end(false);
    }
    this->is_streaming = error.failed();
    co_return this->record_error(error);
  }

  [[nodiscard]] bool usable() const {
    return this->answered && !this->gone && this->keep_alive && !this->is_streaming;
  }
  [[nodiscard]] bool was_answered() const { return this->answered; }

private:
  template <class Message>
  void fill(Message& message, const response& from) const {
    message.version(11);
    message.result(static_cast<unsigned>(from.status));
    message.set(bhttp::field::content_type, from.content_type);
    message.keep_alive(this->keep_alive);
    for (const header& item : from.headers) {
      message.set(item.name, item.value);
    }
  }

  /// While on, every end of the connection is a reset, also the one by the kernel when the process
  /// ends: without chunks, an end in order marks the end of a stream.
  void set_reset_at_end(bool on) {
    error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(on, 0), ignored);
  }

  bool record_error(const error_code& error) {
    this->gone = this->gone || error.failed();
    return !this->gone;
  }

  beast::tcp_stream& stream;
  duration write_time;
  bool keep_alive;
  /// False for HTTP/1.0, which has no chunks.
  bool uses_chunks;
  /// A stream has been started and not finished.
  bool is_streaming = false;
  bool answered = false;
  bool gone = false;
};

std::optional<request> to_request(const bhttp::request<bhttp::string_body>& message) {
  request plain;
  plain.method = std::string(message.method_string());
  plain.target = std::string(message.target());
  const auto url = boost::urls::parse_origin_form(
      boost::urls::string_view(plain.target.data(), plain.target.size()));
  if (!url) {
    return std::nullopt;
  }
  plain.path = url->path();
  for (const auto& item : url->params()) {
    plain.query.emplace(std::string(item.key), std::string(item.value));
  }
  for (const auto& item : message) {
    plain.headers.push_back({std::string(item.name_string()), std::string(item.value())});
  }
  plain.body = message.body();
  return plain;
}

error_kind error_kind_of(const error_code& error) {
  if (error == beast::error::timeout) {
    return error_kind::request_timeout;
  }
  const bool too_large = error == bhttp::error::body_limit || error == bhttp::error::header_limit;
  return too_large ? error_kind::body_too_large : error_kind::bad_request;
}

bool is_disconnect(const error_code& error) {
  return error == bhttp::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset || error == asio::error::operation_aborted;
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

asio::awaitable<void> read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                   bhttp::request_parser<bhttp::string_body>& parser,
                                   duration limit, error_code& error) {
  stream.expires_never();
  const read_deadline deadline(stream, limit);
  co_await bhttp::async_read(stream, buffer, parser,
                             asio::redirect_error(asio::use_awaitable, error));
  if (deadline.passed()) {
    error = beast::error::timeout;
  }
}

asio::awaitable<bool> serve_one(const std::shared_ptr<server::state>& shared,
                                beast::tcp_stream& stream, beast::flat_buffer& buffer) {
  bhttp::request_parser<bhttp::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(shared->limits.header_bytes));
  parser.body_limit(shared->limits.body_bytes);
  error_code error;
  if (buffer.size() == 0) {
    stream.expires_after(steady(shared->limits.idle_time));
    constexpr std::size_t first_read = 4096;
    const std::size_t got = co_await stream.async_read_some(
        buffer.prepare(first_read), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return false;
    }
    buffer.commit(got);
  }
  const scoped_counter in_flight(shared->active);
  co_await read_request(stream, buffer, parser, shared->limits.request_time, error);
  if (is_disconnect(error)) {
    co_return false;
  }
  const bool keep = !error && parser.keep_alive() && !shared->stopping;
  connection_exchange reply(stream, shared->limits.write_time, keep, parser.get().version());
  if (error) {
    const std::string detail = error.message();
    response refusal = shared->make_error_response(error_kind_of(error), detail);
    co_await reply.respond(std::move(refusal));
    co_return false;
  }
  const std::optional<request> plain = to_request(parser.get());
  if (!plain) {
    response refusal = shared->make_error_response(error_kind::bad_request,
                                                   "the request target is not a valid path");
    co_await reply.respond(std::move(refusal));
    co_return false;
  }
  stream.expires_never();
  co_await shared->handle(*plain, reply);
  if (!reply.was_answered()) {
    response refusal =
        shared->make_error_response(error_kind::internal, "the handler sent no response");
    co_await reply.respond(std::move(refusal));
  }
  co_return reply.usable();
}

asio::awaitable<void> serve_connection(std::shared_ptr<server::state> shared,
                                       beast::tcp_stream stream) {
  const scoped_counter connected(shared->connections);
  beast::flat_buffer buffer;
  error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  bool more = true;
  while (more) {
    more = co_await serve_one(shared, stream, buffer);
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

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
    if (shared->connections >= shared->limits.connections) {
      continue;
    }
    const auto strand = socket.get_executor();
    asio::co_spawn(strand, serve_connection(shared, beast::tcp_stream(std::move(socket))),
                   ignore_exception);
  }
}

}  // namespace

server::server(asio::io_context& context, const endpoint& listen_at, server_limits limits,
               handler handle, error_responder make_error_response)
    : shared(std::make_shared<state>(context, limits, std::move(handle),
                                     std::move(make_error_response))) {
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
