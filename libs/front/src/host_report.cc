// Reports of a front host: its metrics and its memory use.
#include "hawthornlane/front/host_report.h"

#include <algorithm>
#include <utility>

#include "hawthornlane/telemetry/log.h"
#include "hawthornlane/telemetry/process_memory.h"

namespace hawthornlane::front {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// Percentages of the process's memory limit: high use is logged at the first, and may be logged
/// again after use has fallen below the second.
constexpr std::size_t memory_high_percent = 60;
constexpr std::size_t memory_normal_percent = 45;

}  // namespace

host_report::host_report(report_sources sources) : from(std::move(sources)) {}

void host_report::set(const std::string& name, std::uint64_t value) {
  this->from.metrics.set(name, static_cast<double>(value));
}

std::string host_report::metrics_text() {
  const auto& store_counts = this->from.store.counters();
  this->set("store_reads", store_counts.reads);
  this->set("store_watches", store_counts.watches);
  this->set("store_writes", store_counts.writes);
  this->set("store_failed", store_counts.failed);
  if (this->from.read_schedule.heard()) {
    const duration age = this->from.read_schedule.age(discovery::scheduler_now());
    this->set("store_read_age_ms", std::max<std::int64_t>(age / std::chrono::milliseconds(1), 0));
  }
  this->set("store_reads_restated", this->from.read_schedule.restated_count());
  this->set("event_loop_lag_ms",
            this->from.gossip.event_loop_lag_total() / std::chrono::milliseconds(1));
  this->set("store_objects_malformed", this->from.faults.count());
  this->set("backend_connections_opened", this->from.backends.counters().opened);
  this->set("backend_connections_reused", this->from.backends.counters().reused);
  this->set("backend_foreign_answers", this->from.backends.counters().mismatched_responses);
  this->set("backend_unnamed_refusals", this->from.backends.counters().unidentified_refusals);
  this->set("responses_malformed", this->from.backends.counters().malformed_responses);
  this->set("response_ends_confirmed", this->from.backends.counters().ends_confirmed);
  this->set("response_ends_unconfirmed", this->from.backends.counters().ends_unconfirmed);
  this->set("calls_under_way", this->from.calls.in_flight());
  this->set("suspected_requests", this->from.crashes.count(crash_standing::suspected));
  this->set("blocked_requests", this->from.crashes.count(crash_standing::blocked));
  this->set_memory_metrics();
  this->set_traffic_metrics();
  return this->from.metrics.text();
}

void host_report::set_memory_metrics() {
  const copy_counters& copies = this->from.gossip.counters();
  this->set("resident_bytes", resident_bytes().value_or(0));
  this->set("caller_connections", this->from.connections());
  this->from.clients.add_metrics(
      [this](const std::string& name, std::uint64_t value) { this->set(name, value); });
  this->set("peer_bytes_waiting", this->from.peer_bytes_waiting());
  this->set("configuration_bytes", this->from.fleet.configuration_copy().size());
  this->set("copies_asked", copies.asked);
  this->set("copies_put_off", copies.put_off);
  this->set("copies_taken", copies.taken);
  this->set("copies_failed", copies.failed);
  this->set("copies_given", copies.given);
  this->set("copy_bytes_taken", copies.bytes_taken);
  this->set("copy_bytes_given", copies.bytes_given);
}

void host_report::set_traffic_metrics() {
  for (const traffic_kind kind : all_traffic_kinds) {
    const std::string name(name_of(kind));
    const traffic_bytes& bytes = this->from.traffic.of(kind);
    this->set("peer_bytes_sent_" + name, bytes.sent);
    this->set("peer_bytes_received_" + name, bytes.received);
  }
}

void host_report::check_memory() {
  const std::size_t limit = this->from.memory_limit;
  const std::size_t used = resident_bytes().value_or(0);
  if (used < limit * memory_normal_percent / 100) {
    this->memory_high = false;
  }
  if (this->memory_high || used < limit * memory_high_percent / 100) {
    return;
  }
  this->memory_high = true;
  const copy_counters& copies = this->from.gossip.counters();
  log(event::memory_high,
      {{"resident_mb", std::to_string(used / bytes_per_mb)},
       {"limit_mb", std::to_string(limit / bytes_per_mb)},
       {"calls", std::to_string(this->from.calls.in_flight())},
       {"connections", std::to_string(this->from.connections())},
       {"peer_bytes_waiting", std::to_string(this->from.peer_bytes_waiting())},
       {"configuration_bytes", std::to_string(this->from.fleet.configuration_copy().size())},
       {"copies_asked", std::to_string(copies.asked)},
       {"copies_failed", std::to_string(copies.failed)},
       {"copies_given", std::to_string(copies.given)}});
}

}  // namespace hawthornlane::front
