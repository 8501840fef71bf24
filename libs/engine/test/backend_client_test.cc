// Guards against answers that end with their server's process and are taken for whole ones.
#include "hawthornlane/engine/backend_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "ending_server.h"

using namespace hawthornlane;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using outcome = backend_result::kind;
using test_support::connection_ending;

namespace {

enum class call_to : std::uint8_t { tool, model };

backend_result result_of(call_to what, const std::string& response) {
  asio::io_context context;
  const test_support::ending_server server(context, response, connection_ending::close);
  backend_client client;
  backend_call call;
  call.path = "/run";
  call.messages = "[]";
  call.response_timeout = 2s;
  backend_result result;
  bool done = false;
  const auto make_call = [&]() -> asio::awaitable<void> {
    if (what == call_to::tool) {
      result = co_await client.call_tool(server.where(), call);
    } else {
      const text_sink ignore = [](std::string_view) {};
      result = co_await client.complete(server.where(), call, ignore);
    }
    done = true;
  };
  asio::co_spawn(context, make_call(), asio::detached);
  while (!done) {
    context.run_one();
  }
  return result;
}

}  // namespace

TEST_CASE("an answer that ends with its connection is not whole without an end mark") {
  struct row {
    const char* what;
    call_to called;
    const char* response;
    outcome expected;
  };
  const row rows[] = {
      {"a tool's answer with a length", call_to::tool,
       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", outcome::finished},
      {"a tool's answer without a length", call_to::tool, "HTTP/1.1 200 OK\r\n\r\npart",
       outcome::broken},
      {"a tool's answer that is cut", call_to::tool,
       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", outcome::broken},
      {"a model's answer without its end mark", call_to::model,
       "HTTP/1.1 200 OK\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
       outcome::broken},
      {"a model's answer with its end mark", call_to::model,
       "HTTP/1.1 200 OK\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
       "data: [DONE]\n\n",
       outcome::finished},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(result_of(item.called, item.response).outcome == item.expected);
  }
}
