// Client accounts' quotas at a disk host. The response to a grant is sent only after the grant
// is on disk.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "hawthornlane/disk/ledger_store.h"
#include "hawthornlane/limits/quota_manager.h"
#include "hawthornlane/net/rpc.h"

namespace hawthornlane::disk {

/// What the quota service needs from its host.
struct quota_hooks {
  /// True while this host's quota lease holds: no other host can have replaced it.
  std::function<bool()> holds_lease;
  /// Appends a record to the host's log. Calls `done` when it is on disk or the write failed.
  std::function<void(const std::string& record, std::function<void(bool good)> done)> append;
  /// Increments a counter of the metrics.
  std::function<void(const std::string& counter)> count;
};

/// Grants calls against quotas while this host holds the quota lease, and none without it. Not
/// thread-safe.
class quota_service {
public:
  quota_service(quota_tolerance rules, quota_hooks hooks);
  quota_service(const quota_service&) = delete;
  quota_service& operator=(const quota_service&) = delete;
  ~quota_service() = default;

  /// The hooks by which the log restores the quotas at start and takes a snapshot of them
  /// when it is compacted.
  side_journal journal();
  /// Serves a front host's request. A grant is answered with `nullopt` if the disk failed.
  void serve(const std::string& payload, const net::rpc_reply& reply);
  /// Sets the share of each quota that this host manages, 0 to 1.
  void set_share(double share);
  /// Removes programs that have expired, and accounts whose quota is full, as it would also be if
  /// they were created again.
  void forget_idle();
  /// Number of accounts in memory.
  [[nodiscard]] std::size_t accounts() const { return this->manager.accounts(); }
  [[nodiscard]] std::uint64_t programs_held_back() const {
    return this->manager.programs_held_back();
  }
  [[nodiscard]] double calls_of_a_program() const { return this->manager.calls_of_a_program(); }

private:
  /// Writes one record for all grants made while the previous record was being written.
  void write_grants();

  quota_hooks hooks;
  quota_manager manager;
  /// Responses to grants whose write has not begun; called with `good` = false if it fails.
  std::vector<std::function<void(bool good)>> unwritten;
  bool writing = false;
};

}  // namespace hawthornlane::disk
