// Strict checks of HTTP heads, and headers that concern one connection only.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/http/message.h"

namespace hawthornlane::relay {

/// Why the head of a request must not be forwarded: each of these can make two
/// readers see the end of the request at different places. Nothing when it may be.
std::optional<std::string> framing_fault(std::string_view head);

/// Length of the head with its empty line; nothing while it is not whole.
std::optional<std::size_t> head_length(std::string_view bytes);

/// True for names equal but for letter case.
bool same_header_name(std::string_view a, std::string_view b);

/// The headers without those that concern one connection only.
std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers);

}  // namespace hawthornlane::relay
