// What a front host's metrics address serves on blocked requests.
#pragma once

#include <optional>

#include "hawthornlane/front/crash_tracker.h"
#include "hawthornlane/http/message.h"

namespace hawthornlane::front {

/// `GET /blocked-requests` lists the suspected and blocked requests; `DELETE
/// /blocked-requests/CONTENT` clears one, on all hosts. Nothing for any other path.
std::optional<http::response> blocked_request_page(const http::request& ask,
                                                   crash_tracker& crashes);

}  // namespace hawthornlane::front
