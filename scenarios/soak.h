// Long randomised runs of real shard cores on virtual time, with invariants checked
// after every step.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "hawthornlane/ownership/rules.h"

namespace hawthornlane::soak {

struct soak_parameters {
  std::uint64_t seed = 1;
  std::uint64_t steps = 10'000;
  std::size_t hosts = 5;
  ownership_rules rules;
  /// Prints the main events, to trace a failing seed.
  bool trace = false;
};

/// Counts and result of a run.
struct soak_report {
  std::uint64_t steps = 0;
  std::uint64_t calls = 0;
  std::uint64_t dispatched = 0;
  std::map<std::string, std::uint64_t> faults;
  std::map<std::string, std::uint64_t> answers;
  /// The first violation and the step that detected it; empty if there was none.
  std::string violation;
  std::uint64_t violation_step = 0;
};

soak_report run(const soak_parameters& parameters);

}  // namespace hawthornlane::soak
