// Limits the extra load caused by retries.
#pragma once

#include <algorithm>

namespace hawthornlane {

/// Allows retries for at most a tenth of the calls, so that a burst of failures cannot multiply the
/// load that caused it.
class retry_budget {
public:
  void on_call() {
    constexpr double share = 0.1;
    constexpr double max_tokens = 20;
    this->tokens = std::min(max_tokens, this->tokens + share);
  }
  /// Takes a token; false when none is left and the call must not be retried.
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
