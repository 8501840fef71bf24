// All shards of the region as known to this host, each with its own lock.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornlane/ownership/shard_core.h"

namespace hawthornlane {

/// Callbacks that carry out the actions of shard cores. They are called with the shard's
/// lock held to keep the order of the actions, so they must not block or use the shard table.
struct shard_hooks {
  std::function<void(shard_id, const send_message&)> send;
  std::function<void(shard_id, const propose_assignment&)> propose;
  std::function<void(shard_id, const dispatch_call&)> dispatch;
  std::function<void(call_id, call_answer)> answer;
  std::function<void(shard_id, const role_changed&)> role;
  std::function<void(const release_program&)> release;
  std::function<void(shard_id, const std::string&)> broken;
};

/// Lock order: a shard's lock is taken before any other lock of the host, and no thread
/// holds two shard locks.
class shard_table {
public:
  shard_table(std::uint32_t count, const host_incarnation& self, ownership_times times);

  /// Call this once, before the first use.
  void set_hooks(shard_hooks to) { this->hooks = std::move(to); }
  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->slots.size());
  }
  [[nodiscard]] bool has(shard_id shard) const { return shard.get() < this->slots.size(); }

  /// Runs `change` on the shard's core and carries out the actions it returns.
  void change(shard_id shard, const std::function<actions(shard_core&)>& change);
  /// Checks the invariants of one shard's whole history; each call checks the next shard.
  void check_next();
  /// Runs `read` on the shard's core.
  void read(shard_id shard, const std::function<void(const shard_core&)>& read) const;
  /// Runs `read` on every shard's core in turn, locking one shard at a time.
  void read_all(const std::function<void(const shard_core&)>& read) const;

private:
  struct slot {
    slot(shard_id shard, const host_incarnation& self, ownership_times times)
        : core(shard, self, times) {}
    std::mutex mutex;
    shard_core core;
  };

  void carry_out(shard_id shard, actions todo) const;
  void report_broken(shard_id shard, const std::string& broken) const;

  std::vector<std::unique_ptr<slot>> slots;
  shard_hooks hooks;
  std::atomic<std::uint32_t> next_check{0};
};

}  // namespace hawthornlane
