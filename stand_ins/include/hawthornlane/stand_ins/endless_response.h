// Responses without an end, for stand-ins of servers in trouble.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::stand_ins {

/// The element of a response that does not end.
enum class endless_part : std::uint8_t {
  not_http,
  empty_lines,
  version,
  status,
  reason,
  header_name,
  header_value,
  header_lines,
  folded_header,
  interim_responses,
  other_responses,
  chunk_size,
  chunk_extension,
  extensions_of_small_chunks,
  small_chunks,
  chunk_data,
  trailer_value,
  trailer_lines,
  huge_length,
  body_with_length,
  body_until_close,
  event,
  events,
  event_comments,
  event_line_ends,
  after_response,
};

inline constexpr std::size_t endless_part_count =
    static_cast<std::size_t>(endless_part::after_response) + 1;

inline constexpr auto all_endless_parts = [] {
  std::array<endless_part, endless_part_count> parts{};
  for (std::size_t number = 0; number < parts.size(); ++number) {
    parts.at(number) = static_cast<endless_part>(number);
  }
  return parts;
}();

std::string_view name_of(endless_part part);

/// A response without an end.
struct endless_response {
  endless_part part = endless_part::not_http;
  /// Sent as fast as the peer reads; otherwise some bytes every 20 ms.
  bool is_quick = true;
  /// Of a response whose head is complete.
  int status = 200;
};

/// Sends the response until the peer closes the connection or `until`. `headers`: those of a
/// complete response to the request, a CR LF after each.
boost::asio::awaitable<void> send_endless_response(net::timed_socket& socket, endless_response what,
                                                   std::string headers, net::steady_time until);

}  // namespace hawthornlane::stand_ins
