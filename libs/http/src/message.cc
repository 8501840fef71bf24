// HTTP requests and responses as value types.
#include "hawthornlane/http/message.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>

#include "hawthornlane/http/message_grammar.h"

namespace hawthornlane::http {
namespace {

std::optional<std::string> find_in(const std::vector<header>& headers, std::string_view name) {
  for (const header& item : headers) {
    if (same_header_name(item.name, name)) {
      return item.value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> request::find_header(std::string_view name) const {
  return find_in(this->headers, name);
}

std::optional<std::string> request::find_query(const std::string& name) const {
  const auto found = this->query.find(name);
  if (found == this->query.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::string> response::find_header(std::string_view name) const {
  return find_in(this->headers, name);
}

bool response::is_success() const {
  constexpr int first_success = 200;
  constexpr int first_redirection = 300;
  return this->status >= first_success && this->status < first_redirection;
}

std::optional<endpoint> endpoint_from_string(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  endpoint where;
  where.address = std::string(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), where.port);
  if (read.ec != std::errc{} || read.ptr != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return where;
}

std::string to_string(const endpoint& where) {
  return where.address + ":" + std::to_string(where.port);
}

std::string url_encode(std::string_view text) {
  return boost::urls::encode(boost::urls::string_view(text.data(), text.size()),
                             boost::urls::unreserved_chars);
}

}  // namespace hawthornlane::http
