// Max-min fair division of a window.
#include "hawthornlane/limits/credit_split.h"

#include <algorithm>

namespace hawthornlane {

std::vector<credit_grant> split_window(std::int64_t window,
                                       const std::vector<credit_demand>& demands) {
  std::vector<credit_grant> grants;
  std::int64_t remaining = window;
  grants.reserve(demands.size());
  for (const credit_demand& demand : demands) {
    grants.push_back({demand.host, 0});
  }
  // Raise every host with unmet demand by an equal step until nothing is left.
  while (remaining > 0) {
    std::vector<std::size_t> unsatisfied;
    for (std::size_t at = 0; at < demands.size(); ++at) {
      if (grants[at].credits < demands[at].in_flight + demands[at].waiting) {
        unsatisfied.push_back(at);
      }
    }
    if (unsatisfied.empty()) {
      break;
    }
    const auto count = static_cast<std::int64_t>(unsatisfied.size());
    const std::int64_t step = std::max<std::int64_t>(1, remaining / count);
    for (const std::size_t at : unsatisfied) {
      const std::int64_t unmet = demands[at].in_flight + demands[at].waiting - grants[at].credits;
      const std::int64_t granted = std::min({step, unmet, remaining});
      grants[at].credits += granted;
      remaining -= granted;
    }
  }
  // Spread what is left, so that a new call can be sent without a request for credits.
  for (std::size_t at = 0; remaining > 0 && !grants.empty(); at = (at + 1) % grants.size()) {
    ++grants[at].credits;
    --remaining;
  }
  return grants;
}

}  // namespace hawthornlane
