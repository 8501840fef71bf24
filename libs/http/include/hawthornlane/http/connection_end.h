// What the end of a connection proves. All code that reads from connections uses it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace hawthornlane::http {

/// Whether the peer has reset the connection, or it was given up after a timeout, or it is closed
/// here. Only for a socket whose sending side has not been shut down: the kernel forgets how a
/// connection ended that both sides have ended.
[[nodiscard]] bool is_reset(boost::asio::ip::tcp::socket& socket);

/// Returns the error of a read that returned `returned`: `eof` only if the peer has ended the
/// connection in order. The kernel reports a reset once, to whichever operation comes first, such
/// as a write or a peek; reads behind it return the end of the connection, which here becomes
/// `connection_reset`. The socket has to be one that `is_reset` accepts.
[[nodiscard]] boost::system::error_code read_error(boost::asio::ip::tcp::socket& socket,
                                                   boost::system::error_code returned);

}  // namespace hawthornlane::http
