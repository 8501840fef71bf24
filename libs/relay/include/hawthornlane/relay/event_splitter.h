// Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane::relay {

/// One whole event.
struct stream_event {
  /// As received, with its empty line.
  std::string bytes;
  std::optional<std::uint64_t> id;
  /// The `data:` lines, joined by line feeds.
  std::string data;
};

/// Takes bytes as they arrive and returns events as they become whole, so that a
/// server that stops in the middle of an event leaves nothing at the caller.
class event_splitter {
public:
  std::vector<stream_event> add(std::string_view bytes);
  /// True when the stream may end here.
  [[nodiscard]] bool at_event_boundary() const { return this->rest.empty(); }

private:
  std::string rest;
};

}  // namespace hawthornlane::relay
