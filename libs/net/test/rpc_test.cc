// Calls between hosts: success, refusal, timeout, connection loss, and the limits of the queues.
#include "hawthornlane/net/rpc.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "hawthornlane/net/frame.h"

using namespace hawthornlane;
using namespace hawthornlane::net;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint16_t echo = 1;
constexpr std::uint16_t silent = 2;

/// A server that echoes, refuses or sends nothing, depending on the method.
class call_fixture {
public:
  call_fixture()
      : sweeper(context),
        server(context, sweeper, {"127.0.0.1", 0},
               [](std::uint16_t method, std::string payload, const rpc_reply& reply) {
                 if (method == echo) {
                   reply(std::move(payload));
                 } else if (method != silent) {
                   reply(std::nullopt);
                 }
               }) {}

  rpc_failure call(rpc_client& client, std::uint16_t method, duration timeout = 500ms) {
    std::optional<rpc_failure> why;
    client.call(method, "payload", timeout, [&](rpc_failure result, const std::string& answer) {
      why = result;
      this->last_response = answer;
    });
    this->run_until([&] { return why.has_value(); });
    return *why;
  }

  void run_until(const std::function<bool()>& done) {
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (!done() && std::chrono::steady_clock::now() < until) {
      this->context.restart();
      this->context.poll();
    }
    REQUIRE(done());
  }

  asio::io_context context;
  deadline_sweeper sweeper;
  rpc_server server;
  std::string last_response;
};

}  // namespace

TEST_CASE("a call reports a response, a refusal or a timeout") {
  call_fixture all;
  rpc_client client(all.context, all.sweeper, all.server.where());
  CHECK(all.call(client, echo) == rpc_failure::none);
  CHECK(all.last_response == "payload");
  CHECK(all.call(client, 9) == rpc_failure::refused);
  CHECK(all.call(client, silent, 100ms) == rpc_failure::unknown);
  // The client closed the silent connection; the next call opens a new one.
  CHECK(all.call(client, echo) == rpc_failure::none);
}

TEST_CASE("a call to a host that does not listen fails as unreachable") {
  call_fixture all;
  rpc_client client(all.context, all.sweeper, {"127.0.0.1", 1});
  CHECK(all.call(client, echo) == rpc_failure::unreachable);
}

TEST_CASE("bytes that are not a frame close only the connection they arrive on") {
  call_fixture all;
  asio::ip::tcp::socket invalid_client(all.context);
  invalid_client.connect({asio::ip::make_address("127.0.0.1"), all.server.where().port});
  asio::write(invalid_client, asio::buffer(std::string(100, 'x')));
  rpc_client client(all.context, all.sweeper, all.server.where());
  CHECK(all.call(client, echo) == rpc_failure::none);
  char byte = 0;
  boost::system::error_code error;
  invalid_client.read_some(asio::buffer(&byte, 1), error);
  CHECK(error);
}

TEST_CASE("destroying a client fails its pending calls, but not within the destructor") {
  call_fixture all;
  bool notified = false;
  {
    rpc_client client(all.context, all.sweeper, all.server.where());
    client.call(silent, "payload", 10s, [&notified](rpc_failure why, const std::string&) {
      CHECK(why == rpc_failure::unknown);
      notified = true;
    });
  }
  CHECK_FALSE(notified);
  all.run_until([&notified] { return notified; });
}

TEST_CASE("unread responses are limited for the whole process, not per connection") {
  constexpr std::size_t max_bytes = std::size_t{4} * 1024 * 1024;
  constexpr std::size_t response_size = std::size_t{1} * 1024 * 1024;
  call_fixture all;
  rpc_server server(all.context, all.sweeper, {"127.0.0.1", 0},
                    [](std::uint16_t, const std::string&, const rpc_reply& reply) {
                      reply(std::string(response_size, 'a'));
                    });
  server.limit_queued_bytes(max_bytes);
  // Eight hosts repeatedly request 40 MB in total and read nothing.
  std::string asks;
  for (std::uint64_t call = 1; call <= 5; ++call) {
    append_frame(asks, {frame_kind::request, echo, call, ""});
  }
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> non_reading;
  for (int number = 0; number < 8; ++number) {
    non_reading.push_back(std::make_unique<asio::ip::tcp::socket>(all.context));
    non_reading.back()->open(asio::ip::tcp::v4());
    non_reading.back()->set_option(asio::socket_base::receive_buffer_size(4096));
    non_reading.back()->connect({asio::ip::make_address("127.0.0.1"), server.where().port});
  }
  std::size_t largest = 0;
  const auto until = std::chrono::steady_clock::now() + 500ms;
  while (std::chrono::steady_clock::now() < until) {
    for (const auto& socket : non_reading) {
      asio::write(*socket, asio::buffer(asks));
    }
    all.context.restart();
    all.context.poll();
    largest = std::max(largest, server.queued_bytes());
  }
  CHECK(largest > response_size);
  CHECK(largest <= max_bytes + 100 * frame_head_size);
  // A new request is refused at once, and served once the other connections are closed.
  rpc_client client(all.context, all.sweeper, server.where());
  CHECK(all.call(client, echo) == rpc_failure::refused);
  non_reading.clear();
  all.run_until([&] { return server.queued_bytes() == 0; });
  CHECK(all.call(client, echo) == rpc_failure::none);
}

TEST_CASE("requests to a host that accepts nothing fail at once when the queue is full") {
  call_fixture all;
  // A listener that never accepts; nothing reads the requests.
  asio::ip::tcp::acceptor full(all.context, {asio::ip::make_address("127.0.0.1"), 0});
  rpc_client client(all.context, all.sweeper, {"127.0.0.1", full.local_endpoint().port()});
  std::vector<rpc_failure> ends;
  const std::string payload(max_unsent_bytes / 4, 'p');
  for (int number = 0; number < 12; ++number) {
    client.call(echo, payload, 5s,
                [&](rpc_failure why, const std::string&) { ends.push_back(why); });
  }
  // Requests beyond the queue's limit fail at once.
  all.run_until([&] { return ends.size() >= 8; });
  CHECK(std::count(ends.begin(), ends.end(), rpc_failure::unreachable) >= 8);
}

TEST_CASE("a request that timed out before it was written is not written later") {
  call_fixture all;
  asio::ip::tcp::acceptor slow(all.context);
  slow.open(asio::ip::tcp::v4());
  // Without this the kernel may buffer 10 MB for a host that reads nothing.
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  slow.bind({asio::ip::make_address("127.0.0.1"), 0});
  slow.listen();
  rpc_client client(all.context, all.sweeper, {"127.0.0.1", slow.local_endpoint().port()});
  constexpr int requests = 5;
  constexpr std::size_t large = std::size_t{2} * 1024 * 1024;
  // Keyed by request: calls that expire in the same sweep end in any order.
  std::map<int, rpc_failure> ends;
  for (int number = 0; number < requests; ++number) {
    client.call(echo, std::string(large, 'p'), 300ms,
                [&ends, number](rpc_failure why, const std::string&) { ends[number] = why; });
  }
  all.run_until([&] { return ends.size() == requests; });
  // The first request fills the kernel's buffers.
  CHECK(ends.at(0) == rpc_failure::unknown);
  CHECK(ends.at(requests - 1) == rpc_failure::unreachable);
}

TEST_CASE("a call made from the callback of a failed call uses the next connection") {
  call_fixture all;
  // Accepts connections and closes each of them.
  asio::ip::tcp::acceptor ending(all.context, {asio::ip::make_address("127.0.0.1"), 0});
  rpc_client client(all.context, all.sweeper, {"127.0.0.1", ending.local_endpoint().port()});
  int retries = 0;
  std::function<void(rpc_failure, const std::string&)> retry = [&](rpc_failure,
                                                                   const std::string&) {
    if (++retries < 3) {
      client.call(echo, "again", 5s, retry);
    }
  };
  client.call(echo, "first", 5s, retry);
  for (int connection = 1; connection <= 3; ++connection) {
    asio::ip::tcp::socket socket(all.context);
    ending.async_accept(socket, [](const boost::system::error_code&) {});
    all.run_until([&] { return socket.is_open() && socket.available() > 0; });
    socket.close();
    all.run_until([&] { return retries >= connection; });
    CHECK(retries == connection);
  }
}
