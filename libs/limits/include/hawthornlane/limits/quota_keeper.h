// One keeper's part of the client accounts' quotas. No I/O, clock or randomness.
//
// Each quota is divided evenly between a few keepers, whom the deployment agrees on; each gives
// out its part from a token bucket of its own, and a front host that one keeper refuses asks the
// next. So no call is counted twice and none is forgotten, whichever hosts are cut off from which,
// and a keeper that is lost takes its part of the quota with it and no more. A call is counted
// when it is granted, which is between its sending and its arrival at a server: whatever is sent
// and arrives within some span was granted within that span.
#pragma once

#include <unordered_map>

#include "hawthornlane/limits/quota_messages.h"

namespace hawthornlane {

/// How far beyond a quota the operator lets its calls go: in no span of `window` may there be more
/// than (calls_per_second * window + burst) * (1 + excess) + slack.
struct quota_rules {
  duration window = std::chrono::seconds(1);
  double excess = 0;
  double slack = 0;
};

/// Invariant: in any span of t seconds the keeper grants an account at most its part of
/// burst + tolerance + t * calls_per_second calls, or 1 + part * t * calls_per_second where that
/// is more, also when its process has started again in between.
class quota_keeper {
public:
  quota_keeper() = default;
  explicit quota_keeper(quota_rules with) : rules(with) {}

  /// From now on this host keeps so much of each quota: 1 / number of keepers, or 0. One that
  /// begins to keep them does so with empty buckets, since it does not know what was granted
  /// before.
  void keep(double part, timestamp now);
  quota_answer ask(const quota_question& question, timestamp now);
  /// Forgets accounts whose buckets are full: they would be full too if they were new.
  void forget_idle(timestamp now);
  /// Accounts in use.
  [[nodiscard]] std::size_t accounts() const { return this->buckets.size(); }

private:
  struct bucket {
    account_limit limit;
    limit_version version;
    /// Calls that may be granted at `at`.
    double level = 0;
    timestamp at{};
  };

  [[nodiscard]] double capacity_of(const account_limit& limit) const;
  [[nodiscard]] double rate_of(const account_limit& limit) const;
  [[nodiscard]] double level_at(const bucket& from, timestamp now) const;
  bucket& bucket_of(const quota_question& question, timestamp now);

  quota_rules rules;
  /// 0: keeps none.
  double part = 0;
  timestamp began{};
  std::unordered_map<client_account, bucket> buckets;
};

}  // namespace hawthornlane
