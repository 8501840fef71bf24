// Blocking HTTP requests of the command-line client.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/http/client.h"

namespace hawthornlane::cli {

/// Exit codes, as documented in docs/CLI.md.
enum exit_code : int {
  exit_ok = 0,
  exit_error = 1,
  exit_usage = 2,
  exit_refused = 3,
  exit_unreachable = 4,
  exit_may_have_run = 5,
};

/// Sends requests to the first host that responds.
class connection {
public:
  connection(std::vector<http::endpoint> hosts, std::string credential, std::string who);

  /// Tries the hosts in turn. Returns nothing when none responds; `reason` is then the last error.
  /// A request other than GET is not repeated once it may have reached a host.
  std::optional<http::response> ask(const std::string& method, const std::string& target,
                                    const std::string& body, std::string& reason);
  /// Sends the request to one host and passes the body to `sink` as it arrives.
  std::optional<http::response> stream(const http::endpoint& host, const std::string& method,
                                       const std::string& target, const std::string& body,
                                       const http::body_sink& sink, http::fetch_failure& why);
  std::optional<http::response> ask_one(const http::endpoint& host, const std::string& method,
                                        const std::string& target, const std::string& body,
                                        http::fetch_failure& why);

  [[nodiscard]] const std::vector<http::endpoint>& hosts() const { return this->endpoints; }

private:
  std::vector<http::endpoint> endpoints;
  std::string credential;
  std::string who;
};

}  // namespace hawthornlane::cli
