// The audit trail: who changed what, and with what result.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornlane {

/// One audited action: a change, refusal, takeover, drain or operator's command.
struct audit_entry {
  /// Wall clock, milliseconds since the Unix epoch.
  std::int64_t at_ms = 0;
  std::string host;
  /// An operator's name, or "hawthornlane" for actions of the system itself.
  std::string who;
  /// E.g. "document.apply", "shard.takeover", "host.drain".
  std::string what;
  std::string subject;
  /// Digests or values before and after the change.
  std::string before;
  std::string after;
  std::string result;
};

/// The audit entries of this host that the platform has not stored yet. Thread-safe.
///
/// Guarantee: an entry stays until `stored` confirms it, so a platform outage loses
/// nothing while the number of entries is within its limit. Beyond the limit the
/// oldest entry is dropped and counted in `dropped`.
class audit_log {
public:
  void add(audit_entry entry);
  /// At most `max_count` entries to store next, oldest first.
  [[nodiscard]] std::vector<audit_entry> unstored(std::size_t max_count) const;
  /// Removes the oldest `count` entries. Call it after the platform has stored them.
  void stored(std::size_t count);
  [[nodiscard]] std::uint64_t dropped() const;

private:
  mutable std::mutex mutex;
  std::deque<audit_entry> pending;
  std::uint64_t dropped_entries = 0;
};

std::string to_json_line(const audit_entry& entry);

}  // namespace hawthornlane
