// Splits a stream of server-sent events into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane::relay {

/// One complete event.
struct stream_event {
  /// As received, including the terminating empty line.
  std::string bytes;
  std::optional<std::uint64_t> id;
  /// The `data:` lines, joined by line feeds.
  std::string data;
};

/// Buffers bytes and returns events once they are complete, so that no partial event
/// reaches the caller when a server stops in the middle of one.
class event_splitter {
public:
  std::vector<stream_event> add(std::string_view bytes);
  /// True when no partial event is buffered, so the stream may end here.
  [[nodiscard]] bool at_event_boundary() const { return this->buffer.empty(); }
  /// Size of the partial event that is buffered.
  [[nodiscard]] std::size_t pending_bytes() const { return this->buffer.size(); }

private:
  std::string buffer;
  /// Begin of the last line in `buffer`; no event ends before it.
  std::size_t last_line = 0;
};

}  // namespace hawthornlane::relay
