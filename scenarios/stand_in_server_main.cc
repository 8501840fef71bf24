// hawthornlane-stand-in-server: the process of a backend server in a fault soak. It takes the
// connections of the listening socket that it inherits and forwards them to the address given as
// its argument, where the soak responds. When it is killed, the kernel ends its connections and its
// port.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>

#include "child_process.h"
#include "fault_proxy.h"
#include "hawthornlane/http/message.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;

int main(int argc, char** argv) {
  constexpr int exit_usage = 2;
  const auto target = argc == 2 ? http::endpoint_from_string(argv[1]) : std::nullopt;
  if (!target) {
    fmt::print(stderr, "usage: hawthornlane-stand-in-server IP:PORT\n");
    return exit_usage;
  }
  boost::asio::io_context context;
  const fault_proxy forwarding(context, child_process::inherited_socket, *target);
  context.run();
  return 0;
}
