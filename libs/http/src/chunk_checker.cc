// Checks the framing of a body in chunks, and its trailer, by the grammar of HTTP.
#include "hawthornlane/http/chunk_checker.h"

#include <algorithm>
#include <charconv>

#include "hawthornlane/http/message_grammar.h"

namespace hawthornlane::http {

std::optional<std::string_view> chunk_checker::add(std::string_view bytes) {
  while (!bytes.empty() && this->at != part::done) {
    if (this->at == part::data) {
      const auto taken = std::min<std::uint64_t>(this->data_left, bytes.size());
      bytes.remove_prefix(taken);
      this->data_left -= taken;
      this->at = this->data_left == 0 ? part::data_end : part::data;
      continue;
    }
    const std::size_t end = bytes.find('\n');
    const std::string_view piece = bytes.substr(0, end);
    this->line += piece;
    this->end_bytes += piece.size();
    if (end == std::string_view::npos) {
      const std::string_view begin =
          std::string_view(this->line).substr(0, this->line.size() - this->line.ends_with('\r'));
      return has_control_character(begin) ? std::optional("a line has control characters")
                                          : std::nullopt;
    }
    ++this->end_bytes;
    bytes.remove_prefix(end + 1);
    if (!this->line.ends_with('\r')) {
      return "a line does not end with CR LF";
    }
    this->line.pop_back();
    const auto error = this->check_line();
    if (error) {
      return error;
    }
    this->line.clear();
  }
  return std::nullopt;
}

std::optional<std::string_view> chunk_checker::check_line() {
  switch (this->at) {
    case part::size_line:
      return this->check_size_line();
    case part::data_end:
      this->at = part::size_line;
      this->end_bytes = 0;
      return this->line.empty() ? std::nullopt : std::optional("a chunk is longer than its length");
    case part::trailer_line:
      return this->check_trailer_line();
    case part::data:
    case part::done:
      break;
  }
  return std::nullopt;
}

std::optional<std::string_view> chunk_checker::check_size_line() {
  const char* const end = this->line.data() + this->line.size();
  constexpr int hexadecimal = 16;
  const auto read = std::from_chars(this->line.data(), end, this->data_left, hexadecimal);
  const std::string_view extension = trimmed({read.ptr, static_cast<std::size_t>(end - read.ptr)});
  if (read.ec != std::errc() || (!extension.empty() && !extension.starts_with(';')) ||
      has_control_character(extension)) {
    return "the line before a chunk is invalid";
  }
  this->at = this->data_left > 0 ? part::data : part::trailer_line;
  return std::nullopt;
}

std::optional<std::string_view> chunk_checker::check_trailer_line() {
  if (this->line.empty()) {
    this->at = part::done;
    return std::nullopt;
  }
  std::string_view error;
  const auto field = parse_field_line(this->line, error);
  return field ? std::nullopt : std::optional(error);
}

}  // namespace hawthornlane::http
