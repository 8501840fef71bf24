// Faults injected into a simulated deployment with quotas, and its links.
#pragma once

#include <array>
#include <map>
#include <ostream>
#include <set>
#include <utility>

#include "hawthornlane/limits/quota_manager.h"

namespace hawthornlane::quota_test {

enum class fault_kind {
  /// The process ends; a new one reads its log, with a clock that starts anew.
  kill,
  /// The process is suspended and then continues with its state.
  pause,
  /// Messages from one host to the other are lost.
  cut,
  /// The host and the store cannot reach each other.
  cut_store,
  /// Messages to the host are delayed.
  delay,
  /// Messages to the host are delivered twice.
  duplicate,
  /// The operator drains the host.
  retire,
  /// The operator changes the limit.
  change_limit,
  /// The account requests many times its quota.
  overload,
};

struct fault {
  fault_kind kind = fault_kind::kill;
  int at_ms = 0;
  int length_ms = 0;
  int host = 0;
  int other = 0;
};

/// Bugs planted in a quota manager, to show that the checks detect them.
enum class injected_bug {
  /// A restart restores for how long quotas were managed, but not what was granted.
  loses_grants,
  /// A host that was replaced continues until it learns of it from the store.
  ignores_lease,
  /// A host continues while a majority responds, even if responders know a newer set.
  ignores_fences,
  /// A leaving host manages its share until the next set is in force.
  keeps_share_while_leaving,
  /// A host's share grows as soon as it knows the set in which another host's is smaller.
  grows_at_once,
  /// A refused call is deducted from the quota.
  deducts_refusals,
};
using injected_bugs = std::set<injected_bug>;

/// By how much calls may exceed a quota: window, excess (a fraction) and slack (calls).
inline constexpr quota_tolerance tolerance{std::chrono::seconds(5), 0.1, 20};

/// Which links between two hosts are cut, slow or duplicating, and until when.
class fake_links {
public:
  void cut(int from, int to, timestamp until) { this->cut_end[{from, to}] = until; }
  void delay(int to, timestamp until) { this->delay_end[to] = until; }
  void duplicate(int to, timestamp until) { this->duplication_end[to] = until; }

  [[nodiscard]] bool is_cut(int from, int to, timestamp now) {
    return this->cut_end[{from, to}] > now;
  }
  [[nodiscard]] bool is_delayed(int to, timestamp now) { return this->delay_end[to] > now; }
  [[nodiscard]] bool is_duplicating(int to, timestamp now) {
    return this->duplication_end[to] > now;
  }

private:
  std::map<std::pair<int, int>, timestamp> cut_end;
  std::map<int, timestamp> delay_end;
  std::map<int, timestamp> duplication_end;
};

inline void showValue(const fault& item, std::ostream& out) {
  constexpr std::array names{"kill",      "pause",  "cut",          "cut_store", "delay",
                             "duplicate", "retire", "change_limit", "overload"};
  out << "{" << names.at(static_cast<std::size_t>(item.kind)) << ", " << item.at_ms << ", "
      << item.length_ms << ", " << item.host << ", " << item.other << "}";
}

}  // namespace hawthornlane::quota_test
