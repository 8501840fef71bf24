// Test server that answers each request with the same bytes and then ends the connection.
#pragma once

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "hawthornlane/http/message.h"

namespace hawthornlane::test_support {

enum class connection_ending : std::uint8_t { close, reset };

/// Must live until its context runs no more.
class ending_server {
public:
  ending_server(boost::asio::io_context& context, std::string bytes, connection_ending end)
      : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        response(std::move(bytes)),
        ending(end) {
    boost::asio::co_spawn(context, this->serve(), boost::asio::detached);
  }

  [[nodiscard]] http::endpoint where() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

private:
  boost::asio::awaitable<void> serve() {
    namespace asio = boost::asio;
    constexpr std::size_t request_size = 4096;
    while (true) {
      asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
      boost::system::error_code error;
      std::array<char, request_size> request{};
      co_await socket.async_read_some(asio::buffer(request),
                                      asio::redirect_error(asio::use_awaitable, error));
      co_await asio::async_write(socket, asio::buffer(this->response),
                                 asio::redirect_error(asio::use_awaitable, error));
      if (this->ending == connection_ending::reset) {
        socket.set_option(asio::socket_base::linger(true, 0), error);
      }
      socket.close(error);
    }
  }

  boost::asio::ip::tcp::acceptor acceptor;
  std::string response;
  connection_ending ending;
};

}  // namespace hawthornlane::test_support
