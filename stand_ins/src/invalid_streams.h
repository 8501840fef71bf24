// What a stand-in for a backend server sends after a valid event to make its stream invalid.
#pragma once

#include <fmt/format.h>

#include <string>

#include "hawthornlane/stand_ins/scripted_backend.h"

namespace hawthornlane::stand_ins {

/// The bytes on the connection that follow event number `number`, which is `event`; empty for a
/// behavior that sends valid streams.
inline std::string invalid_bytes_after(backend_behavior behavior, int number,
                                       const std::string& event) {
  constexpr std::size_t oversized_bytes = std::size_t{300} * 1024;
  constexpr int too_many = 1100;
  std::string data;
  switch (behavior) {
    case backend_behavior::repeat_event:
    case backend_behavior::send_event_twice:
      data = event;
      break;
    case backend_behavior::send_oversized_event:
      data = "data: " + std::string(oversized_bytes, 'a');
      break;
    case backend_behavior::send_too_many_events:
      for (int more = number + 1; more <= number + too_many; ++more) {
        data += fmt::format("id: {}\ndata: a\n\n", more);
      }
      break;
    case backend_behavior::send_no_chunk:
      return "this is no chunk\r\n\r\n";
    default:
      return "";
  }
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

}  // namespace hawthornlane::stand_ins
