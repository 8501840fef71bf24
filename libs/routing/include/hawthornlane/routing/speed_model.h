// What a backend server's speed is, fitted from the calls that ended there.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// One finished call as measured.
struct speed_sample {
  /// Tokens that were prefilled, cached ones left out.
  token_count prefilled{0};
  token_count answered{0};
  duration first_token{};
  duration whole{};
  /// Calls inside the server when this one was sent, itself included.
  std::int64_t batch = 1;
};

/// Prefill time per token, and time between tokens as a line over the batch
/// size, both by exponentially weighted least squares. The idea that completion
/// time under co-located load can be predicted from observed load, and the choice
/// by least predicted completion, are those of TRACON (Chiang and Huang, SC'11);
/// what they bring here is measured in docs/design/policy.md.
class speed_model {
public:
  void add(const speed_sample& sample);
  /// Seconds to prefill that many tokens.
  [[nodiscard]] double prefill_seconds(token_count tokens) const;
  /// Seconds between two tokens with that many calls inside.
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
