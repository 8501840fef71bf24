// Calls between hosts: answered, refused, timed out, cut, and given up.
#include "hawthornlane/net/rpc.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace hawthornlane;
using namespace hawthornlane::net;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint16_t echo = 1;
constexpr std::uint16_t silent = 2;

/// A server that echoes, refuses or says nothing, by the method.
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

  rpc_failure call(rpc_client& client, std::uint16_t method, duration limit = 500ms) {
    std::optional<rpc_failure> why;
    client.call(method, "payload", limit, [&](rpc_failure result, const std::string& answer) {
      why = result;
      this->last_answer = answer;
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
  std::string last_answer;
};

}  // namespace

TEST_CASE("how a call ends") {
  call_fixture all;
  rpc_client client(all.context, all.sweeper, all.server.where());
  CHECK(all.call(client, echo) == rpc_failure::none);
  CHECK(all.last_answer == "payload");
  CHECK(all.call(client, 9) == rpc_failure::refused);
  CHECK(all.call(client, silent, 100ms) == rpc_failure::unknown);
  // The connection was given up as silent; the next call makes a new one.
  CHECK(all.call(client, echo) == rpc_failure::none);
}

TEST_CASE("a host that does not listen is unreachable at once") {
  call_fixture all;
  rpc_client client(all.context, all.sweeper, {"127.0.0.1", 1});
  CHECK(all.call(client, echo) == rpc_failure::unreachable);
}

TEST_CASE("bytes that are no frame end their connection only") {
  call_fixture all;
  asio::ip::tcp::socket rude(all.context);
  rude.connect({asio::ip::make_address("127.0.0.1"), all.server.where().port});
  asio::write(rude, asio::buffer(std::string(100, 'x')));
  rpc_client client(all.context, all.sweeper, all.server.where());
  CHECK(all.call(client, echo) == rpc_failure::none);
  char byte = 0;
  boost::system::error_code error;
  rude.read_some(asio::buffer(&byte, 1), error);
  CHECK(error);
}

TEST_CASE("a client that goes away tells those who wait, but not from its destructor") {
  call_fixture all;
  bool told = false;
  {
    rpc_client client(all.context, all.sweeper, all.server.where());
    client.call(silent, "payload", 10s, [&told](rpc_failure why, const std::string&) {
      CHECK(why == rpc_failure::unknown);
      told = true;
    });
  }
  CHECK_FALSE(told);
  all.run_until([&told] { return told; });
}
