// Guards the HTTP server against misbehaving callers: an invalid or slow request gets the
// response of the error table, and other callers are still served.
#include "hawthornlane/http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace hawthornlane;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A server that echoes bodies, on its own thread.
class echo_server {
public:
  echo_server() {
    http::server_limits limits;
    limits.header_bytes = 4096;
    limits.body_bytes = 10'000;
    limits.request_time = std::chrono::milliseconds(300);
    const auto handle = [](const http::request& ask,
                           http::exchange& reply) -> asio::awaitable<void> {
      http::response answer;
      answer.body = ask.method + " " + ask.path + " " + ask.body;
      co_await reply.respond(std::move(answer));
    };
    const auto make_error_response = [](error_kind kind, std::string_view) {
      http::response answer;
      answer.status = answer_for(kind).http_status;
      answer.body = std::string(answer_for(kind).name);
      return answer;
    };
    this->server = std::make_unique<http::server>(this->context, http::endpoint{"127.0.0.1", 0},
                                                  limits, handle, make_error_response);
    this->thread = std::jthread([this] { this->context.run(); });
  }
  echo_server(const echo_server&) = delete;
  echo_server& operator=(const echo_server&) = delete;
  ~echo_server() { this->context.stop(); }

  /// Sends the bytes, optionally shuts down the sending side, and reads until the end.
  std::string exchange_bytes(const std::string& bytes, bool half_close = false) const {
    asio::io_context own;
    tcp::socket socket(own);
    const http::endpoint at = this->server->where();
    socket.connect({asio::ip::make_address(at.address), at.port});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (half_close) {
      socket.shutdown(tcp::socket::shutdown_send, error);
    }
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

private:
  asio::io_context context;
  std::unique_ptr<http::server> server;
  std::jthread thread;
};

std::string request(const std::string& target, const std::string& headers,
                    const std::string& body = "") {
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE(
    "an invalid or slow request gets the error table's response and other callers are served") {
  struct misbehavior {
    std::string name;
    std::string bytes;
    std::string expected;
  };
  const auto row = GENERATE(values<misbehavior>({
      {"body too large", request("/", "", std::string(10'001, 'x')), "413 "},
      {"announced body too large", "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413 "},
      {"headers flooded", request("/", "X-Long: " + std::string(8000, 'x') + "\r\n"), "413 "},
      {"not HTTP", "this is not HTTP\r\n\r\n", "400 "},
      {"bad length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "400 "},
      {"bad target", "GET not-a-path HTTP/1.1\r\nHost: x\r\n\r\n", "400 "},
      {"slow sender", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf", "408 "},
  }));
  const echo_server server;
  const std::string answer = server.exchange_bytes(row.bytes);
  INFO(row.name << "\nactual answer:\n" << answer);
  CHECK(answer.starts_with("HTTP/1.1 " + row.expected));
  const std::string good = server.exchange_bytes(request("/a", "", "b"));
  CHECK(good.starts_with("HTTP/1.1 200 "));
  CHECK(good.ends_with("POST /a b"));
}

TEST_CASE("a caller that shuts down its sending side still gets its response") {
  const echo_server server;
  CHECK(server.exchange_bytes(request("/a", "", "b"), true).ends_with("POST /a b"));
}

TEST_CASE("a connection that ends in the middle of a request does not affect others") {
  const echo_server server;
  const std::string cut =
      server.exchange_bytes("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf", true);
  CHECK(cut.starts_with("HTTP/1.1 400 "));
  CHECK(server.exchange_bytes(request("/a", "", "b")).ends_with("POST /a b"));
}

TEST_CASE("only an address of the form IP:port is parsed") {
  CHECK(http::endpoint_from_string("127.0.0.1:80") == http::endpoint{"127.0.0.1", 80});
  const auto bad =
      GENERATE(as<std::string>{}, "", ":80", "127.0.0.1", "127.0.0.1:", "h:70000", "127.0.0.1:8x");
  INFO("text '" << bad << "'");
  CHECK_FALSE(http::endpoint_from_string(bad).has_value());
}
