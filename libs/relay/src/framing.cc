// Strict validation of HTTP request heads.
#include "hawthornlane/relay/framing.h"

#include <algorithm>
#include <array>

#include "hawthornlane/http/message_grammar.h"

namespace hawthornlane::relay {
using http::has_control_character;
using http::is_token;
using http::trimmed;

namespace {

constexpr std::array<std::string_view, 8> connection_headers{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

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

std::optional<std::string> find_framing_error(std::string_view head) {
  http::framing_headers framing(http::repeated_length::refused);
  int hosts = 0;
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
    if (first) {
      auto error = find_request_line_error(line);
      if (error) {
        return error;
      }
      first = false;
      continue;
    }
    std::string_view invalid;
    const auto field = http::parse_field_line(line, invalid);
    if (const auto error = field ? framing.add(*field) : invalid) {
      return std::string(*error);
    }
    hosts += same_header_name(field->name, "host") ? 1 : 0;
  }
  if (const auto conflict = framing.find_conflict()) {
    return std::string(*conflict);
  }
  if (hosts != 1) {
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
