// The common main function of the stand-in programs.
#pragma once

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "hawthornlane/http/message.h"

namespace hawthornlane::stand_ins {

/// Serves the stand-in that `make` returns, at the address given as the first argument or at
/// a port that the kernel chooses. Prints the address and runs until SIGINT or SIGTERM.
template <class Make>
int run_stand_in(int argc, char** argv, Make make) {
  constexpr int exit_usage = 2;
  const std::string text = argc > 1 ? argv[1] : "127.0.0.1:0";
  const auto listen_at = http::endpoint_from_string(text);
  if (!listen_at) {
    fmt::print(stderr, "'{}' is not an address (IP:port)\n", text);
    return exit_usage;
  }
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const auto& /*error*/, int /*signal*/) { context.stop(); });
  const auto served = make(context, *listen_at);
  fmt::print("{}\n", http::to_string(served->where()));
  std::fflush(stdout);
  context.run();
  return 0;
}

}  // namespace hawthornlane::stand_ins
