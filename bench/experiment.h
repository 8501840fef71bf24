// Simulates one run on virtual time: programs call engines under one policy.
#pragma once

#include <cstdint>
#include <string>

#include "policy.h"
#include "workload.h"

namespace hawthornlane::bench {

enum class fault : std::uint8_t {
  none,
  slow_server,
  hung_server,
  zone_lost,
  late_reports,
  restart
};

struct run_parameters {
  workload_parameters workload;
  std::string policy = "hawthornlane";
  fault with = fault::none;
};

/// Results of one run. Latencies are seconds spent in calls, without pauses.
struct run_figures {
  std::size_t programs = 0;
  double mean = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double deadline_hits = 1;
  double reprefilled_million = 0;
  /// Millions of token-seconds that engines cached for programs that had ended.
  double dead_held_million = 0;
  /// Ratio of the worst account's mean latency to the best one's, without account 0, which may
  /// send extra load (`flood`).
  double account_spread = 0;
  /// Mean latency of all accounts but account 0.
  double quiet_mean = 0;
  double decisions_per_second = 0;
};

run_figures run(const run_parameters& parameters);
std::string fault_name(fault with);

}  // namespace hawthornlane::bench
