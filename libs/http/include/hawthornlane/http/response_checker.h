// Checks the head, the lines before chunks and the trailer of a response by the grammar of HTTP.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "hawthornlane/http/chunk_checker.h"
#include "hawthornlane/http/message_grammar.h"

namespace hawthornlane::http {

/// Checks one response as its bytes arrive, line by line, so that an invalid one is known before
/// it ends.
///
/// Stricter than the grammar where a receiver has to guess what the sender meant: a folded header
/// and a blank before a colon are refused (RFC 9112, 5.1 and 5.2), as is a transfer coding that is
/// not "chunked", since no other one is requested.
class response_checker {
public:
  /// `has_no_body`: the response is to a HEAD request.
  explicit response_checker(bool has_no_body) : is_to_head(has_no_body) {}

  /// Examines the next bytes; returns why they are not part of a valid response. Bytes of a body
  /// that is not in chunks, and those behind the response, are not examined.
  std::optional<std::string_view> add(std::string_view bytes);

  /// Bytes at the end of what has been added that the parser must not see yet.
  [[nodiscard]] std::size_t incomplete_end() const { return this->chunks.incomplete_end(); }

private:
  enum class part : std::uint8_t { status_line, header_line, chunks, rest };

  std::optional<std::string_view> check_line();
  std::optional<std::string_view> check_status_line();
  std::optional<std::string_view> check_header_line();
  std::optional<std::string_view> finish_head();

  bool is_to_head;
  part at = part::status_line;
  line_collector line;
  int status = 0;
  bool is_http_1_0 = false;
  framing_headers framing{repeated_length::accepted};
  chunk_checker chunks;
};

}  // namespace hawthornlane::http
