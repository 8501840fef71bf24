// Keeping of client accounts' quotas at a disk host: each grant is on disk before its asker is
// told of it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "hawthornlane/disk/ledger_store.h"
#include "hawthornlane/limits/quota_manager.h"
#include "hawthornlane/net/rpc.h"

namespace hawthornlane::disk {

/// What the keeping of quotas asks of the host.
struct quota_hooks {
  /// Nobody can have put another host in this one's place.
  std::function<bool()> holds_lease;
  /// Appends a record to the host's log; `done` when it is on disk, or cannot be.
  std::function<void(const std::string& record, std::function<void(bool good)> done)> append;
  /// Adds one to a counter of the metrics.
  std::function<void(const std::string& counter)> count;
};

/// For one thread. Without the lease it grants nothing.
class quota_service {
public:
  quota_service(quota_tolerance rules, quota_hooks hooks);
  quota_service(const quota_service&) = delete;
  quota_service& operator=(const quota_service&) = delete;
  ~quota_service() = default;

  /// What the log replays here, and what it is begun anew with.
  side_journal journal();
  /// Answers a front host's question; a grant is answered with nothing when the disk failed.
  void serve(const std::string& payload, const net::rpc_reply& reply);
  /// From now on this host keeps so much of each quota.
  void set_share(double part);
  /// Forgets accounts that need not be remembered.
  void forget_idle();
  /// Accounts in use.
  [[nodiscard]] std::size_t accounts() const { return this->keeper.accounts(); }
  [[nodiscard]] std::uint64_t programs_held_back() const {
    return this->keeper.programs_held_back();
  }
  [[nodiscard]] double calls_of_a_program() const { return this->keeper.calls_of_a_program(); }

private:
  /// One record for all grants that came while the one before was on its way to the disk.
  void write_grants();

  quota_hooks hooks;
  quota_manager keeper;
  /// Grants that are not on disk yet: their askers are told when they are.
  std::vector<std::function<void(bool good)>> unwritten;
  bool writing = false;
};

}  // namespace hawthornlane::disk
