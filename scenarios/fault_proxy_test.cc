// Tests of the fault proxy's rate limit.
#include "fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "test_caller.h"

using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

/// Time to receive 400 KB from a target, half of them over each of two connections.
std::chrono::duration<double> time_of_bytes(std::uint64_t bytes_per_second) {
  asio::io_context context;
  const tcp::endpoint anywhere(asio::ip::make_address(loopback), 0);
  tcp::acceptor target(context, anywhere);
  fault_proxy proxy(context, {loopback, target.local_endpoint().port()});
  proxy.limit_rate(bytes_per_second);
  const std::string half(200'000, 'x');
  std::vector<std::string> received(2, std::string(half.size(), ' '));
  const auto began = steady::now();
  std::size_t open = received.size();
  for (std::string& into : received) {
    const auto reader = std::make_shared<tcp::socket>(context);
    reader->connect({anywhere.address(), proxy.where().port});
    asio::async_read(*reader, asio::buffer(into), [reader, &open, &context](auto, std::size_t) {
      if (--open == 0) {
        context.stop();
      }
    });
    const auto sender = std::make_shared<tcp::socket>(context);
    target.async_accept(*sender, [sender, &half](auto) {
      asio::async_write(*sender, asio::buffer(half), [sender](auto, std::size_t) {});
    });
  }
  context.run_for(5s);
  CHECK(received == std::vector<std::string>(2, half));
  return steady::now() - began;
}

}  // namespace

TEST_CASE("all connections back from a target share one rate limit") {
  struct row {
    std::uint64_t bytes_per_second;
    std::chrono::duration<double> minimum;
    std::chrono::duration<double> maximum;
  };
  const row rows[] = {{0, 0s, 300ms}, {1'000'000, 400ms, 800ms}, {500'000, 800ms, 1500ms}};
  for (const row& item : rows) {
    INFO(item.bytes_per_second);
    const auto took = time_of_bytes(item.bytes_per_second);
    CHECK(took.count() >= item.minimum.count());
    CHECK(took.count() < item.maximum.count());
  }
}
