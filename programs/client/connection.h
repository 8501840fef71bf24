// One-shot HTTP for the command line.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/http/client.h"

namespace hawthornlane::cli {

/// Exit codes; the table is in docs/CLI.md.
enum exit_code : int {
  exit_good = 0,
  exit_fault = 1,
  exit_usage = 2,
  exit_refused = 3,
  exit_unreachable = 4,
  exit_may_have_run = 5,
};

/// Tries hosts in turn until one answers.
class connection {
public:
  connection(std::vector<http::endpoint> hosts, std::string credential, std::string who);

  /// Nothing when no host answered; the last reason is in `reason`.
  std::optional<http::response> ask(const std::string& method, const std::string& target,
                                    const std::string& body, std::string& reason);
  /// The same at one host only, the body passed on as it arrives.
  std::optional<http::response> stream(const http::endpoint& host, const std::string& method,
                                       const std::string& target, const std::string& body,
                                       const http::body_sink& sink, http::fetch_failure& why);
  std::optional<http::response> ask_one(const http::endpoint& host, const std::string& method,
                                        const std::string& target, const std::string& body,
                                        http::fetch_failure& why);

  [[nodiscard]] const std::vector<http::endpoint>& hosts() const { return this->known; }

private:
  std::vector<http::endpoint> known;
  std::string credential;
  std::string who;
};

}  // namespace hawthornlane::cli
