// The audit trail: who changed what, with what result.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornlane {

/// One change, refusal, takeover, drain or order.
struct audit_entry {
  /// Wall clock, milliseconds since 1970.
  std::int64_t at_ms = 0;
  std::string host;
  /// An operator's name, or "hawthornlane" for the system's own acts.
  std::string who;
  /// E.g. "document.apply", "shard.takeover", "host.drain".
  std::string what;
  std::string subject;
  /// Digests or values before and after the change.
  std::string before;
  std::string after;
  std::string result;
};

/// Entries of this host: those not yet stored, and the latest ones.
///
/// Promise: an entry stays until `stored` confirms it, up to a bound that is
/// counted when exceeded; a platform outage loses nothing within it.
class audit_log {
public:
  void add(audit_entry entry);
  /// Entries to store next, oldest first.
  [[nodiscard]] std::vector<audit_entry> unstored(std::size_t most) const;
  void stored(std::size_t count);
  [[nodiscard]] std::uint64_t dropped() const;

private:
  mutable std::mutex mutex;
  std::deque<audit_entry> waiting;
  std::uint64_t dropped_entries = 0;
};

std::string to_json_line(const audit_entry& entry);

}  // namespace hawthornlane
