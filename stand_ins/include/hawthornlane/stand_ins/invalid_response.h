// Responses that HTTP does not allow, and unusual ones that it allows, for stand-ins of servers in
// trouble.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::stand_ins {

/// How the end of a body is marked.
enum class response_framing : std::uint8_t { length, chunks, connection_end };

inline constexpr response_framing all_response_framings[] = {
    response_framing::length, response_framing::chunks, response_framing::connection_end};

std::string_view name_of(response_framing framing);

/// A response with one unusual element.
struct unusual_response {
  std::string_view name;
  /// What comes first, without its last CR LF.
  std::string_view begin = "HTTP/1.1 200 OK";
  /// Header lines, with their CR LF.
  std::string_view header;
  /// Lines behind the last chunk, with their CR LF; only in chunks.
  std::string_view trailer;
  /// The header specifies the framing, so nothing else does.
  bool is_framed_by_header = false;
  /// The body is a complete response.
  bool hides_response = false;
};

/// Responses that HTTP does not allow, or whose body cannot be read.
std::span<const unusual_response> invalid_responses();

/// Responses that HTTP allows and that are passed on.
std::span<const unusual_response> allowed_responses();

/// Whether the response exists with this framing.
bool has_framing(const unusual_response& what, response_framing framing);

/// The bytes of the response. `headers`: those that the receiver expects, a CR LF after each.
std::string bytes_of(const unusual_response& what, response_framing framing,
                     const std::string& headers, const std::string& body);

/// What arrives by itself of a response.
enum class response_pieces : std::uint8_t { whole, lines, bytes };

/// The bytes of a response, and how they are sent.
struct raw_response {
  std::string bytes;
  response_pieces pieces = response_pieces::whole;
  /// The sender closes the connection behind it.
  bool closes = true;
};

/// Sends the response, and leaves the connection open.
boost::asio::awaitable<void> send_raw_response(net::timed_socket& socket, raw_response what,
                                               net::steady_time until);

}  // namespace hawthornlane::stand_ins
