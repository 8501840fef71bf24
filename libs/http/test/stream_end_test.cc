// Guards against streams of the HTTP server that callers of HTTP/1.0 cannot read, or whose early
// end looks like their end.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "hawthornlane/http/server.h"

using namespace hawthornlane;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr const char* finished_path = "/finished";
constexpr const char* part = "part of a stream";

/// A server that streams one part, and finishes the stream only on one path.
class streaming_server {
public:
  streaming_server() {
    const auto handle = [](const http::request& ask,
                           http::exchange& reply) -> asio::awaitable<void> {
      http::response head;
      co_await reply.start_stream(std::move(head));
      co_await reply.write(part);
      if (ask.path == finished_path) {
        co_await reply.finish_stream();
      }
    };
    const auto make_error_response = [](error_kind, std::string_view) { return http::response(); };
    this->server =
        std::make_unique<http::server>(this->context, http::endpoint{"127.0.0.1", 0},
                                       http::server_limits{}, handle, make_error_response);
    this->thread = std::jthread([this] { this->context.run(); });
  }
  streaming_server(const streaming_server&) = delete;
  streaming_server& operator=(const streaming_server&) = delete;
  ~streaming_server() { this->context.stop(); }

  /// Sends the bytes, reads until the connection ends and returns how it did.
  boost::system::error_code exchange_bytes(const std::string& bytes, std::string& received) const {
    asio::io_context own;
    tcp::socket socket(own);
    const http::endpoint at = this->server->where();
    socket.connect({asio::ip::make_address(at.address), at.port});
    asio::write(socket, asio::buffer(bytes));
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(received), ended);
    return ended;
  }

private:
  asio::io_context context;
  std::unique_ptr<http::server> server;
  std::jthread thread;
};

std::string request(const std::string& version, const std::string& path,
                    const std::string& headers = "") {
  return "GET " + path + " HTTP/" + version + "\r\nHost: x\r\n" + headers + "\r\n";
}

}  // namespace

TEST_CASE("a stream of the HTTP server looks whole only if it is") {
  struct row {
    const char* version;
    const char* path;
    bool ends_in_order;
    /// The end of what is received.
    const char* last;
  };
  const row rows[] = {
      {"1.1", finished_path, true, "10\r\npart of a stream\r\n0\r\n\r\n"},
      {"1.1", "/unfinished", true, "10\r\npart of a stream\r\n"},
      {"1.0", finished_path, true, "\r\n\r\npart of a stream"},
      {"1.0", "/unfinished", false, ""},
  };
  const streaming_server server;
  for (const row& item : rows) {
    INFO(item.version << " " << item.path);
    std::string received;
    const auto ended =
        server.exchange_bytes(request(item.version, item.path, "Connection: close\r\n"), received);
    CHECK((ended == asio::error::eof) == item.ends_in_order);
    CHECK(received.ends_with(item.last));
  }
}

TEST_CASE("a connection with an unfinished stream serves no other request") {
  const streaming_server server;
  std::string received;
  server.exchange_bytes(
      request("1.1", "/unfinished") + request("1.1", finished_path, "Connection: close\r\n"),
      received);
  CHECK(received.find(part) != std::string::npos);
  CHECK(received.find(part) == received.rfind(part));
}
