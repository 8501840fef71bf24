// The process of a backend server in a fault soak.
#include "server_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "hawthornlane/http/listening.h"

namespace hawthornlane::scenarios {

server_process::server_process(const std::filesystem::path& program, const http::endpoint& target,
                               const std::string& output_file) {
  // The socket listens before the process starts, so that no connection is refused meanwhile.
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor listener(context);
  http::listen_on(listener, {target.address, 0});
  const auto at = listener.local_endpoint();
  this->address = {at.address().to_string(), at.port()};
  const std::vector<std::string> command{program.string(), http::to_string(target)};
  this->process = std::make_unique<child_process>(command, output_file, listener.native_handle());
}

}  // namespace hawthornlane::scenarios
