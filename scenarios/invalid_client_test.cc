// Guards the client of the store, of backend servers and of the command line against responses that
// HTTP does not allow, and against bytes that answer no request.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "hawthornlane/http/client.h"
#include "hawthornlane/stand_ins/invalid_response.h"
#include "test_caller.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::raw_response;
using stand_ins::response_framing;
using stand_ins::response_pieces;
using stand_ins::unusual_response;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto limit = 2s;

/// Sends one response to each request of each connection.
class raw_server {
public:
  explicit raw_server(asio::io_context& context)
      : sweeper(context), acceptor(context, {asio::ip::make_address(loopback), 0}) {
    asio::co_spawn(context, this->accept(context), asio::detached);
  }

  [[nodiscard]] http::endpoint where() const {
    return {loopback, this->acceptor.local_endpoint().port()};
  }

  raw_response response;
  int requests = 0;

private:
  asio::awaitable<void> accept(asio::io_context& context) {
    while (true) {
      net::error_code error;
      tcp::socket accepted =
          co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      asio::co_spawn(context, this->serve(std::move(accepted)), asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket accepted) {
    net::timed_socket socket(std::move(accepted), this->sweeper);
    constexpr std::size_t read_size = 4096;
    while (true) {
      std::string request;
      const net::error_code error =
          co_await socket.read_more(request, read_size, steady::now() + 10s);
      if (error) {
        co_return;
      }
      ++this->requests;
      const bool closes = this->response.closes;
      co_await stand_ins::send_raw_response(socket, this->response, steady::now() + 10s);
      if (closes) {
        co_return;
      }
    }
  }

  net::deadline_sweeper sweeper;
  tcp::acceptor acceptor;
};

struct fetched {
  std::optional<http::response> response;
  http::fetch_failure why;
};

fetched fetch(asio::io_context& context, http::client& client, const http::endpoint& where,
              http::accepted_end ends) {
  fetched result;
  bool done = false;
  const auto run = [&]() -> asio::awaitable<void> {
    http::request request;
    request.target = "/x";
    result.response = co_await client.fetch(where, request, limit, result.why, ends);
    done = true;
  };
  asio::co_spawn(context, run(), asio::detached);
  while (!done) {
    context.run_one();
  }
  return result;
}

template <class Check>
void play(std::span<const unusual_response> table, const Check& check) {
  for (const unusual_response& what : table) {
    for (const response_framing framing : stand_ins::all_response_framings) {
      for (const response_pieces pieces :
           {response_pieces::whole, response_pieces::lines, response_pieces::bytes}) {
        if (!has_framing(what, framing)) {
          continue;
        }
        INFO(what.name << ", " << name_of(framing) << ", pieces " << static_cast<int>(pieces));
        asio::io_context context;
        raw_server server(context);
        server.response = {bytes_of(what, framing, "X-Server: s\r\n", "all of it"), pieces, true};
        http::client client;
        const fetched result =
            fetch(context, client, server.where(), http::accepted_end::connection);
        CHECK(server.requests == 1);
        check(what, result);
      }
    }
  }
}

}  // namespace

TEST_CASE("a fetch fails if the response is not allowed by HTTP") {
  play(stand_ins::invalid_responses(), [](const unusual_response&, const fetched& result) {
    CHECK_FALSE(result.response);
    CHECK(result.why.reached == http::progress::partial_response);
    CHECK_FALSE(result.why.detail.empty());
  });
}

TEST_CASE("a fetch returns a response that HTTP allows") {
  play(stand_ins::allowed_responses(), [](const unusual_response& what, const fetched& result) {
    const int status =
        what.name.starts_with("status ") ? std::stoi(std::string(what.name.substr(7))) : 200;
    REQUIRE(result.response);
    CHECK(result.response->status == status);
    CHECK(result.response->body == "all of it");
    CHECK(result.response->find_header("X-Server") == "s");
  });
}

TEST_CASE("bytes behind a response are no response to the next request") {
  const std::string foreign = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
  for (const char* first : {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nfirst\r\n",
                            "HTTP/1.1 204 No Content\r\n\r\n"}) {
    for (const response_pieces pieces : {response_pieces::whole, response_pieces::lines}) {
      INFO(first << ", pieces " << static_cast<int>(pieces));
      asio::io_context context;
      raw_server server(context);
      http::client client;
      server.response = {first + foreign, pieces, false};
      CHECK(fetch(context, client, server.where(), http::accepted_end::framing).response);
      // What was sent behind the response has arrived.
      context.run_for(50ms);
      server.response = {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", response_pieces::whole,
                         false};
      const fetched next = fetch(context, client, server.where(), http::accepted_end::framing);
      REQUIRE(next.response);
      CHECK(next.response->body == "own");
    }
  }
}
