// What a front host tells of itself: its metrics as text, and a line when its memory fills.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/front/call_service.h"
#include "hawthornlane/front/peer_gossip.h"
#include "hawthornlane/front/peer_traffic.h"

namespace hawthornlane::front {

/// The host's parts that count something. They outlive the report.
struct report_sources {
  call_metrics& metrics;
  const platform_adapter::store_client& store;
  const discovery::object_faults& faults;
  const discovery::fleet_state& fleet;
  const relay::backend_pool& backends;
  const call_service& calls;
  const peer_gossip& gossip;
  const peer_traffic& traffic;
  /// Callers' connections that are open.
  std::function<std::size_t()> connections;
  /// Bytes of answers to other hosts that wait for the link.
  std::function<std::size_t()> peer_bytes_waiting;
  /// Memory that the process may use, bytes.
  std::size_t memory_limit = 0;
};

/// For one thread.
class host_report {
public:
  explicit host_report(report_sources sources);

  /// All metrics, one a line.
  std::string metrics_text();
  /// Says once what fills the memory, before the kernel ends the process for it.
  void watch_memory();

private:
  void set(const std::string& name, std::uint64_t value);
  void set_memory_metrics();
  void set_traffic_metrics();

  report_sources from;
  /// Said in the log; falls back when the memory is free again.
  bool memory_high = false;
};

}  // namespace hawthornlane::front
