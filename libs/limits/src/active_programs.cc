// What one keeper of an account's quota holds back for programs that it let begin.
#include "hawthornlane/limits/active_programs.h"

#include <algorithm>

namespace hawthornlane {
namespace {

/// Of what was counted, at each further program: a rush of some seconds, whose programs break off,
/// must not make them look small.
constexpr double kept_part = 0.99;
/// Programs that must have begun before their size is taken for known.
constexpr double fewest_programs = 5;

}  // namespace

void program_size_estimate::note_begin() {
  this->begun = this->begun * kept_part + 1;
  this->calls = this->calls * kept_part + 1;
}

double program_size_estimate::mean() const {
  return this->begun < fewest_programs ? 0 : this->calls / this->begun;
}

double active_programs::needed(double size, double part, timestamp now) const {
  double calls = part * size;
  for (const auto& [name, program] : this->programs) {
    if (now - program.last <= longest_program_silence) {
      calls += std::max(0.0, part * size - program.calls);
    }
  }
  return calls;
}

bool active_programs::contains(program_key program, timestamp now) const {
  const auto found = this->programs.find(program);
  return found != this->programs.end() && now - found->second.last <= program_memory;
}

void active_programs::begin(program_key program, timestamp now) {
  this->programs[program] = {1, now};
}

void active_programs::note_call(program_key program, timestamp now) {
  const auto found = this->programs.find(program);
  if (found != this->programs.end()) {
    found->second.last = now;
  }
}

void active_programs::note_grant(program_key program) {
  const auto found = this->programs.find(program);
  if (found != this->programs.end()) {
    found->second.calls += 1;
  }
}

void active_programs::forget_ended(timestamp now) {
  std::erase_if(this->programs,
                [&](const auto& entry) { return now - entry.second.last > program_memory; });
}

}  // namespace hawthornlane
