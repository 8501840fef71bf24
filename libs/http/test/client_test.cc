// Guards against responses that end early, with their connection, and are taken for whole ones.
#include "hawthornlane/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "ending_server.h"

using namespace hawthornlane;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using http::accepted_end;
using test_support::connection_ending;

namespace {

struct fetched {
  std::optional<http::response> head;
  http::fetch_failure why;
  std::string body;
};

fetched fetch_from(asio::io_context& context, const http::endpoint& where, accepted_end ends) {
  fetched result;
  bool done = false;
  http::client client;
  const auto fetch = [&]() -> asio::awaitable<void> {
    const auto append = [&result](std::string_view part) {
      result.body += part;
      return true;
    };
    http::request ask;
    ask.method = "POST";
    result.head = co_await client.fetch_stream(where, ask, 2s, append, result.why, ends);
    done = true;
  };
  asio::co_spawn(context, fetch(), asio::detached);
  while (!done) {
    context.run_one();
  }
  return result;
}

}  // namespace

TEST_CASE("a response that ends with its connection is whole only where that is accepted") {
  struct row {
    const char* what;
    const char* response;
    connection_ending ending;
    accepted_end ends;
    bool is_whole;
  };
  constexpr auto close = connection_ending::close;
  constexpr auto reset = connection_ending::reset;
  const row rows[] = {
      {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", close, accepted_end::framing,
       true},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
       close, accepted_end::framing, true},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n", close, accepted_end::framing, true},
      {"no length", "HTTP/1.1 200 OK\r\n\r\npart", close, accepted_end::framing, false},
      {"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", close, accepted_end::framing, false},
      {"no length, an error", "HTTP/1.1 500 E\r\n\r\npart", close, accepted_end::framing, false},
      {"no length, empty", "HTTP/1.1 200 OK\r\n\r\n", close, accepted_end::framing, false},
      {"no length, accepted", "HTTP/1.1 200 OK\r\n\r\npart", close, accepted_end::connection, true},
      {"no length, reset", "HTTP/1.1 200 OK\r\n\r\npart", reset, accepted_end::connection, false},
      {"a length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", close,
       accepted_end::connection, false},
      {"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", close,
       accepted_end::connection, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    asio::io_context context;
    const test_support::ending_server server(context, item.response, item.ending);
    const fetched result = fetch_from(context, server.where(), item.ends);
    CHECK(result.head.has_value() == item.is_whole);
    CHECK((item.is_whole || result.why.reached == http::progress::partial_response));
  }
}
