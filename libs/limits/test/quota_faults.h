// Faults of a deployment that keeps quotas, and links that suffer them.
#pragma once

#include <array>
#include <map>
#include <ostream>
#include <utility>

#include "hawthornlane/limits/quota_manager.h"

namespace hawthornlane::quota_test {

enum class fault_kind {
  /// The process ends; another one reads its log, by a clock that begins anew.
  kill,
  /// The process stands still and goes on where it was.
  pause,
  /// Nothing passes from one host to the other.
  cut,
  /// The host and the store do not hear each other.
  cut_store,
  /// What is sent to the host comes late.
  delay,
  /// What is sent to the host comes twice.
  duplicate,
  /// The operator has the host emptied.
  retire,
  /// The operator changes the limit.
  change_limit,
  /// The account asks for many times its quota.
  rush,
};

struct fault {
  fault_kind kind = fault_kind::kill;
  int at_ms = 0;
  int length_ms = 0;
  int host = 0;
  int other = 0;
};

/// Mistakes that a keeper could make, to see that the checks find them.
enum class planted_fault {
  none,
  /// A restart brings back how long quotas were kept, and not what was granted.
  forgets_grants,
  /// A host that was replaced goes on until the store tells it so.
  ignores_lease,
  /// One goes on as long as a majority answers it, whatever these know of newer sets.
  ignores_fences,
  /// A host that is to leave keeps its part until the next set is in force.
  stays_to_the_end,
  /// A call that is refused is taken out of the quota.
  counts_refusals,
};

/// What the operator tolerates.
inline constexpr quota_tolerance rules{std::chrono::seconds(5), 0.1, 20};

/// Which way between two hosts is cut, slow or unsure, and until when.
class fake_links {
public:
  void cut(int from, int to, timestamp until) { this->cut_until[{from, to}] = until; }
  void delay(int to, timestamp until) { this->late_until[to] = until; }
  void duplicate(int to, timestamp until) { this->twice_until[to] = until; }

  [[nodiscard]] bool is_cut(int from, int to, timestamp now) {
    return this->cut_until[{from, to}] > now;
  }
  [[nodiscard]] bool is_late(int to, timestamp now) { return this->late_until[to] > now; }
  [[nodiscard]] bool sends_twice(int to, timestamp now) { return this->twice_until[to] > now; }

private:
  std::map<std::pair<int, int>, timestamp> cut_until;
  std::map<int, timestamp> late_until;
  std::map<int, timestamp> twice_until;
};

inline void showValue(const fault& item, std::ostream& out) {
  constexpr std::array names{"kill",      "pause",  "cut",          "cut_store", "delay",
                             "duplicate", "retire", "change_limit", "rush"};
  out << "{" << names.at(static_cast<std::size_t>(item.kind)) << ", " << item.at_ms << ", "
      << item.length_ms << ", " << item.host << ", " << item.other << "}";
}

}  // namespace hawthornlane::quota_test
