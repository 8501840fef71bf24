// Health of a backend server, judged by the outcomes and times of one host's calls to it. No I/O,
// clock or randomness.
#pragma once

#include <cstdint>
#include <map>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Result of a call to a server, as far as it matters for the server's health.
enum class server_outcome : std::uint8_t {
  answered,
  /// The server answered with an error of its own.
  error_answer,
  refused,
  failed,
  unreachable,
  caller_left
};

/// Conditions under which a server is excluded or degraded, and for how long.
struct health_rules {
  /// Duration of the first exclusion; doubles with each further failure up to `longest_exclusion`.
  duration first_exclusion = std::chrono::milliseconds(250);
  duration longest_exclusion = std::chrono::seconds(4);
  /// Consecutive failures that exclude a server; a single lost answer can have other causes.
  std::uint32_t failures_to_exclude = 2;
  /// Weight of a new outcome in the moving average of the failure rate.
  double newest_weight = 0.25;
  /// Variance of log(call time) between servers; 0.25 is a standard deviation of a factor of 1.6.
  /// The weight of a sample is server_variance / (server_variance + variance of its kind of call):
  /// a first event that is four times too late says much about a server, a job of unknown length
  /// little.
  double server_variance = 0.25;
  /// Logarithm of the slowdown above which a server is degraded: three times the usual time.
  /// Servers that became slow took at least four times as long, while a long queue seldom
  /// causes a factor of three.
  double degraded_log_ratio = 1.1;
  /// Failure rate above which a server is degraded: two failures in a row, or two of three calls.
  /// Healthy servers fail about 1 in 500 calls.
  double degraded_failure_rate = 0.35;
  /// Estimates decay by a factor of e in this time, so that a degraded server is tried again.
  /// Faults of servers lasted 4 to 7 s.
  duration decay_time = std::chrono::seconds(4);
};

/// One call's time compared with that of similar calls.
struct time_sample {
  /// Logarithm of the ratio of the call's time to the time that such a call takes at present.
  double log_ratio = 0;
  /// Variance of this logarithm among calls of the same kind.
  double variance = 1;
};

/// Typical time of each kind of call at the servers of one service, and the current deviation from
/// it that all servers have in common.
class baseline_times {
public:
  /// Compares `took` with the time that such a call takes at present, and updates the typical time.
  /// If `lower_bound` is set, the call is still pending and `took` is its time so far: a short time
  /// then says nothing (log_ratio 0), and the typical time is not updated.
  time_sample compare(std::uint64_t kind, duration took, bool lower_bound);

private:
  /// Statistics of the logarithm of the time in seconds.
  struct kind_times {
    double mean = 0;
    double variance = 1;
  };
  std::map<std::uint64_t, kind_times> baselines;
  /// Logarithm of the recent slowdown of all calls. Under overload every server is slow, and no
  /// server may be degraded for that.
  double common_slowdown = 0;
};

/// Health of one server.
class server_health {
public:
  /// Records the outcome of a call.
  void record_outcome(server_outcome outcome, const health_rules& rules, timestamp now);
  /// Records the time of a call.
  void record_time(const time_sample& sample, const health_rules& rules, timestamp now);
  /// Records the time so far of a call that has not been answered yet. This can only raise the
  /// estimated slowdown: the server is at least that slow while the call is pending.
  void record_pending_time(const time_sample& sample, const health_rules& rules, timestamp now);

  /// True while the server must not get any calls.
  [[nodiscard]] bool excluded(timestamp now) const { return this->excluded_until > now; }
  /// True if the server is slower or fails more often than others. It is used only if no other
  /// server is available.
  [[nodiscard]] bool degraded(const health_rules& rules, timestamp now) const;

private:
  /// An estimate that decays from the time of its last update.
  struct decaying_estimate {
    double value = 0;
    timestamp updated_at{};

    [[nodiscard]] double at(const health_rules& rules, timestamp now) const;
    /// True if the decayed value exceeds `bound`. For most servers this needs no exponential.
    [[nodiscard]] bool exceeds(double bound, const health_rules& rules, timestamp now) const;
    void update(double sample, double weight, const health_rules& rules, timestamp now);
  };

  decaying_estimate slowdown;
  decaying_estimate faults;
  std::uint32_t failures = 0;
  timestamp excluded_until{};
};

}  // namespace hawthornlane
