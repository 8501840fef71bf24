// Checks the framing of a body in chunks, and its trailer, by the grammar of HTTP.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "hawthornlane/http/message_grammar.h"

namespace hawthornlane::http {

/// Checks a body as its bytes arrive, line by line.
class chunk_checker {
public:
  /// Examines the next bytes, from the first chunk on; returns why they are invalid. Bytes behind
  /// the body are not examined.
  std::optional<std::string_view> add(std::string_view bytes);

  /// Bytes at the end of what has been added that belong to the last chunk and to its trailer, 0
  /// once these are complete. The parser of Boost.Beast must not see them before: an assertion
  /// fails if a last chunk without data arrives in pieces.
  [[nodiscard]] std::size_t incomplete_end() const {
    return this->at == part::trailer_line ? this->end_bytes : 0;
  }

private:
  enum class part : std::uint8_t { size_line, data, data_end, trailer_line, done };

  std::optional<std::string_view> check_line();
  std::optional<std::string_view> check_size_line();
  std::optional<std::string_view> check_trailer_line();

  part at = part::size_line;
  line_collector line;
  /// Bytes of the current chunk that have not arrived.
  std::uint64_t data_left = 0;
  /// Bytes since the begin of the last line before a chunk.
  std::size_t end_bytes = 0;
};

}  // namespace hawthornlane::http
