// Guards against reads that outlast their deadline while bytes keep arriving, and against resets
// that look like an orderly end of the connection.
#include "hawthornlane/net/timed_socket.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

using namespace hawthornlane;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

/// Two connected sockets.
struct socket_pair {
  explicit socket_pair(asio::io_context& context) : near(context), far(context) {
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    this->near.connect(acceptor.local_endpoint());
    this->far = acceptor.accept();
  }
  tcp::socket near;
  tcp::socket far;
};

/// How the peer ends a connection on which it has sent some bytes.
enum class peer_end { in_order, reset, close_unread, in_order_then_reset };

/// What is told of the end before the connection is read.
enum class told_first { none, write, peek, write_and_peek };

constexpr std::string_view sent_bytes = "part";

/// Runs a coroutine to its end.
void run(asio::io_context& context, const std::function<asio::awaitable<void>()>& what) {
  bool done = false;
  const auto run_one = [&]() -> asio::awaitable<void> {
    co_await what();
    done = true;
  };
  asio::co_spawn(context, run_one(), asio::detached);
  const auto until = steady::now() + 10s;
  while (!done && steady::now() < until) {
    context.run_one_for(10ms);
  }
  REQUIRE(done);
}

void end_connection(tcp::socket& socket, peer_end end) {
  const auto reset = [&socket] {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  };
  switch (end) {
    case peer_end::in_order:
    case peer_end::close_unread:
      socket.close();
      break;
    case peer_end::reset:
      reset();
      break;
    case peer_end::in_order_then_reset:
      socket.shutdown(tcp::socket::shutdown_send);
      reset();
      break;
  }
}

/// Two connected sockets; the far one has sent some bytes and ended its connection.
struct ended_pair {
  ended_pair(asio::io_context& context, peer_end end) : sockets(context) {
    if (end == peer_end::close_unread) {
      this->sockets.near.send(asio::buffer(sent_bytes));
      this->sockets.far.wait(tcp::socket::wait_read);
    }
    this->sockets.far.send(asio::buffer(sent_bytes));
    end_connection(this->sockets.far, end);
  }
  socket_pair sockets;
};

}  // namespace

TEST_CASE("a reset is no orderly end, whichever operation was told of it first") {
  struct row {
    const char* what;
    peer_end end;
    bool is_in_order;
  };
  const row rows[] = {
      {"ended in order", peer_end::in_order, true},
      {"reset", peer_end::reset, false},
      {"closed with unread bytes", peer_end::close_unread, false},
      {"ended in order, then reset", peer_end::in_order_then_reset, false},
  };
  for (const row& item : rows) {
    for (const told_first first :
         {told_first::none, told_first::write, told_first::peek, told_first::write_and_peek}) {
      // The peer of an orderly end resets the connection if something is written.
      if (item.is_in_order && (first == told_first::write || first == told_first::write_and_peek)) {
        continue;
      }
      for (const bool is_awaited : {true, false}) {
        INFO(item.what << ", told first " << static_cast<int>(first) << ", awaited " << is_awaited);
        asio::io_context context;
        net::deadline_sweeper sweeper(context);
        ended_pair pair(context, item.end);
        net::timed_socket reader(std::move(pair.sockets.near), sweeper);
        std::string received;
        net::error_code ended;
        run(context, [&]() -> asio::awaitable<void> {
          const auto until = steady::now() + 5s;
          if (first == told_first::write || first == told_first::write_and_peek) {
            CHECK(co_await reader.write_all("request", until));
          }
          if (first == told_first::peek || first == told_first::write_and_peek) {
            CHECK(reader.stale_while_idle());
          }
          std::array<char, 64> bytes{};
          while (!ended) {
            std::size_t got = 0;
            if (is_awaited) {
              got = co_await reader.read_some(asio::buffer(bytes), until, ended);
            } else {
              got = reader.read_available(asio::buffer(bytes), ended);
            }
            received.append(bytes.data(), got);
            if (first == told_first::peek) {
              CHECK(reader.stale_while_idle());
            }
          }
        });
        CHECK(received == sent_bytes);
        CHECK((ended == asio::error::eof) == item.is_in_order);
        CHECK(reader.is_reset() != item.is_in_order);
      }
    }
  }
}

TEST_CASE("written bytes count as taken once the peer's host has acknowledged them") {
  struct row {
    const char* what;
    std::size_t size;
    std::optional<peer_end> end;
    net::error_code expected;
  };
  // More than the kernel keeps for a process that does not read.
  constexpr std::size_t large = std::size_t{3} * 1024 * 1024;
  const row rows[] = {
      {"few bytes", 100, std::nullopt, {}},
      {"few bytes, ended in order", 100, peer_end::in_order_then_reset,
       asio::error::connection_reset},
      {"not read", large, std::nullopt, asio::error::timed_out},
      {"not read, reset", large, peer_end::reset, asio::error::connection_reset},
      {"not read, closed", large, peer_end::close_unread, asio::error::connection_reset},
  };
  for (const row& item : rows) {
    INFO(item.what);
    asio::io_context context;
    net::deadline_sweeper sweeper(context);
    socket_pair sockets(context);
    // Holds all that is written.
    sockets.near.set_option(asio::socket_base::send_buffer_size(static_cast<int>(2 * large)));
    net::timed_socket writer(std::move(sockets.near), sweeper);
    net::error_code waited;
    run(context, [&]() -> asio::awaitable<void> {
      const std::string bytes(item.size, 'b');
      std::string_view rest = bytes;
      rest.remove_prefix(writer.write_available(rest));
      if (item.end) {
        end_connection(sockets.far, *item.end);
      }
      waited = co_await writer.wait_acknowledged(steady::now() + 300ms);
    });
    CHECK(waited == item.expected);
  }
}

TEST_CASE("a read that always finds bytes ends at its deadline") {
  asio::io_context context;
  net::deadline_sweeper sweeper(context);
  socket_pair sockets(context);
  net::timed_socket writer(std::move(sockets.far), sweeper);
  net::timed_socket reader(std::move(sockets.near), sweeper);
  const auto until = steady::now() + 100ms;
  const auto write = [](net::timed_socket& socket) -> asio::awaitable<void> {
    const std::string block(std::size_t{64} * 1024, 'a');
    net::error_code error;
    while (!error) {
      error = co_await socket.write_all(block, steady::now() + 2s);
    }
  };
  net::error_code ended;
  const auto read = [&ended, until](net::timed_socket& socket) -> asio::awaitable<void> {
    std::array<char, 1024> bytes{};
    while (!ended && steady::now() < until + 2s) {
      co_await socket.read_some(asio::buffer(bytes), until, ended);
    }
    socket.close(true);
  };
  asio::co_spawn(context, write(writer), asio::detached);
  asio::co_spawn(context, read(reader), asio::detached);
  const auto began = steady::now();
  while (!ended && steady::now() < began + 3s) {
    context.run_one_for(10ms);
  }
  CHECK(ended == asio::error::timed_out);
  CHECK(steady::now() - began < 1s);
  context.run_for(50ms);
}

TEST_CASE("a read whose deadline has passed takes no bytes") {
  asio::io_context context;
  net::deadline_sweeper sweeper(context);
  socket_pair sockets(context);
  sockets.far.send(asio::buffer("bytes", 5));
  net::timed_socket reader(std::move(sockets.near), sweeper);
  net::error_code ended;
  std::string taken;
  const auto read = [&]() -> asio::awaitable<void> {
    ended = co_await reader.read_more(taken, 10, steady::now() - 1ms);
  };
  asio::co_spawn(context, read(), asio::detached);
  context.run_for(50ms);
  CHECK(ended == asio::error::timed_out);
  CHECK(taken.empty());
}
