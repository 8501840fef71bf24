// Guards against callers whose requests or connections stay when others need their place, and
// against refusals that do not reach a caller that is still sending.
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "hawthornlane/relay/caller_connection.h"

using namespace hawthornlane;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using overload::client_registry;
using relay::caller_connection;
using relay::read_outcome;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kb = 1024;
constexpr const char* yield_text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const std::string head = "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: ";

/// A host that accepts callers with a registry of its own.
class host {
public:
  explicit host(std::size_t max_connections)
      : registry(std::make_shared<client_registry>(1024 * kb)),
        at(registry->add_listener("callers", max_connections)),
        acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

  /// Runs the host until `done` returns true; returns false after `limit`.
  bool run_until(const std::function<bool()>& done, std::chrono::milliseconds limit = 5s) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < until) {
      this->context.run_one_for(5ms);
    }
    return done();
  }

  asio::io_context context;
  net::deadline_sweeper sweeper{context};
  std::shared_ptr<client_registry> registry;
  overload::listener* at;
  tcp::acceptor acceptor;
  overload::drain_pace pace;
};

/// One caller, and the host's side of its connection.
class caller {
public:
  explicit caller(host& of) : where(of), socket(of.context) {
    this->socket.connect(of.acceptor.local_endpoint());
    this->accepted = std::make_unique<net::timed_socket>(of.acceptor.accept(), of.sweeper);
    this->connection = std::make_unique<caller_connection>(*this->accepted, of.registry, of.at,
                                                           std::string(yield_text));
  }

  void send(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

  /// Reads one request at the host; a refused one is answered and its rest dropped.
  void begin_read() { asio::co_spawn(this->where.context, this->read(), asio::detached); }

  asio::awaitable<void> read() {
    http::request request;
    failure why;
    const read_outcome ended =
        co_await this->connection->read([] { return caller_limits(); }, request, why);
    this->reason = why;
    this->outcome = ended;
    if (ended == read_outcome::refused) {
      this->connection->close_after_response();
      co_await this->connection->respond(answer_for(why.kind).http_status, {}, "");
      this->accepted->shutdown_send();
      co_await this->connection->drop_rest(this->where.pace, {250ms, 10s}, [] { return false; });
      this->accepted->close();
    }
    this->is_over = true;
  }

  /// What the host has sent until it ended the connection.
  std::string read_to_end() {
    std::string text;
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t got = this->socket.read_some(asio::buffer(bytes), error);
      text.append(bytes.data(), got);
    }
    return error == asio::error::eof ? text : "reset";
  }

  host& where;
  tcp::socket socket;
  std::unique_ptr<net::timed_socket> accepted;
  std::unique_ptr<caller_connection> connection;
  std::optional<read_outcome> outcome;
  failure reason;
  bool is_over = false;
};

}  // namespace

TEST_CASE("a stalled request yields its memory to one that moves, and is refused as not run") {
  host all(10);
  caller stalled(all);
  stalled.begin_read();
  stalled.send(head + "600000\r\n\r\n" + std::string(500 * kb, 'x'));
  REQUIRE(all.run_until([&] { return all.registry->held_bytes() >= 500 * kb; }));
  CHECK_FALSE(all.run_until([&] { return stalled.is_over; }, 500ms));
  caller moving(all);
  moving.begin_read();
  moving.send(head + "512000\r\n\r\n" + std::string(500 * kb, 'y'));
  CHECK(all.run_until([&] { return moving.outcome.has_value() && stalled.outcome.has_value(); }));
  CHECK(moving.outcome == read_outcome::request);
  CHECK(stalled.outcome == read_outcome::refused);
  CHECK(stalled.reason.kind == error_kind::overloaded);
  CHECK(all.registry->held_bytes() < 600 * kb);
  moving.connection->release();
  CHECK(all.registry->held_bytes() == 0);
}

TEST_CASE("a connection that yields is answered if its request had begun") {
  struct table_row {
    const char* name;
    std::string sent;
    std::string received;
  };
  const auto row = GENERATE(values<table_row>({
      {"silent", "", ""},
      {"stalled", "POST /a/x HTTP/1.1\r\n", yield_text},
  }));
  INFO(row.name);
  host all(1);
  caller first(all);
  first.begin_read();
  first.send(row.sent);
  all.run_until([&] { return first.is_over; }, 200ms);
  const caller second(all);
  CHECK(second.connection->has_place());
  CHECK(all.run_until([&] { return first.is_over; }));
  CHECK(first.outcome == read_outcome::closed);
  CHECK(first.read_to_end() == row.received);
}

TEST_CASE("a caller that reads only after it has sent all gets its refusal") {
  host all(10);
  caller slow(all);
  slow.begin_read();
  slow.send(head + "5000000\r\n\r\n");
  REQUIRE(all.run_until([&] { return slow.outcome.has_value(); }));
  for (int piece = 0; piece < 5; ++piece) {
    slow.send(std::string(100 * kb, 'x'));
    all.run_until([&] { return slow.is_over; }, 50ms);
  }
  slow.socket.shutdown(tcp::socket::shutdown_send);
  CHECK(all.run_until([&] { return slow.is_over; }));
  CHECK(slow.read_to_end().starts_with("HTTP/1.1 413 "));
}
