// Reports of a front host: its metrics as text, and a log line when its memory use is high.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/front/call_service.h"
#include "hawthornlane/front/crash_tracker.h"
#include "hawthornlane/front/peer_gossip.h"
#include "hawthornlane/front/peer_traffic.h"
#include "hawthornlane/overload/process_clients.h"

namespace hawthornlane::front {

/// Components that the metrics are read from. They must outlive the report.
struct report_sources {
  call_metrics& metrics;
  const platform_adapter::store_client& store;
  const discovery::object_faults& faults;
  const discovery::fleet_state& fleet;
  const store_read_schedule& read_schedule;
  const relay::backend_pool& backends;
  const call_service& calls;
  const peer_gossip& gossip;
  const crash_tracker& crashes;
  const peer_traffic& traffic;
  const overload::process_clients& clients;
  /// Number of open connections of callers.
  std::function<std::size_t()> connections;
  /// Bytes of answers to other hosts that are queued for the link.
  std::function<std::size_t()> peer_bytes_waiting;
  /// Memory limit of the process, bytes.
  std::size_t memory_limit = 0;
};

/// Not thread-safe.
class host_report {
public:
  explicit host_report(report_sources sources);

  /// All metrics, one per line.
  std::string metrics_text();
  /// Logs once what uses the memory, before the kernel kills the process for exceeding its limit.
  void check_memory();

private:
  void set(const std::string& name, std::uint64_t value);
  void set_memory_metrics();
  void set_traffic_metrics();

  report_sources from;
  /// Whether high memory use has been logged; reset when enough memory is free again.
  bool memory_high = false;
};

}  // namespace hawthornlane::front
