// Counters, gauges and latency histograms of a front host, rendered as text.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Named counters, gauges and latency histograms; `text` renders all of them, one per line.
class call_metrics {
public:
  call_metrics();
  call_metrics(const call_metrics&) = delete;
  call_metrics& operator=(const call_metrics&) = delete;
  ~call_metrics();

  void count(const std::string& name, std::uint64_t by = 1);
  void set(const std::string& name, double value);
  void record(const std::string& name, duration latency);
  [[nodiscard]] std::string text() const;

private:
  struct latency;
  std::map<std::string, double> values;
  std::map<std::string, std::unique_ptr<latency>> latencies;
};

}  // namespace hawthornlane::front
