// Strict validation of HTTP request heads.
#include "hawthornlane/relay/framing.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace hawthornlane::relay {
namespace {

constexpr std::array<std::string_view, 8> connection_headers{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

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

bool is_token(std::string_view name) {
  constexpr std::string_view special_characters = "!#$%&'*+-.^_`|~";
  return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char character) {
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

/// Counts of the headers that decide the body's length, and of Host headers.
struct header_counts {
  int lengths = 0;
  int encodings = 0;
  int hosts = 0;
};

std::optional<std::string> find_header_error(std::string_view line, header_counts& seen) {
  if (line.front() == ' ' || line.front() == '\t') {
    return "a header is folded over several lines";
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    return "a header line has no valid name";
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trimmed(line.substr(colon + 1));
  if (has_control_character(value)) {
    return "a header value has control characters";
  }
  if (same_header_name(name, "content-length")) {
    ++seen.lengths;
    if (!all_digits(value)) {
      return "Content-Length is not a number";
    }
  } else if (same_header_name(name, "transfer-encoding")) {
    ++seen.encodings;
    if (!same_header_name(value, "chunked")) {
      return "Transfer-Encoding is not exactly chunked";
    }
  } else if (same_header_name(name, "host")) {
    ++seen.hosts;
  }
  return std::nullopt;
}

std::optional<std::string> find_request_line_error(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last || !is_token(line.substr(0, first))) {
    return "the request line does not have the form METHOD TARGET VERSION";
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (target.empty() || target.front() != '/' || target.find(' ') != std::string_view::npos ||
      has_control_character(target)) {
    return "the request target is not a path";
  }
  const std::string_view version = line.substr(last + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return "the HTTP version is neither HTTP/1.1 nor HTTP/1.0";
  }
  return std::nullopt;
}

}  // namespace

bool same_header_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::optional<std::string> find_framing_error(std::string_view head) {
  header_counts seen;
  bool first = true;
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    if (end == std::string_view::npos) {
      return "a line does not end with CR LF";
    }
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + 2);
    if (line.find('\n') != std::string_view::npos || line.find('\r') != std::string_view::npos) {
      return "a line does not end with CR LF";
    }
    if (line.empty()) {
      break;
    }
    std::optional<std::string> error =
        first ? find_request_line_error(line) : find_header_error(line, seen);
    if (error) {
      return error;
    }
    first = false;
  }
  if (seen.lengths > 1) {
    return "there are several Content-Length headers";
  }
  if (seen.encodings > 1 || (seen.encodings == 1 && seen.lengths == 1)) {
    return "the body length is specified in more than one way";
  }
  if (seen.hosts != 1) {
    return "there is not exactly one Host header";
  }
  return std::nullopt;
}

std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers) {
  std::vector<std::string_view> connection_tokens;
  for (const http::header& item : headers) {
    if (!same_header_name(item.name, "connection")) {
      continue;
    }
    std::string_view rest = item.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      connection_tokens.push_back(trimmed(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  std::vector<http::header> kept;
  for (const http::header& item : headers) {
    const auto is_named = [&item](std::string_view name) {
      return same_header_name(item.name, name);
    };
    if (std::any_of(connection_headers.begin(), connection_headers.end(), is_named) ||
        std::any_of(connection_tokens.begin(), connection_tokens.end(), is_named)) {
      continue;
    }
    kept.push_back(item);
  }
  return kept;
}

}  // namespace hawthornlane::relay
