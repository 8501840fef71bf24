// Runs the engine stand-in on the address given as its argument, or on a port that
// the kernel chooses; prints the address and serves until it is ended.
#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "hawthornlane/stand_ins/engine.h"

int main(int argc, char** argv) {
  const std::string text = argc > 1 ? argv[1] : "127.0.0.1:0";
  const auto listen_at = hawthornlane::http::endpoint_from_string(text);
  if (!listen_at) {
    fmt::print(stderr, "'{}' is not an address (IP:port)\n", text);
    return 2;
  }
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const auto&, int) { context.stop(); });
  const hawthornlane::stand_ins::engine served(context, *listen_at,
                                               hawthornlane::stand_ins::engine_profile{});
  fmt::print("{}\n", hawthornlane::http::to_string(served.where()));
  std::fflush(stdout);
  context.run();
  return 0;
}
