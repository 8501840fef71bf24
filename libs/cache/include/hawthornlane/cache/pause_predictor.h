// Predicts how long programs pause, and whether to keep their prefixes meanwhile.
#pragma once

#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// What to do with a pausing program's prefix.
enum class retention : std::uint8_t { keep, release };

/// Histograms of pauses per service and tool, in buckets that double from 10 ms. Older pauses have
/// exponentially less weight.
class pause_predictor {
public:
  void add(const service_name& service, const std::string& tool, duration pause);
  /// Fraction of such pauses that end within `time`.
  [[nodiscard]] double ends_within(const service_name& service, const std::string& tool,
                                   duration time) const;
  /// Decides to keep the prefix if the prefill time that is expected to be saved by holding it for
  /// `held_for` is at least the prefill time that other programs lose because of its memory.
  /// `pressure`: seconds of other programs' prefill lost per second for which the prefix is held.
  [[nodiscard]] retention decide(const service_name& service, const std::string& tool,
                                 double prefill_seconds, duration held_for, double pressure) const;

private:
  static constexpr std::size_t bucket_count = 32;
  struct histogram {
    std::array<double, bucket_count> counts{};
    double total = 0;
  };
  static std::size_t bucket_of(duration pause);
  std::map<std::pair<service_name, std::string>, histogram> histograms;
};

}  // namespace hawthornlane
