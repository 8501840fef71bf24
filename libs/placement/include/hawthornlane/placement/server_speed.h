// How fast a backend server is, by the times of calls at it. No I/O, clock or randomness.
//
// Answers a load at which the servers of one service differ by 2.5 times, and each of them is
// that much slower for some tenths of a second at times. All speeds are logarithms of factors:
// 0 is as usual, 0.7 twice as slow.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// What is believed of servers before any call, and for how long calls count.
struct speed_rules {
  /// How much servers differ, as a variance of the logarithm of their factors: 1.6 either way.
  /// A sample of this variance weighs 1, as much as knowing nothing does.
  double server_variance = 0.25;
  /// The same of how much a server differs from itself for a short time: 2.5 times slower for
  /// a seventh of the time.
  double spell_variance = 0.1;
  /// Samples fade by a factor of e in this time. A host has about one call in two seconds at
  /// each of 45 servers, so its own word rests on some ten calls.
  duration slow_fading = std::chrono::seconds(15);
  /// Half of a short slowness of 600 ms.
  duration fast_fading = std::chrono::milliseconds(300);
  /// A host's own word and the mean of the others' weigh at most this much each, so that
  /// without calls half of a belief is forgotten in 70 s, 15 s times the logarithm of both.
  double most_weight = 50;
};

/// One call's time, compared with what such calls take.
struct server_speed_sample {
  double pace = 0;
  double weight = 0;
};

/// What one host believes of a server, or the mean of what several do; 8 bytes between hosts.
struct speed_word {
  /// Thousandths of a logarithm, and eighths of a weight.
  std::int16_t slow = 0;
  std::uint16_t slow_weight = 0;
  /// How the server differs from `slow` at the moment.
  std::int16_t fast = 0;
  std::uint16_t fast_weight = 0;

  [[nodiscard]] bool empty() const { return this->slow_weight == 0 && this->fast_weight == 0; }
  friend bool operator==(const speed_word&, const speed_word&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->slow, this->slow_weight, this->fast, this->fast_weight);
  }
};

/// A weighted mean whose weight fades.
class fading_mean {
public:
  fading_mean() = default;
  fading_mean(double mean, double weight, timestamp renewed)
      : value(mean), weight(weight), renewed(renewed) {}

  void add(double sample, double by, duration fading, timestamp now);
  [[nodiscard]] double mean() const { return this->value; }
  /// What fades is `most` at most: a mean of many samples is forgotten as soon as one of few.
  [[nodiscard]] double weight_at(double most, duration fading, timestamp now) const;

private:
  [[nodiscard]] double faded(double from, duration fading, timestamp now) const;

  double value = 0;
  double weight = 0;
  timestamp renewed{};
};

/// The belief about one incarnation of a server.
class server_speed {
public:
  /// A call of this host ended.
  void note(const server_speed_sample& sample, const speed_rules& rules, timestamp now);
  /// The mean of what other hosts believe; it takes the place of what was heard before, and is
  /// never part of what this host tells.
  void hear(const speed_word& word, timestamp now);
  /// What this host's own calls say.
  [[nodiscard]] speed_word own_word(const speed_rules& rules, timestamp now) const;
  /// What the server is.
  [[nodiscard]] double slow(const speed_rules& rules, timestamp now) const;
  /// What a call that is sent now has to expect.
  [[nodiscard]] double expected(const speed_rules& rules, timestamp now) const;
  /// What the belief about what the server is rests on; 1 weighs as much as knowing nothing.
  [[nodiscard]] double weight(const speed_rules& rules, timestamp now) const;

private:
  fading_mean own_slow;
  fading_mean own_fast;
  fading_mean told_slow;
  fading_mean told_fast;
};

/// The mean of words that several hosts have told.
class speed_mean {
public:
  void add(const speed_word& word, duration age, const speed_rules& rules);
  [[nodiscard]] speed_word word(const speed_rules& rules) const;

private:
  struct faded_sum {
    /// Of paces by their faded weights, of those weights, and of the weights as they were told.
    double slowdowns = 0;
    double faded = 0;
    double whole = 0;

    void add(double pace, double weight, double fading);
    /// What it counts for, `most` at most before it fades.
    [[nodiscard]] double weight(double most) const;
  };

  faded_sum slow;
  faded_sum fast;
};

/// What was measured of a call.
enum class timed_part : std::uint8_t { first_event, whole };

/// What such calls take at all servers of a service at present.
class typical_times {
public:
  /// Compares a call's time with the usual one. `load` is how many times longer than alone a
  /// call takes at the load that the server had, `expected` what was believed of its speed.
  /// Nothing while too few calls of the kind are known.
  std::optional<server_speed_sample> compare(std::uint64_t kind, timed_part part, duration took,
                                             double load, double expected,
                                             const speed_rules& rules);

private:
  /// Of the logarithm of seconds.
  struct kind_times {
    std::uint32_t calls = 0;
    double mean = 0;
    double variance = 1;
  };
  std::map<std::pair<std::uint64_t, timed_part>, kind_times> kinds;
  /// Of late all calls took so much longer; no server is slower than others for it.
  double common = 0;
};

}  // namespace hawthornlane
