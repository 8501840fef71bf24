// HTTP requests and responses as value types.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane::http {

/// One header line.
struct header {
  std::string name;
  std::string value;
};

/// A request with its whole body.
struct request {
  std::string method = "GET";
  /// Path and query as sent, e.g. "/v1/addresses?service=chat".
  std::string target = "/";
  /// The decoded path without the query.
  std::string path;
  std::map<std::string, std::string> query;
  std::vector<header> headers;
  std::string body;

  /// The value of the first header of that name, letter case ignored.
  [[nodiscard]] std::optional<std::string> find_header(std::string_view name) const;
  /// The query parameter, or nothing.
  [[nodiscard]] std::optional<std::string> find_query(const std::string& name) const;
};

/// A response with its whole body.
struct response {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<header> headers;
  std::string body;

  [[nodiscard]] std::optional<std::string> find_header(std::string_view name) const;
  /// The status is 2xx.
  [[nodiscard]] bool is_success() const;
};

/// Address on which a server listens.
struct endpoint {
  /// An IP address; host names are not resolved.
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "IP:port", such as "127.0.0.1:8080". The address part is not checked here. Returns
/// nothing when the text has another form.
std::optional<endpoint> endpoint_from_string(std::string_view text);
std::string to_string(const endpoint& where);

/// Percent-encodes one query value or path segment.
std::string url_encode(std::string_view text);

}  // namespace hawthornlane::http
