// Helpers that the source files of the shard core share.
#pragma once

#include <algorithm>
#include <vector>

#include "hawthornlane/ownership/messages.h"

namespace hawthornlane {

inline bool contains_host(const std::vector<host_incarnation>& hosts,
                          const host_incarnation& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

/// Whether `a` is of a later epoch, or of the same epoch with more records.
inline bool is_longer(const log_snapshot& a, const log_snapshot& b) {
  return a.at != b.at ? a.at > b.at : a.last > b.last;
}

}  // namespace hawthornlane
