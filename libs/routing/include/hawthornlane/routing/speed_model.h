// Speed of a backend server, fitted to the calls that ended there.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Measurements of one finished call.
struct speed_sample {
  /// Tokens that were prefilled, without cached ones.
  token_count prefilled{0};
  /// Tokens of the answer.
  token_count answered{0};
  /// Time from sending the call to the first token, and to the end of the answer.
  duration first_token{};
  duration whole{};
  /// Calls at the server when this one was sent, including this one.
  std::int64_t batch = 1;
};

/// Models prefill time per token, and time between tokens as a linear function of the batch size,
/// both by exponentially weighted least squares. Predicting completion time under co-located load
/// from observed load follows TRACON (Chiang and Huang, SC'11). So does choosing the server with
/// the least predicted completion time, which is off by default
/// (`policy_features::predicted_choice`); docs/design/policy.md has the measured effect.
class speed_model {
public:
  void add(const speed_sample& sample);
  /// Predicted time to prefill that many tokens, seconds.
  [[nodiscard]] double prefill_seconds(token_count tokens) const;
  /// Predicted time between two tokens with that many calls at the server, seconds.
  [[nodiscard]] double token_seconds(std::int64_t batch) const;

private:
  double per_prefill_token = 1.0 / 8000;
  // Weighted sums for the line token_seconds = base + slope * batch.
  double weight = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
};

}  // namespace hawthornlane
