// What a front host's metrics address serves on blocked requests.
#include "hawthornlane/front/blocked_request_pages.h"

#include <string_view>

namespace hawthornlane::front {
namespace {

constexpr std::string_view list_path = "/blocked-requests";
constexpr std::string_view item_prefix = "/blocked-requests/";

http::response text_response(int status, std::string body) {
  http::response answer;
  answer.status = status;
  answer.content_type = "text/plain";
  answer.body = std::move(body);
  return answer;
}

}  // namespace

std::optional<http::response> blocked_request_page(const http::request& ask,
                                                   crash_tracker& crashes) {
  constexpr int done = 200;
  constexpr int not_found = 404;
  const std::string_view target = ask.target;
  if (ask.method == "GET" && target == list_path) {
    return text_response(done, crashes.describe());
  }
  if (ask.method == "DELETE" && target.starts_with(item_prefix)) {
    const auto request = fingerprint_from(target.substr(item_prefix.size()));
    const bool lifted = request && crashes.lift(*request);
    return text_response(lifted ? done : not_found, "");
  }
  return std::nullopt;
}

}  // namespace hawthornlane::front
