// Predicts pauses from earlier ones.
#include "hawthornlane/cache/pause_predictor.h"

#include <algorithm>

namespace hawthornlane {
namespace {
constexpr double min_pause_seconds = 0.010;
constexpr double decay = 0.995;
}  // namespace

std::size_t pause_predictor::bucket_of(duration pause) {
  const double seconds = std::max(min_pause_seconds, to_seconds(pause));
  const double position = std::log2(seconds / min_pause_seconds);
  return std::min(bucket_count - 1, static_cast<std::size_t>(position));
}

void pause_predictor::add(const service_name& service, const std::string& tool, duration pause) {
  histogram& item = this->histograms[{service, tool}];
  for (double& count : item.counts) {
    count *= decay;
  }
  item.total = item.total * decay + 1;
  item.counts.at(bucket_of(pause)) += 1;
}

double pause_predictor::ends_within(const service_name& service, const std::string& tool,
                                    duration time) const {
  const auto found = this->histograms.find({service, tool});
  if (found == this->histograms.end() || found->second.total <= 0) {
    return 0.5;
  }
  double below = 0;
  const std::size_t last = bucket_of(time);
  for (std::size_t at = 0; at < last; ++at) {
    below += found->second.counts.at(at);
  }
  return below / found->second.total;
}

retention pause_predictor::decide(const service_name& service, const std::string& tool,
                                  double prefill_seconds, duration held_for,
                                  double pressure) const {
  const double saved = prefill_seconds * this->ends_within(service, tool, held_for);
  const double lost = pressure * to_seconds(held_for);
  return saved >= lost ? retention::keep : retention::release;
}

}  // namespace hawthornlane
