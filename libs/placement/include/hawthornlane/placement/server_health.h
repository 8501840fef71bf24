// What the calls of one host say about a backend server. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <map>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// How a call at a server ended, as it bears on the server's health.
enum class server_outcome : std::uint8_t {
  answered,
  /// Answered with a failure of the server's own.
  error_answer,
  refused,
  failed,
  unreachable,
  caller_left
};

/// When a server is left out, and for how long.
struct health_rules {
  /// First exclusion after a failure; doubles up to the longest.
  duration first_exclusion = std::chrono::milliseconds(250);
  duration longest_exclusion = std::chrono::seconds(4);
  /// Consecutive failures that exclude a server; one lost answer is no sign.
  std::uint32_t failures_to_exclude = 2;
  /// Part of a new outcome in the belief about failures.
  double newest_part = 0.25;
  /// How much servers differ from each other, as a variance of the logarithm of their
  /// times: a factor of 1.6 either way. Against it stands how much calls of one kind
  /// differ, which is measured: one first event that comes four times too late says
  /// much, a job of unknown length little.
  double server_variance = 0.25;
  /// A server that takes three times the usual time is doubted; the logarithm of that.
  /// Servers that turn slow were seen to take four times as long and more, while a long
  /// queue seldom makes it three.
  double doubted_pace = 1.1;
  /// A server that fails this part of its calls is doubted: two failures in a row, or
  /// two in three. Servers fail about 1 in 500 when nothing is wrong.
  double doubted_faults = 0.35;
  /// Beliefs fade by a factor of e in this time, so that a doubted server is tried
  /// again; troubles of servers were seen to last 4 to 7 s.
  duration fading = std::chrono::seconds(4);
};

/// One time as it bears on a server.
struct pace_sample {
  /// Logarithm of the time in parts of what such a call takes at present.
  double pace = 0;
  /// Variance of that among calls of the same kind.
  double variance = 1;
};

/// What is usual for each kind of call at the servers of one service, and how far all
/// of them are from it at present.
class usual_times {
public:
  /// Compares `took` with the time that such a call takes at present, which follows. A time that is
  /// only a lower bound says nothing when it is shorter.
  pace_sample compare(std::uint64_t kind, duration took, bool lower_bound);

private:
  /// Of the logarithm of seconds.
  struct kind_times {
    double mean = 0;
    double variance = 1;
  };
  std::map<std::uint64_t, kind_times> usual;
  /// Of late, all calls took so much longer than usual; a logarithm as well. Under
  /// overload every server is slow, and none of them is to be doubted for it.
  double common = 0;
};

/// The belief about one server.
class server_health {
public:
  void note(server_outcome outcome, const health_rules& rules, timestamp now);
  void note_pace(const pace_sample& sample, const health_rules& rules, timestamp now);
  /// A call that is still waited for has taken so long already: the server is at least
  /// that slow, for as long as the call is under way.
  void hold_pace(const pace_sample& sample, const health_rules& rules, timestamp now);

  /// It gets nothing at all for now.
  [[nodiscard]] bool excluded(timestamp now) const { return this->excluded_until > now; }
  /// Slower than others, or failing more often: it is used only when no other is left.
  [[nodiscard]] bool doubted(const health_rules& rules, timestamp now) const;

private:
  /// A belief fades from the moment at which it was last renewed.
  struct belief {
    double value = 0;
    timestamp renewed{};

    [[nodiscard]] double at(const health_rules& rules, timestamp now) const;
    /// The same as a comparison, which for most servers needs no exponential function.
    [[nodiscard]] bool exceeds(double bound, const health_rules& rules, timestamp now) const;
    void renew(double sample, double weight, const health_rules& rules, timestamp now);
  };

  belief slowness;
  belief faults;
  std::uint32_t failures = 0;
  timestamp excluded_until{};
};

}  // namespace hawthornlane
