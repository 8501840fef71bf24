// One keeper's part of the client accounts' quotas. No I/O, clock or randomness.
//
// Each quota is divided evenly between a few keepers, whom the deployment agrees on; each gives
// out its part from a token bucket of its own, and a front host that one keeper refuses asks the
// next. So no call is counted twice and none is forgotten, whichever hosts are cut off from which,
// and a keeper that is lost takes its part of the quota with it and no more. A call is counted
// when it is granted, which is between its sending and its arrival at a server: whatever is sent
// and arrives within some span was granted within that span.
#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "hawthornlane/limits/quota_messages.h"

namespace hawthornlane {

/// How far beyond a quota the operator lets its calls go: in no span of `window` may there be more
/// than (calls_per_second * window + burst) * (1 + excess) + slack.
struct quota_tolerance {
  duration window = std::chrono::seconds(1);
  double excess = 0;
  double slack = 0;
};

/// One account's bucket, as it is written down.
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

/// Buckets as they are at one moment.
struct quota_record {
  /// For how long the keeper has kept quotas then, seconds; time in which its process did not run
  /// counts nothing, so no clock that may be set bears on it.
  double age = 0;
  /// What was written before counts no more.
  bool begins = false;
  std::vector<quota_bucket_record> bucket_records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->age, this->begins, this->bucket_records);
  }
};

/// Invariant: in any span of t seconds the keeper grants an account at most its part of
/// burst + tolerance + t * calls_per_second calls, or 1 + part * t * calls_per_second where that
/// is more, also when its process has started again in between: whatever is granted is written
/// down before the asker is told, and `restore` brings it back. Without that all accounts stood
/// before empty buckets after a loss of power, just when their callers came back.
class quota_manager {
public:
  quota_manager() = default;
  explicit quota_manager(quota_tolerance with) : rules(with) {}

  /// Takes back what an earlier process wrote down, in the order in which it did.
  void restore(const quota_record& record);
  /// From now on this host keeps so much of each quota: 1 / number of keepers, or 0. One that
  /// begins to keep them does so with empty buckets, since it does not know what was granted
  /// before; one that goes on after a restart has those that were restored.
  void set_share(double part, timestamp now);
  quota_response ask(const quota_request& question, timestamp now);
  /// Forgets accounts whose buckets are full: they would be full too if they were new.
  void forget_idle(timestamp now);
  /// The buckets that have changed since this was last asked, to be written down.
  quota_record take_changes(timestamp now);
  /// All buckets, to begin a new log with.
  [[nodiscard]] quota_record whole(timestamp now) const;
  /// Calls that were refused only because they would have begun a program without room for it.
  [[nodiscard]] std::uint64_t programs_held_back() const { return this->held_back; }
  /// Calls that a program makes, as far as it is known; 0: not yet.
  [[nodiscard]] double calls_of_a_program() const { return this->size.mean(); }
  /// Accounts in use.
  [[nodiscard]] std::size_t accounts() const { return this->buckets.size(); }

private:
  struct bucket {
    account_limit limit;
    limit_version version;
    /// Calls that may be granted at the age `at`.
    double level = 0;
    double at = 0;
  };

  [[nodiscard]] double capacity_of(const account_limit& limit) const;
  [[nodiscard]] double rate_of(const account_limit& limit) const;
  [[nodiscard]] double age(timestamp now) const;
  [[nodiscard]] double level_at(const bucket& from, double age) const;
  /// What the bucket has to hold for the call to be granted, calls.
  [[nodiscard]] double level_needed(const quota_request& question, const bucket& from,
                                    timestamp now);
  /// Of a program that began here.
  void note_call(const quota_request& question, timestamp now);
  void note_grant(const quota_program& program, const client_account& account, timestamp now);
  bucket& bucket_of(const quota_request& question, timestamp now);
  [[nodiscard]] static quota_bucket_record mark_of(const client_account& account,
                                                   const bucket& item);

  quota_tolerance rules;
  /// 0: keeps none.
  double part = 0;
  /// Seconds for which quotas had been kept at `resumed`.
  double age_before = 0;
  timestamp resumed{};
  std::unordered_map<client_account, bucket> buckets;
  /// Of accounts with programs under way. Not written down: those that are under way at a restart
  /// go on, and others begin beside them.
  std::unordered_map<client_account, active_programs> programs;
  program_size_estimate size;
  std::uint64_t held_back = 0;
  /// Nothing of this time as a keeper has been written down yet, or told.
  bool is_new = false;
  /// Not written down yet.
  std::set<client_account> changed;
};

}  // namespace hawthornlane
