// Counters and latency histograms.
#include "hawthornlane/front/call_metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>

namespace hawthornlane::front {
namespace {

namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

/// Range of the histograms in milliseconds. Finer bins would not change an on-call decision.
constexpr unsigned bins = 40;
constexpr double min_ms = 0.1;
constexpr double max_ms = 20'000;

}  // namespace

struct call_metrics::latency {
  bh::histogram<std::tuple<log_axis>> counts = bh::make_histogram(log_axis(bins, min_ms, max_ms));
  std::uint64_t number = 0;
  double sum_ms = 0;

  /// Upper bound of the bin that holds this quantile.
  [[nodiscard]] double quantile(double share) const {
    double seen = 0;
    for (auto&& bin : bh::indexed(this->counts, bh::coverage::all)) {
      seen += *bin;
      if (seen >= share * static_cast<double>(this->number)) {
        return bin.bin().upper();
      }
    }
    return max_ms;
  }
};

call_metrics::call_metrics() = default;
call_metrics::~call_metrics() = default;

void call_metrics::count(const std::string& name, std::uint64_t by) {
  this->values[name] += static_cast<double>(by);
}

void call_metrics::set(const std::string& name, double value) { this->values[name] = value; }

void call_metrics::record(const std::string& name, duration value) {
  auto& slot = this->latencies[name];
  if (!slot) {
    slot = std::make_unique<latency>();
  }
  const double ms = to_seconds(value) * 1e3;
  slot->counts(ms);
  ++slot->number;
  slot->sum_ms += ms;
}

std::string call_metrics::text() const {
  std::string out;
  for (const auto& [name, value] : this->values) {
    out += fmt::format("{} {}\n", name, value);
  }
  constexpr double median = 0.5;
  constexpr double p95 = 0.95;
  constexpr double p99 = 0.99;
  for (const auto& [name, slot] : this->latencies) {
    out += fmt::format("{}_count {}\n{}_sum_ms {:.1f}\n", name, slot->number, name, slot->sum_ms);
    for (const double share : {median, p95, p99}) {
      out += fmt::format("{}_ms{{quantile=\"{}\"}} {:.2f}\n", name, share, slot->quantile(share));
    }
  }
  return out;
}

}  // namespace hawthornlane::front
