// One host's share of the client accounts' quotas. No I/O, clock or randomness.
//
// Each quota is divided evenly between a few quota managers, a set of hosts that the deployment
// agrees on. Each manager grants calls from its own token bucket, and a front host that is refused
// by one manager asks the next. So no call is counted twice or left out in any network partition,
// and the loss of a manager costs its share of the quota and no more. A call is counted when it is
// granted, which is between its sending and its arrival at a server: all calls that are sent and
// arrive within a time span were granted within that span.
#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "hawthornlane/limits/quota_messages.h"

namespace hawthornlane {

/// How far the operator lets calls exceed a quota: no time span of length `window` may hold more
/// than (calls_per_second * window + burst) * (1 + excess) + slack calls.
struct quota_tolerance {
  duration window = std::chrono::seconds(1);
  double excess = 0;
  double slack = 0;
};

/// One account's bucket as it is logged.
struct quota_bucket_record {
  client_account account;
  account_limit limit;
  limit_version version;
  /// Calls that may be granted.
  double level = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->limit, this->version, this->level);
  }
};

/// A log record: the state of buckets at one time.
struct quota_record {
  /// Seconds for which the manager has managed quotas. Excludes the time in which its process did
  /// not run, so it does not depend on a clock that may be set.
  double managed_seconds = 0;
  /// Records before this one no longer count.
  bool is_reset = false;
  std::vector<quota_bucket_record> bucket_records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->managed_seconds, this->is_reset, this->bucket_records);
  }
};

/// Token buckets of one quota manager.
///
/// Invariant: in any span of t seconds the manager grants an account at most
/// max(1, share * (burst + tolerated)) + share * t * calls_per_second calls. `tolerated` is the
/// number of calls by which `quota_tolerance` lets a window exceed the quota.
/// This includes spans in which its process restarts: a grant is logged before the response is
/// sent, and `restore` reads it back. Without the log all buckets would be empty after a loss of
/// power, just when the callers come back.
class quota_manager {
public:
  quota_manager() = default;
  explicit quota_manager(quota_tolerance permitted) : tolerance(permitted) {}

  /// Applies a record of an earlier process. Records are applied in the order in which they were
  /// logged.
  void restore(const quota_record& record);
  /// Sets this host's share of each quota: 1 / number of managers, or 0. A host that becomes a
  /// manager starts with empty buckets, since it does not know what was granted before. After a
  /// restart it continues with the restored buckets.
  void set_share(double own_share, timestamp now);
  quota_response ask(const quota_request& request, timestamp now);
  /// Drops accounts whose buckets are full: a new bucket would be full too.
  void forget_idle(timestamp now);
  /// Returns the buckets that have changed since the last call, to be logged.
  quota_record take_changes(timestamp now);
  /// Returns all buckets, as the first record of a new log.
  [[nodiscard]] quota_record whole(timestamp now) const;
  /// Number of calls that were refused although the bucket held a call: each would have begun a
  /// program, and the bucket held too few calls to admit it.
  [[nodiscard]] std::uint64_t programs_held_back() const { return this->held_back; }
  /// Estimated calls per program; 0: not known yet.
  [[nodiscard]] double calls_of_a_program() const { return this->calls_per_program.mean(); }
  /// Number of accounts with a bucket.
  [[nodiscard]] std::size_t accounts() const { return this->buckets.size(); }

private:
  struct bucket {
    account_limit limit;
    limit_version version;
    /// Calls that could be granted when `managed_seconds` was `refilled_at`.
    double level = 0;
    /// In seconds, as `managed_seconds`.
    double refilled_at = 0;
  };

  [[nodiscard]] double capacity_of(const account_limit& limit) const;
  [[nodiscard]] double rate_of(const account_limit& limit) const;
  [[nodiscard]] double managed_seconds(timestamp now) const;
  [[nodiscard]] double level_at(const bucket& from, double managed_seconds) const;
  /// Calls that the bucket must hold for the call to be granted.
  [[nodiscard]] double level_needed(const quota_request& request, const bucket& from,
                                    timestamp now);
  /// Counts the call if its program was admitted here.
  void record_call(const quota_request& request, timestamp now);
  void record_grant(const quota_program& program, const client_account& account, timestamp now);
  bucket& refilled_bucket(const quota_request& request, timestamp now);
  [[nodiscard]] static quota_bucket_record record_of(const client_account& account,
                                                     const bucket& item);

  quota_tolerance tolerance;
  /// This host's share of each quota; 0: it is not a manager.
  double own_share = 0;
  /// Value of `managed_seconds` at `resumed_at`.
  double managed_at_resume = 0;
  timestamp resumed_at{};
  std::unordered_map<client_account, bucket> buckets;
  /// By account, for accounts with programs in progress. Not logged: after a restart the programs
  /// in progress continue, but no calls are reserved for them when others are admitted.
  std::unordered_map<client_account, active_programs> programs;
  program_size_estimate calls_per_program;
  std::uint64_t held_back = 0;
  /// True if nothing has been logged since this host last stopped being a manager. The next record
  /// is then marked as a reset.
  bool reset_is_unlogged = false;
  /// Accounts whose buckets are not logged yet.
  std::set<client_account> changed;
};

}  // namespace hawthornlane
