// Rules of HTTP/1.1 messages that requests and responses share (RFC 9110 and RFC 9112).
#include "hawthornlane/http/message_grammar.h"

#include <algorithm>
#include <cctype>

namespace hawthornlane::http {

bool same_header_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string_view trimmed(std::string_view text) {
  const auto is_blank = [](char character) { return character == ' ' || character == '\t'; };
  while (!text.empty() && is_blank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_blank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

bool is_token(std::string_view text) {
  constexpr std::string_view special_characters = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char character) {
    return std::isalnum(character) != 0 ||
           special_characters.find(static_cast<char>(character)) != special_characters.npos;
  });
}

bool all_digits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return std::isdigit(character) != 0;
  });
}

bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char character) {
    return (character < 0x20 && character != '\t') || character == 0x7f;
  });
}

bool line_collector::add(std::string_view& bytes, std::optional<std::string_view>& error) {
  const std::size_t end = bytes.find('\n');
  const std::string_view piece = bytes.substr(0, end);
  this->line += piece;
  bytes.remove_prefix(piece.size());
  const bool is_whole = end != std::string_view::npos;
  if (is_whole && !this->line.ends_with('\r')) {
    error = "a line does not end with CR LF";
  } else if (has_control_character(this->text())) {
    error = "a line has control characters";
  }
  if (is_whole) {
    bytes.remove_prefix(1);
  }
  return is_whole;
}

std::string_view line_collector::text() const {
  return std::string_view(this->line).substr(0, this->line.size() - this->line.ends_with('\r'));
}

std::optional<field_line> parse_field_line(std::string_view line, std::string_view& error) {
  if (line.starts_with(' ') || line.starts_with('\t')) {
    error = "a header is folded over several lines";
    return std::nullopt;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    error = "a header line has no valid name";
    return std::nullopt;
  }
  const field_line field{line.substr(0, colon), trimmed(line.substr(colon + 1))};
  if (has_control_character(field.value)) {
    error = "a header value has control characters";
    return std::nullopt;
  }
  return field;
}

std::optional<std::string_view> framing_headers::add(const field_line& field) {
  if (same_header_name(field.name, "content-length")) {
    return this->add_length(field.value);
  }
  if (!same_header_name(field.name, "transfer-encoding")) {
    return std::nullopt;
  }
  ++this->encodings;
  if (!same_header_name(field.value, "chunked")) {
    return "Transfer-Encoding is not exactly chunked";
  }
  return std::nullopt;
}

std::optional<std::string_view> framing_headers::add_length(std::string_view value) {
  ++this->lengths;
  while (true) {
    const std::size_t comma =
        this->repeats == repeated_length::accepted ? value.find(',') : std::string_view::npos;
    const std::string_view number = trimmed(value.substr(0, comma));
    if (!all_digits(number)) {
      return "Content-Length is not a number";
    }
    if (!this->length.empty() && this->length != number) {
      return "there are several Content-Length headers";
    }
    this->length = number;
    if (comma == std::string_view::npos) {
      return std::nullopt;
    }
    value.remove_prefix(comma + 1);
  }
}

std::optional<std::string_view> framing_headers::find_conflict() const {
  if (this->lengths > 1 && this->repeats == repeated_length::refused) {
    return "there are several Content-Length headers";
  }
  if (this->encodings > 1 || (this->encodings == 1 && this->lengths > 0)) {
    return "the body length is specified in more than one way";
  }
  return std::nullopt;
}

bool framing_headers::announces_bytes() const {
  return this->length.find_first_not_of('0') != std::string::npos;
}

}  // namespace hawthornlane::http
