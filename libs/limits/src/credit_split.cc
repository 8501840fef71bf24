// Max-min fair division of a window.
#include "hawthornlane/limits/credit_split.h"

#include <algorithm>

namespace hawthornlane {

std::vector<credit_grant> split_window(std::int64_t window,
                                       const std::vector<credit_demand>& demands) {
  std::vector<credit_grant> grants;
  std::int64_t left = window;
  grants.reserve(demands.size());
  for (const credit_demand& demand : demands) {
    grants.push_back({demand.host, 0});
  }
  // Raise everybody who still wants more by an equal step until none is left.
  while (left > 0) {
    std::vector<std::size_t> wanting;
    for (std::size_t at = 0; at < demands.size(); ++at) {
      if (grants[at].credits < demands[at].inside + demands[at].waiting) {
        wanting.push_back(at);
      }
    }
    if (wanting.empty()) {
      break;
    }
    const auto count = static_cast<std::int64_t>(wanting.size());
    const std::int64_t step = std::max<std::int64_t>(1, left / count);
    for (const std::size_t at : wanting) {
      const std::int64_t wants = demands[at].inside + demands[at].waiting - grants[at].credits;
      const std::int64_t given = std::min({step, wants, left});
      grants[at].credits += given;
      left -= given;
    }
  }
  // What no one wants now is spread, so that a new call need not ask first.
  for (std::size_t at = 0; left > 0 && !grants.empty(); at = (at + 1) % grants.size()) {
    ++grants[at].credits;
    --left;
  }
  return grants;
}

}  // namespace hawthornlane
