// Guards the client of the store, of backend servers and of the command line against responses that
// don't end: a fetch ends in time and keeps little of them in memory.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "hawthornlane/http/client.h"
#include "hawthornlane/stand_ins/endless_response.h"
#include "process_memory.h"
#include "test_caller.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::endless_part;
using stand_ins::endless_response;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto part_limit = 100ms;
/// The head, then the whole body, and some time for a busy machine.
constexpr auto total_limit = part_limit + 4 * part_limit + 500ms;
constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
/// The largest body, twice while its buffer grows, and the buffers of both sides.
constexpr std::uint64_t max_growth_kb = std::uint64_t{32} * 1024;

asio::awaitable<void> serve_one(tcp::acceptor& acceptor, net::deadline_sweeper& sweeper,
                                endless_response what) {
  net::error_code error;
  tcp::socket accepted =
      co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
  net::timed_socket socket(std::move(accepted), sweeper);
  std::string request;
  constexpr std::size_t read_size = 4096;
  co_await socket.read_more(request, read_size, steady::now() + 1s);
  co_await stand_ins::send_endless_response(socket, what, "", steady::now() + 10s);
}

struct fetch_result {
  std::optional<http::response> response;
  std::chrono::milliseconds took{};
  bool done = false;
};

asio::awaitable<void> fetch(http::client& client, http::endpoint where, fetch_result& into) {
  const auto began = steady::now();
  http::request request;
  request.method = "POST";
  request.target = "/x";
  http::fetch_failure why;
  into.response = co_await client.fetch(where, request, part_limit, why);
  into.took = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began);
  into.done = true;
}

/// Whether a complete response precedes the part that does not end.
bool begins_with_response(endless_part part) {
  return part == endless_part::after_response || part == endless_part::other_responses ||
         part == endless_part::interim_responses;
}

}  // namespace

TEST_CASE("a fetch of a response without an end fails in time and takes little memory") {
  for (const int status : {200, 500}) {
    for (const bool is_quick : {true, false}) {
      for (const endless_part part : stand_ins::all_endless_parts) {
        INFO(name_of(part) << (is_quick ? ", quick, " : ", slow, ") << status);
        const memory_growth growth;
        asio::io_context context;
        net::deadline_sweeper sweeper(context);
        tcp::acceptor acceptor(context, {asio::ip::make_address(loopback), 0});
        asio::co_spawn(context, serve_one(acceptor, sweeper, {part, is_quick, status}),
                       asio::detached);
        http::client client(max_response_bytes);
        fetch_result result;
        asio::co_spawn(context, fetch(client, {loopback, acceptor.local_endpoint().port()}, result),
                       asio::detached);
        const auto until = steady::now() + 5s;
        while (!result.done && steady::now() < until) {
          context.run_one_for(10ms);
        }
        CHECK(result.done);
        CHECK(result.took <= total_limit);
        if (!begins_with_response(part)) {
          CHECK_FALSE(result.response);
        }
        CHECK(growth.peak_kb() < max_growth_kb);
      }
    }
  }
}
