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
    std::optional<std::string_view> error;
    const std::size_t size = bytes.size();
    const bool is_whole = this->line.add(bytes, error);
    this->end_bytes += size - bytes.size();
    if (is_whole && !error) {
      error = this->check_line();
      this->line.clear();
    }
    if (error) {
      return error;
    }
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
      return this->line.text().empty() ? std::nullopt
                                       : std::optional("a chunk is longer than its length");
    case part::trailer_line:
      return this->check_trailer_line();
    case part::data:
    case part::done:
      break;
  }
  return std::nullopt;
}

std::optional<std::string_view> chunk_checker::check_size_line() {
  const std::string_view text = this->line.text();
  const char* const end = text.data() + text.size();
  constexpr int hexadecimal = 16;
  const auto read = std::from_chars(text.data(), end, this->data_left, hexadecimal);
  const std::string_view extension = trimmed({read.ptr, static_cast<std::size_t>(end - read.ptr)});
  if (read.ec != std::errc() || (!extension.empty() && !extension.starts_with(';'))) {
    return "the line before a chunk is invalid";
  }
  this->at = this->data_left > 0 ? part::data : part::trailer_line;
  return std::nullopt;
}

std::optional<std::string_view> chunk_checker::check_trailer_line() {
  if (this->line.text().empty()) {
    this->at = part::done;
    return std::nullopt;
  }
  std::string_view error;
  const auto field = parse_field_line(this->line.text(), error);
  return field ? std::nullopt : std::optional(error);
}

}  // namespace hawthornlane::http
