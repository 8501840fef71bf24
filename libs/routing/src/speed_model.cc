// Online fit of a server's speed.
#include "hawthornlane/routing/speed_model.h"

namespace hawthornlane {
namespace {
constexpr double decay = 0.98;
constexpr double default_token_seconds = 0.020;
constexpr std::int64_t min_prefilled = 256;
}  // namespace

void speed_model::add(const speed_sample& sample) {
  if (sample.prefilled.get() >= min_prefilled) {
    constexpr double share = 0.05;
    const double measured =
        to_seconds(sample.first_token) / static_cast<double>(sample.prefilled.get());
    this->per_prefill_token += share * (measured - this->per_prefill_token);
  }
  if (sample.answered.get() < 2 || sample.whole <= sample.first_token) {
    return;
  }
  const double x = static_cast<double>(sample.batch);
  const double y = to_seconds(sample.whole - sample.first_token) /
                   static_cast<double>(sample.answered.get() - 1);
  this->weight = this->weight * decay + 1;
  this->sum_x = this->sum_x * decay + x;
  this->sum_y = this->sum_y * decay + y;
  this->sum_xx = this->sum_xx * decay + x * x;
  this->sum_xy = this->sum_xy * decay + x * y;
}

double speed_model::prefill_seconds(token_count tokens) const {
  return this->per_prefill_token * static_cast<double>(std::max<std::int64_t>(0, tokens.get()));
}

double speed_model::token_seconds(std::int64_t batch) const {
  if (this->weight < 1) {
    return default_token_seconds;
  }
  const double mean_x = this->sum_x / this->weight;
  const double mean_y = this->sum_y / this->weight;
  const double variance = this->sum_xx / this->weight - mean_x * mean_x;
  constexpr double min_variance = 0.5;
  if (variance < min_variance) {
    return mean_y;
  }
  const double slope = std::max(0.0, (this->sum_xy / this->weight - mean_x * mean_y) / variance);
  return std::max(mean_y / 4, mean_y + slope * (static_cast<double>(batch) - mean_x));
}

}  // namespace hawthornlane
