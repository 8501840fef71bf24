// Tests of the stand-in for a backend server and of its process in a fault soak.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "hawthornlane/stand_ins/scripted_backend.h"
#include "server_process.h"
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

TEST_CASE("a server process that is killed does not reset its connections or keep its port") {
  boost::asio::io_context context;
  net::deadline_sweeper sweeper(context);
  stand_ins::scripted_backend server(context, sweeper, {loopback, 0}, "models-1",
                                     std::make_shared<stand_ins::behavior_script>());
  server.set_framing(stand_ins::body_framing::connection_end);
  server.set_write_pause(2s);
  const auto here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  server_process process(here / "hawthornlane-stand-in-server", server.where(), "/dev/null");
  call_request request;
  request.path = "/once/x";
  request.id = "r1";
  call_result cut;
  boost::asio::co_spawn(context, ask(context, sweeper, process.where(), request, cut),
                        boost::asio::detached);
  boost::asio::steady_timer timer(context, 500ms);
  timer.async_wait([&process](const auto&) { process.kill(); });
  context.run_for(1500ms);
  CHECK(server.runs("r1") == 1);
  // The response has no length, so an orderly end of its connection looks like its own.
  CHECK(cut.status == 200);
  CHECK(cut.whole);
  CHECK(cut.body == "answer");
  call_result refused;
  boost::asio::co_spawn(context, ask(context, sweeper, process.where(), request, refused),
                        boost::asio::detached);
  context.restart();
  context.run_for(1500ms);
  CHECK(refused.status == 0);
  CHECK(server.arrivals().size() == 1);
}
