// All shards of the region as this host sees them, each behind its own lock.
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

/// Where the actions of shard cores go. Called with the shard's lock held, so
/// that order is kept; none of them may wait or touch the shard table.
struct shard_hooks {
  std::function<void(shard_id, const send_message&)> send;
  std::function<void(shard_id, const propose_assignment&)> propose;
  std::function<void(shard_id, const dispatch_call&)> dispatch;
  std::function<void(call_id, call_answer)> answer;
  std::function<void(shard_id, const role_changed&)> role;
  std::function<void(const release_program&)> release;
  std::function<void(shard_id, const std::string&)> broken;
};

/// Lock order: a shard's lock comes before every other lock of the host, and no
/// thread holds two of them.
class shard_table {
public:
  shard_table(std::uint32_t count, const host_incarnation& self, ownership_times times);

  /// Set once, before the first use.
  void set_hooks(shard_hooks to) { this->hooks = std::move(to); }
  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->slots.size());
  }
  [[nodiscard]] bool has(shard_id shard) const { return shard.get() < this->slots.size(); }

  /// Runs `change` on the shard's core and carries out the actions it returns.
  void change(shard_id shard, const std::function<actions(shard_core&)>& change);
  /// Checks the whole histories of one shard, the next one at each call.
  void check_next();
  /// Runs `read` on the shard's core.
  void read(shard_id shard, const std::function<void(const shard_core&)>& read) const;
  /// Reads every shard in turn.
  void read_all(const std::function<void(const shard_core&)>& read) const;

private:
  struct slot {
    slot(shard_id shard, const host_incarnation& self, ownership_times times)
        : core(shard, self, times) {}
    std::mutex mutex;
    shard_core core;
  };

  void carry_out(shard_id shard, actions todo) const;
  void report(shard_id shard, const std::string& broken) const;

  std::vector<std::unique_ptr<slot>> slots;
  shard_hooks hooks;
  std::atomic<std::uint32_t> next_check{0};
};

}  // namespace hawthornlane
