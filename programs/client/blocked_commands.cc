// Commands for requests that are blocked because servers have crashed under them.
#include <fmt/format.h>

#include "commands.h"

namespace hawthornlane::cli {
namespace {

constexpr const char* blocked_path = "/blocked-requests";
constexpr int not_found = 404;
constexpr int first_error_status = 400;

}  // namespace

int list_blocked(connection& hosts) {
  std::string reason;
  const auto answer = hosts.ask("GET", blocked_path, "", reason);
  if (!answer) {
    fmt::print(stderr, "no host responds: {}\n", reason);
    return exit_unreachable;
  }
  if (answer->status >= first_error_status) {
    fmt::print(stderr, "status {}; --hosts takes the metrics addresses of front hosts\n",
               answer->status);
    return exit_refused;
  }
  fmt::print("{}", answer->body.empty() ? "(none)\n" : answer->body);
  return exit_ok;
}

int unblock(connection& hosts, const std::string& content) {
  std::string reason;
  const auto answer = hosts.ask("DELETE", fmt::format("{}/{}", blocked_path, content), "", reason);
  if (!answer) {
    fmt::print(stderr, "no host responds: {}\n", reason);
    return exit_unreachable;
  }
  if (answer->status == not_found) {
    fmt::print(stderr, "no request of that content is suspected or blocked\n");
    return exit_refused;
  }
  return answer->status < first_error_status ? exit_ok : exit_refused;
}

}  // namespace hawthornlane::cli
