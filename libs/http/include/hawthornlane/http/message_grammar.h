// Rules of HTTP/1.1 messages that requests and responses share (RFC 9110 and RFC 9112).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlane::http {

/// Compares two names, letter case ignored.
bool same_header_name(std::string_view a, std::string_view b);

/// Returns the text without blanks and tabs at both ends.
std::string_view trimmed(std::string_view text);

bool is_token(std::string_view text);
bool all_digits(std::string_view text);
/// A tab is no control character here.
bool has_control_character(std::string_view text);

/// Collects the bytes of one line.
class line_collector {
public:
  /// Takes bytes off the begin of `bytes`, up to the end of the line. Returns true once the line is
  /// whole; sets `error` if it does not end with CR LF, or has control characters as far as it has
  /// arrived.
  bool add(std::string_view& bytes, std::optional<std::string_view>& error);
  /// The line without its CR LF, as far as it has arrived.
  [[nodiscard]] std::string_view text() const;
  /// Begins the next line.
  void clear() { this->line.clear(); }

private:
  std::string line;
};

/// A header or trailer line. The views refer to the line.
struct field_line {
  std::string_view name;
  std::string_view value;
};

/// Splits a line that has no CR LF. Returns nothing, with `error` set, if it is invalid.
std::optional<field_line> parse_field_line(std::string_view line, std::string_view& error);

/// Whether a message may specify the same length several times.
enum class repeated_length : std::uint8_t { refused, accepted };

/// The headers of one message that specify where its body ends.
class framing_headers {
public:
  explicit framing_headers(repeated_length may_repeat) : repeats(may_repeat) {}

  /// Adds a header of any name; returns why it is invalid.
  std::optional<std::string_view> add(const field_line& field);
  /// Returns why the headers contradict each other.
  [[nodiscard]] std::optional<std::string_view> find_conflict() const;
  [[nodiscard]] bool is_chunked() const { return this->encodings > 0; }
  /// There is a length other than zero.
  [[nodiscard]] bool announces_bytes() const;

private:
  std::optional<std::string_view> add_length(std::string_view value);

  repeated_length repeats;
  int lengths = 0;
  int encodings = 0;
  std::string length;
};

}  // namespace hawthornlane::http
