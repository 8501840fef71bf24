// How long programs pause, and whether their prefixes are worth keeping meanwhile.
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

/// A histogram of pauses per (service, tool), in buckets of a factor of two from
/// 10 ms; old pauses fade.
class pause_predictor {
public:
  void add(const service_name& service, const std::string& tool, duration pause);
  /// The share of pauses like this one that end within `time`.
  [[nodiscard]] double ends_within(const service_name& service, const std::string& tool,
                                   duration time) const;
  /// Keeps the prefix when the computing that it is expected to save within the
  /// time that the server would hold it anyway is worth the memory it takes from
  /// others. `pressure` is the seconds of others' prefill lost per second in which
  /// these tokens are held.
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
