// Admission of an account's programs at one quota manager.
#include "hawthornlane/limits/active_programs.h"

#include <algorithm>

namespace hawthornlane {
namespace {

/// Decay of the counts per new program. Slow, so that an overload of a few seconds, whose programs
/// are abandoned, does not lower the estimate.
constexpr double decay = 0.99;
/// Programs that must have begun before the estimate is used.
constexpr double min_programs = 5;

}  // namespace

void program_size_estimate::record_start() {
  this->begun = this->begun * decay + 1;
  this->calls = this->calls * decay + 1;
}

double program_size_estimate::mean() const {
  return this->begun < min_programs ? 0 : this->calls / this->begun;
}

double active_programs::needed(double size, double share, timestamp now) const {
  double calls = share * size;
  for (const auto& [name, program] : this->programs) {
    if (now - program.last <= reservation_timeout) {
      calls += std::max(0.0, share * size - program.calls);
    }
  }
  return calls;
}

bool active_programs::contains(program_key program, timestamp now) const {
  const auto found = this->programs.find(program);
  return found != this->programs.end() && now - found->second.last <= admission_timeout;
}

void active_programs::admit(program_key program, timestamp now) {
  this->programs[program] = {1, now};
}

void active_programs::record_call(program_key program, timestamp now) {
  const auto found = this->programs.find(program);
  if (found != this->programs.end()) {
    found->second.last = now;
  }
}

void active_programs::record_grant(program_key program) {
  const auto found = this->programs.find(program);
  if (found != this->programs.end()) {
    found->second.calls += 1;
  }
}

void active_programs::remove_expired(timestamp now) {
  std::erase_if(this->programs,
                [&](const auto& entry) { return now - entry.second.last > admission_timeout; });
}

}  // namespace hawthornlane
