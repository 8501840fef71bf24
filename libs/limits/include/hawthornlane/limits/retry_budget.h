// A bound on extra load by retries.
#pragma once

#include <algorithm>

namespace hawthornlane {

/// Allows at most a tenth more calls than arrive; a burst of failures cannot
/// multiply the load that caused it.
class retry_budget {
public:
  void on_call() {
    constexpr double share = 0.1;
    constexpr double most = 20;
    this->tokens = std::min(most, this->tokens + share);
  }
  /// True when a retry may be made; it is then spent.
  bool try_spend() {
    if (this->tokens < 1) {
      return false;
    }
    this->tokens -= 1;
    return true;
  }

private:
  double tokens = 3;
};

}  // namespace hawthornlane
