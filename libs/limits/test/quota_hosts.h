// What the hosts and calls of a simulated deployment with quotas consist of.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/limits/quota_manager.h"
#include "hawthornlane/limits/quota_round.h"
#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane::quota_test {

/// How many disk hosts there are, and how many of them manage quotas.
struct deployment_size {
  int managers = 5;
  int hosts = 7;
};

/// A disk host: its process, what its log holds, and what it knows.
struct host_state {
  bool up = false;
  /// Number of starts; pending work of an earlier process is dropped.
  int starts = 0;
  timestamp paused_until{};
  /// How far the process's clock is ahead of the simulated time.
  duration clock{};
  std::unique_ptr<quota_manager> manager;
  std::vector<quota_record> log;
  std::vector<std::function<void()>> unsent;
  bool writing = false;
  std::optional<ledger_set> set;
  timestamp set_confirmed_at{};
  quota_share_tracker share;
  /// The share that the manager has; nothing before its first one.
  std::optional<double> set_share;
  std::map<int, member_probe_result> probe_results;
  /// Like `probe_results`, but also set for hosts that have never responded.
  std::map<int, timestamp> alive_at;
  set_epoch fence;
  set_epoch copied;
  timestamp pending_since{};
  set_epoch pending_epoch;
  bool retiring = false;
  bool must_leave = false;
};

/// A limit as one front host knows it.
struct versioned_limit {
  account_limit limit;
  limit_version version;
};

/// A call that a front host asks the managers for.
struct call_state {
  explicit call_state(std::vector<disk_id> order)
      : managers(std::move(order)), round(managers.size()) {}
  std::vector<disk_id> managers;
  quota_round round;
  timestamp next_at{};
  bool ended = false;
};

}  // namespace hawthornlane::quota_test
