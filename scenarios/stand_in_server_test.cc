// Tests of the stand-in for a backend server.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "hawthornlane/stand_ins/scripted_backend.h"
#include "test_caller.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::backend_behavior;

namespace {

boost::asio::awaitable<void> ask(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
                                 http::endpoint where, call_request request, call_result& into) {
  net::timed_socket socket(context, sweeper);
  const net::steady_time until = std::chrono::steady_clock::now() + 2s;
  const net::error_code refused = co_await socket.connect(where, until);
  const net::error_code failed =
      refused ? refused : co_await socket.write_all(bytes_of(request), until);
  std::string buffer;
  if (!failed) {
    co_await read_answer(socket, buffer, until, into);
  }
  context.stop();
}

}  // namespace

TEST_CASE("a check of a server does not use up a behavior or count as a call") {
  struct row {
    const char* path;
    const char* expected_instance;
    int status;
  };
  const row rows[] = {{"/healthz", "", 200},
                      {"/healthz", "models-1", 200},
                      {"/healthz", "models-0", 421},
                      {"/report", "", 200},
                      {"/report", "models-0", 421}};
  boost::asio::io_context context;
  net::deadline_sweeper sweeper(context);
  const auto script = std::make_shared<stand_ins::behavior_script>();
  script->set({backend_behavior::drop_response, backend_behavior::answer});
  stand_ins::scripted_backend server(context, sweeper, {loopback, 0}, "models-1", script);
  for (const row& item : rows) {
    INFO(item.path << " " << item.expected_instance);
    call_request request;
    request.method = "GET";
    request.path = item.path;
    if (*item.expected_instance != 0) {
      request.headers.push_back({"X-Expect-Instance", item.expected_instance});
    }
    call_result result;
    boost::asio::co_spawn(context, ask(context, sweeper, server.where(), request, result),
                          boost::asio::detached);
    context.restart();
    context.run_for(3s);
    CHECK(result.status == item.status);
    CHECK(result.whole);
    CHECK(result.header("X-Instance-Id") == "models-1");
  }
  CHECK(server.arrivals().empty());
  CHECK(script->take() == backend_behavior::drop_response);
}
