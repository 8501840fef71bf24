// Records the calls granted to an account and checks them against its limits and the operator's
// tolerance.
#pragma once

#include <algorithm>
#include <vector>

#include "quota_faults.h"

namespace hawthornlane::quota_test {

/// Time until every front host knows a change of the limit.
inline constexpr duration limit_propagation = std::chrono::milliseconds(500);
/// Longest time from sending a request to its response.
inline constexpr duration max_round_trip = std::chrono::milliseconds(700);

class grant_history {
public:
  /// A call was granted at that time, and the front host has received the response.
  void record_grant(timestamp at) { this->granted.push_back(at); }
  void record_limit_change(account_limit limit, timestamp at) {
    this->limits.push_back({limit, at});
  }
  [[nodiscard]] std::size_t limit_changes() const { return this->limits.size(); }
  [[nodiscard]] account_limit newest_limit() const { return this->limits.back().limit; }

  /// Calls by which the worst time span exceeds the operator's tolerance; at most 0 if the managers
  /// are correct.
  [[nodiscard]] double worst_excess() {
    std::sort(this->granted.begin(), this->granted.end());
    double worst = -1e9;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->granted.size(); ++last) {
      while (this->granted[last] - this->granted[first] > tolerance.window) {
        ++first;
      }
      const double most = this->allowed(this->granted[first], this->granted[last]);
      worst = std::max(worst, static_cast<double>(last - first + 1) - most);
    }
    return worst;
  }

private:
  struct limit_change {
    account_limit limit;
    timestamp at{};
  };

  /// Calls allowed between two times that are at most `tolerance.window` apart. While a change of
  /// the limit spreads, the hosts may use the rate of one limit and the burst of the other.
  [[nodiscard]] double allowed(timestamp from, timestamp to) const {
    account_limit most;
    for (std::size_t index = 0; index < this->limits.size(); ++index) {
      const bool is_last = index + 1 == this->limits.size();
      const bool ended =
          !is_last && this->limits[index + 1].at + limit_propagation + max_round_trip < from;
      if (ended || this->limits[index].at > to) {
        continue;
      }
      const account_limit& limit = this->limits[index].limit;
      most.calls_per_second = std::max(most.calls_per_second, limit.calls_per_second);
      most.burst = std::max(most.burst, limit.burst);
    }
    const double quota_calls = most.calls_per_second * to_seconds(tolerance.window) + most.burst;
    return quota_calls * (1 + tolerance.excess) + tolerance.slack;
  }

  std::vector<limit_change> limits;
  std::vector<timestamp> granted;
};

}  // namespace hawthornlane::quota_test
