// What one keeper of an account's quota holds back for programs that it let begin. No I/O, clock or
// randomness.
//
// Load: an account asks for 6.6 times its usual, in programs of 4 to 70 calls. By a plain bucket
// nearly every program gets some calls and few get all; a program that breaks off was served for
// nothing. So a program begins only when the bucket has room for it beside those under way.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A program of an account; a hash of its name.
using program_key = strong_value<struct program_key_tag, std::uint64_t>;

/// A program makes calls until it ends, pauses of its tools apart; for one that is silent for
/// longer nothing is held back.
constexpr duration longest_program_silence = std::chrono::seconds(2);
/// One that asks again within this time goes on: turns and tools may take several seconds.
constexpr duration program_memory = std::chrono::seconds(15);

/// How many calls a program makes, over all accounts of a keeper. A keeper is the first to be asked
/// for each call of the programs that begin at it, so that it learns the size of whole programs,
/// wherever their calls are granted.
class program_size_estimate {
public:
  void note_begin();
  /// A program whose beginning was noted asks for another call.
  void note_call() { this->calls += 1; }
  /// Calls; 0 as long as too few programs have begun.
  [[nodiscard]] double mean() const;

private:
  /// Counts in which newer ones weigh more.
  double begun = 0;
  double calls = 0;
};

/// The programs of one account that began at one keeper.
class active_programs {
public:
  /// Calls that the keeper's bucket has to hold for another program to begin: its part of what a
  /// program makes, and of what those under way are still to make. `size`: of a whole program.
  [[nodiscard]] double needed(double size, double part, timestamp now) const;
  [[nodiscard]] bool contains(program_key program, timestamp now) const;
  /// The keeper has granted a program's first call.
  void begin(program_key program, timestamp now);
  /// A program that began here asks for another call.
  void note_call(program_key program, timestamp now);
  /// The keeper has granted that.
  void note_grant(program_key program);
  void forget_ended(timestamp now);
  [[nodiscard]] bool empty() const { return this->programs.empty(); }

private:
  struct under_way {
    double calls = 1;
    timestamp last{};
  };

  std::unordered_map<program_key, under_way> programs;
};

}  // namespace hawthornlane
