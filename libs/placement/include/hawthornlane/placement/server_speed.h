// Estimates the speed of a backend server from the times of calls at it. No I/O, clock or
// randomness.
//
// It is built for services whose servers differ in speed by a factor of 2.5, and where each server
// is temporarily slower by such a factor for some tenths of a second. All speeds are natural
// logarithms of slowdown factors: 0 is typical, 0.7 is twice as slow.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Priors of the speed estimates, and decay times of samples.
struct speed_rules {
  /// Variance of log(slowdown) between servers; 0.25 is a standard deviation of a factor of 1.6. A
  /// sample from a kind of call with this variance has weight 1, the weight of the prior.
  double server_variance = 0.25;
  /// Variance of log(slowdown) of one server over time, by temporary slowdowns: it is 2.5 times
  /// slower for a seventh of the time.
  double temporary_variance = 0.1;
  /// Decay time of the lasting slowdown: the weight of a sample falls by a factor of e in this
  /// time. A host has about one call per two seconds at each of 45 servers, so its own estimate is
  /// based on about ten calls.
  duration lasting_decay_time = std::chrono::seconds(15);
  /// Decay time of the temporary slowdown: half of its typical duration of 600 ms.
  duration temporary_decay_time = std::chrono::milliseconds(300);
  /// Upper bound of the weight of a host's own estimate, and of the weight of the other hosts'
  /// mean. Without new calls an estimate thus halves within 70 s = 15 s * ln(100): the sum of both
  /// weights, at most 100, has then decayed to 1, the weight of the prior.
  double max_weight = 50;
};

/// One call's time, compared with the time of similar calls.
struct slowdown_sample {
  /// Logarithm of the ratio of the two times.
  double log_ratio = 0;
  double weight = 0;
};

/// One host's estimate of a server's speed, or the mean of several hosts' estimates. Takes 8 bytes
/// in messages between hosts.
struct speed_estimate {
  /// Lasting slowdown in thousandths of a logarithm, and its weight in eighths.
  std::int16_t slow = 0;
  std::uint16_t slow_weight = 0;
  /// Temporary slowdown: the current deviation from the lasting one, in the same units.
  std::int16_t fast = 0;
  std::uint16_t fast_weight = 0;

  [[nodiscard]] bool empty() const { return this->slow_weight == 0 && this->fast_weight == 0; }
  friend bool operator==(const speed_estimate&, const speed_estimate&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->slow, this->slow_weight, this->fast, this->fast_weight);
  }
};

/// A weighted mean whose weight decays exponentially.
class decaying_mean {
public:
  decaying_mean() = default;
  decaying_mean(double mean, double weight, timestamp updated_at)
      : value(mean), weight(weight), updated_at(updated_at) {}

  void add(double sample, double sample_weight, duration decay_time, timestamp now);
  [[nodiscard]] double mean() const { return this->value; }
  /// The weight at `now`. It is capped at `upper_bound` before it decays, so that a mean of many
  /// samples is forgotten as soon as one of few.
  [[nodiscard]] double weight_at(double upper_bound, duration decay_time, timestamp now) const;

private:
  [[nodiscard]] double decayed(double from, duration decay_time, timestamp now) const;

  double value = 0;
  double weight = 0;
  timestamp updated_at{};
};

/// Speed estimate of one incarnation of a server.
class server_speed {
public:
  /// Adds a sample from a call of this host.
  void add_sample(const slowdown_sample& sample, const speed_rules& rules, timestamp now);
  /// Sets the mean of other hosts' estimates. It replaces the previous one, and is never part of
  /// what this host reports.
  void set_remote_estimate(const speed_estimate& word, timestamp now);
  /// Estimate from this host's own calls only.
  [[nodiscard]] speed_estimate own_estimate(const speed_rules& rules, timestamp now) const;
  /// Lasting slowdown of the server.
  [[nodiscard]] double lasting(const speed_rules& rules, timestamp now) const;
  /// Slowdown to expect for a call that is sent now: the lasting and the temporary one together.
  [[nodiscard]] double expected(const speed_rules& rules, timestamp now) const;
  /// Weight of the samples behind the lasting slowdown; 1 is the weight of the prior.
  [[nodiscard]] double weight(const speed_rules& rules, timestamp now) const;

private:
  decaying_mean own_lasting;
  decaying_mean own_temporary;
  decaying_mean remote_lasting;
  decaying_mean remote_temporary;
};

/// Weighted mean of the estimates that several hosts have reported.
class speed_mean {
public:
  void add(const speed_estimate& word, duration age, const speed_rules& rules);
  [[nodiscard]] speed_estimate word(const speed_rules& rules) const;

private:
  struct decayed_sum {
    /// Sum of the reported values, each multiplied by its decayed weight.
    double log_ratios = 0;
    double decayed_weight = 0;
    /// Sum of the weights as reported, without decay.
    double whole = 0;

    void add(double log_ratio, double weight, double decay);
    /// The decayed weight of the mean; the reported weight is capped at `upper_bound` before it
    /// decays.
    [[nodiscard]] double weight(double upper_bound) const;
  };

  decayed_sum lasting;
  decayed_sum temporary;
};

/// Which part of a call was timed: up to the first event of its answer, or all of it.
enum class timed_part : std::uint8_t { first_event, whole };

/// Current typical time of each kind of call, over all servers of a service.
class typical_times {
public:
  /// Returns how much slower the call was than is typical for its kind, or nullopt while too few
  /// calls of the kind are known. Also updates the typical time. `load_slowdown`: expected slowdown
  /// by the server's load, a factor. `expected`: estimated slowdown of the server itself, as a
  /// logarithm.
  std::optional<slowdown_sample> compare(std::uint64_t kind, timed_part part, duration took,
                                         double load_slowdown, double expected,
                                         const speed_rules& rules);

private:
  /// Statistics of the logarithm of the time in seconds.
  struct kind_times {
    std::uint32_t calls = 0;
    double mean = 0;
    double variance = 1;
  };
  std::map<std::pair<std::uint64_t, timed_part>, kind_times> kinds;
  /// Logarithm of the recent slowdown of all calls, which must not be attributed to any server.
  double common_slowdown = 0;
};

}  // namespace hawthornlane
