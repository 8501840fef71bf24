// Strict validation of HTTP request heads, and removal of hop-by-hop headers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/http/message_grammar.h"

namespace hawthornlane::relay {

/// Checks whether the head of a request is safe to forward. Returns the reason when it is not:
/// each such fault can make two parsers disagree on where the request ends (request smuggling).
/// Returns nothing when the head is valid.
std::optional<std::string> find_framing_error(std::string_view head);

using http::same_header_name;

/// Returns the headers without hop-by-hop headers.
std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers);

}  // namespace hawthornlane::relay
