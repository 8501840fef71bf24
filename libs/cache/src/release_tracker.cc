// Releases until they are confirmed.
#include "hawthornlane/cache/release_tracker.h"

#include <algorithm>

namespace hawthornlane {

void release_tracker::sent(const program_id& program, const backend_server_id& server,
                           timestamp now) {
  this->resident[program][server] = now;
  this->releasing.erase({program, server});
}

void release_tracker::order(const place& where, timestamp now, std::vector<release_request>& out) {
  const auto [at, added] =
      this->releasing.emplace(where, pending{now, now, this->times.retry_after});
  if (added) {
    out.push_back({where.first, where.second});
  }
}

std::vector<release_request> release_tracker::ended(const program_id& program, timestamp now) {
  std::vector<release_request> out;
  const auto found = this->resident.find(program);
  if (found == this->resident.end()) {
    return out;
  }
  for (const auto& [server, since] : found->second) {
    this->order({program, server}, now, out);
  }
  this->resident.erase(found);
  return out;
}

void release_tracker::confirmed(const program_id& program, const backend_server_id& server) {
  this->releasing.erase({program, server});
}

std::vector<release_request> release_tracker::reported(const cache_report& report, timestamp now,
                                                       const std::set<program_id>& living) {
  std::vector<release_request> out;
  for (auto at = this->releasing.begin(); at != this->releasing.end();) {
    const bool gone = at->first.second == report.server &&
                      !report.holding.contains(at->first.first) && report.as_of > at->second.since;
    at = gone ? this->releasing.erase(at) : std::next(at);
  }
  for (const program_id& program : report.holding) {
    if (!living.contains(program)) {
      this->order({program, report.server}, now, out);
    }
  }
  for (auto& [program, servers] : this->resident) {
    const auto found = servers.find(report.server);
    const bool dropped = found != servers.end() && !report.holding.contains(program) &&
                         report.as_of - this->times.report_lag > found->second;
    if (dropped) {
      servers.erase(found);
    }
  }
  return out;
}

std::vector<release_request> release_tracker::tick(timestamp now) {
  std::vector<release_request> out;
  for (auto& [where, item] : this->releasing) {
    if (now - item.last >= item.wait) {
      item.last = now;
      item.wait = std::min(item.wait * 2, this->times.longest_retry);
      out.push_back({where.first, where.second});
    }
  }
  return out;
}

}  // namespace hawthornlane
