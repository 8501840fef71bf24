// Splits a stream of server-sent events into complete events.
#include "hawthornlane/relay/event_splitter.h"

#include <charconv>

namespace hawthornlane::relay {
namespace {

/// Length of the first event in `bytes` including the empty line; nothing while the
/// event is incomplete. Lines end with LF or CR LF. `line_start`: begin of a line before which no
/// event ends; then of the last line that was seen.
std::optional<std::size_t> event_length(std::string_view bytes, std::size_t& line_start) {
  while (true) {
    const std::size_t line_end = bytes.find('\n', line_start);
    if (line_end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view line = bytes.substr(line_start, line_end - line_start);
    if (line_start > 0 && (line.empty() || line == "\r")) {
      return line_end + 1;
    }
    line_start = line_end + 1;
  }
}

std::string_view field_value(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

stream_event read_event(std::string_view bytes) {
  stream_event event;
  event.bytes = std::string(bytes);
  bool has_data = false;
  while (!bytes.empty()) {
    const std::size_t line_end = bytes.find('\n');
    std::string_view line = bytes.substr(0, line_end);
    bytes.remove_prefix(line_end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = field_value(line, colon);
    if (name == "id") {
      std::uint64_t id = 0;
      const auto read = std::from_chars(value.data(), value.data() + value.size(), id);
      if (read.ec == std::errc{}) {
        event.id = id;
      }
    } else if (name == "data") {
      event.data += has_data ? "\n" : "";
      event.data += value;
      has_data = true;
    }
  }
  return event;
}

}  // namespace

std::vector<stream_event> event_splitter::add(std::string_view bytes) {
  this->buffer += bytes;
  std::vector<stream_event> whole;
  std::size_t taken = 0;
  while (const auto length =
             event_length(std::string_view(this->buffer).substr(taken), this->last_line)) {
    whole.push_back(read_event(std::string_view(this->buffer).substr(taken, *length)));
    taken += *length;
    this->last_line = 0;
  }
  this->buffer.erase(0, taken);
  return whole;
}

}  // namespace hawthornlane::relay
