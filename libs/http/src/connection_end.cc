// What the end of a connection proves.
#include "hawthornlane/http/connection_end.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>

namespace hawthornlane::http {
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

bool is_reset(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  // Behind an orderly end by the peer alone, it is TCP_CLOSE_WAIT.
  return failed != 0 || info.tcpi_state == TCP_CLOSE;
}

error_code read_error(tcp::socket& socket, error_code returned) {
  const bool is_end = returned == asio::error::eof;
  return is_end && is_reset(socket) ? error_code(asio::error::connection_reset) : returned;
}

}  // namespace hawthornlane::http
