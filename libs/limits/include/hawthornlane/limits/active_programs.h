// Admission of an account's programs at one quota manager: calls reserved for programs in progress.
// No I/O, clock or randomness.
//
// An account may send 6.6 times its usual load, in programs of 4 to 70 calls. With a plain token
// bucket nearly every program then gets some calls and few get all, and the calls of an abandoned
// program are wasted. So a program is admitted only if the bucket holds enough calls for it in
// addition to those reserved for programs in progress.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Identifies a program of an account: a hash of its name.
using program_key = strong_value<struct program_key_tag, std::uint64_t>;

/// Calls are reserved for a program only while it makes calls at least this often. A program makes
/// calls until it ends, except while its tools run.
constexpr duration reservation_timeout = std::chrono::seconds(2);
/// A program that makes another call within this time counts as admitted: turns and tools may take
/// several seconds.
constexpr duration admission_timeout = std::chrono::seconds(15);

/// Estimates the number of calls per program, over all accounts of a quota manager. The manager
/// that admits a program is the first to be asked for each of its calls, so it counts all of them,
/// whichever manager grants them.
class program_size_estimate {
public:
  void record_start();
  /// A program that was counted by `record_start` asks for another call.
  void record_call() { this->calls += 1; }
  /// Calls per program; 0 until enough programs have begun.
  [[nodiscard]] double mean() const;

private:
  /// Exponentially decayed counts.
  double begun = 0;
  double calls = 0;
};

/// The programs of one account that one quota manager has admitted.
class active_programs {
public:
  /// Calls that the manager's bucket must hold to admit another program: the manager's share of a
  /// whole program, and of the calls that the programs in progress have yet to make. `size`: calls
  /// of a whole program. `share`: the manager's share, 0 to 1.
  [[nodiscard]] double needed(double size, double share, timestamp now) const;
  [[nodiscard]] bool contains(program_key program, timestamp now) const;
  /// The manager has granted a program's first call.
  void admit(program_key program, timestamp now);
  /// An admitted program asks for another call.
  void record_call(program_key program, timestamp now);
  /// An admitted program was granted another call.
  void record_grant(program_key program);
  void remove_expired(timestamp now);
  [[nodiscard]] bool empty() const { return this->programs.empty(); }

private:
  struct program_progress {
    double calls = 1;
    timestamp last{};
  };

  std::unordered_map<program_key, program_progress> programs;
};

}  // namespace hawthornlane
