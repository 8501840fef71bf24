// Guards against reads that outlast their deadline while bytes keep arriving.
#include "hawthornlane/net/timed_socket.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

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

}  // namespace

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
