// Guards against responses without a length or chunks whose early end looks like their end.
#include "hawthornlane/relay/caller_connection.h"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <memory>

using namespace hawthornlane;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using relay::caller_connection;
using tcp = asio::ip::tcp;

namespace {

const std::vector<http::header> no_headers;
constexpr const char* piece = "id: 1\ndata: piece 1\n\n";

/// Another process that holds the sockets of this one, until it is killed.
class socket_holder {
public:
  socket_holder() : process(::fork()) {
    constexpr unsigned longest_life_s = 20;
    if (this->process == 0) {
      ::alarm(longest_life_s);
      while (true) {
        ::pause();
      }
    }
  }
  socket_holder(const socket_holder&) = delete;
  socket_holder& operator=(const socket_holder&) = delete;
  ~socket_holder() {
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
  }

private:
  ::pid_t process;
};

/// A host's connection to a caller of HTTP/1.0 whose request has been read.
class served_caller {
public:
  served_caller() {
    tcp::acceptor acceptor(this->caller_context, {asio::ip::make_address("127.0.0.1"), 0});
    this->caller.connect(acceptor.local_endpoint());
    const auto native = acceptor.accept().release();
    tcp::socket accepted(*this->host_context, tcp::v4(), native);
    this->socket = std::make_unique<net::timed_socket>(std::move(accepted), *this->sweeper);
    this->connection = std::make_unique<caller_connection>(*this->socket);
    asio::write(this->caller, asio::buffer(std::string("GET /a/x HTTP/1.0\r\nHost: h\r\n\r\n")));
    this->run([](caller_connection& from) -> asio::awaitable<void> {
      http::request request;
      failure reason;
      const auto outcome = co_await from.read([] { return caller_limits(); }, request, reason);
      CHECK(outcome == relay::read_outcome::request);
    });
  }

  void run(const std::function<asio::awaitable<void>(caller_connection&)>& work) {
    bool done = false;
    const auto until_done = [&]() -> asio::awaitable<void> {
      co_await work(*this->connection);
      done = true;
    };
    asio::co_spawn(*this->host_context, until_done(), asio::detached);
    while (!done) {
      this->host_context->run_one_for(10ms);
    }
  }

  void close() { this->socket->close(); }
  void shutdown_and_close() {
    this->socket->shutdown_send();
    this->socket->close();
  }
  void destroy_host() {
    this->connection.reset();
    this->socket.reset();
    this->sweeper.reset();
    this->host_context.reset();
  }
  /// Ends the host's process, of which nothing runs any more.
  void kill_host() {
    const socket_holder process;
    // The other process still holds the connection, so this ends nothing.
    this->socket->close();
  }

  /// Reads until the connection ends and returns how it did; waits after each read.
  net::error_code read_to_end(std::string& body, std::chrono::milliseconds wait = 0ms) {
    std::array<char, std::size_t{16} * 1024> bytes{};
    net::error_code ended;
    while (!ended) {
      const std::size_t got = this->caller.read_some(asio::buffer(bytes), ended);
      body.append(bytes.data(), got);
      asio::steady_timer(this->caller_context, wait).wait();
    }
    return ended;
  }

private:
  asio::io_context caller_context;
  tcp::socket caller{caller_context};
  std::unique_ptr<asio::io_context> host_context = std::make_unique<asio::io_context>(1);
  std::unique_ptr<net::deadline_sweeper> sweeper =
      std::make_unique<net::deadline_sweeper>(*host_context);
  std::unique_ptr<net::timed_socket> socket;
  std::unique_ptr<caller_connection> connection;
};

using host_end = void (served_caller::*)();

}  // namespace

TEST_CASE("a stream to a caller of HTTP/1.0 looks whole only if it is") {
  struct row {
    const char* what;
    host_end end;
    bool is_finished;
  };
  const row rows[] = {
      {"killed in the stream", &served_caller::kill_host, false},
      {"killed after the stream", &served_caller::kill_host, true},
      {"closed in the stream", &served_caller::close, false},
      {"shut down and closed after the stream", &served_caller::shutdown_and_close, true},
      {"destroyed in the stream", &served_caller::destroy_host, false},
      {"destroyed after the stream", &served_caller::destroy_host, true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    served_caller all;
    all.run([&item](caller_connection& to) -> asio::awaitable<void> {
      co_await to.start(200, no_headers);
      co_await to.write(piece);
      if (item.is_finished) {
        co_await to.finish();
      }
    });
    (all.*item.end)();
    std::string received;
    const net::error_code ended = all.read_to_end(received);
    CHECK((ended == asio::error::eof) == item.is_finished);
    CHECK((!item.is_finished || received.ends_with(piece)));
  }
}

TEST_CASE("the end of a large response that is read slowly is not lost") {
  const host_end end = GENERATE(&served_caller::shutdown_and_close, &served_caller::kill_host);
  served_caller all;
  std::string received;
  auto ended = std::async(std::launch::async, [&] { return all.read_to_end(received, 2ms); });
  const std::string part(std::size_t{64} * 1024, 'a');
  constexpr int parts = 16;
  all.run([&part](caller_connection& to) -> asio::awaitable<void> {
    co_await to.start(200, no_headers);
    for (int number = 0; number < parts; ++number) {
      co_await to.write(part);
    }
    co_await to.write(piece);
    co_await to.finish();
  });
  (all.*end)();
  CHECK(ended.get() == asio::error::eof);
  CHECK(received.ends_with(piece));
  CHECK(received.size() > parts * part.size());
}

TEST_CASE("the end of a response with a length is no reset") {
  const host_end end = GENERATE(&served_caller::shutdown_and_close, &served_caller::kill_host);
  served_caller all;
  all.run([](caller_connection& to) -> asio::awaitable<void> {
    co_await to.respond(503, no_headers, "refused");
  });
  (all.*end)();
  std::string received;
  CHECK(all.read_to_end(received) == asio::error::eof);
  CHECK(received.find("Content-Length: 7\r\n") != std::string::npos);
  CHECK(received.ends_with("refused"));
}
