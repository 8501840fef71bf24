// Which keepers of quotas are asked for one call, and what their answers say. No I/O, clock or
// randomness.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "hawthornlane/limits/quota_messages.h"

namespace hawthornlane {

enum class quota_decision : std::uint8_t {
  undecided,
  granted,
  /// All keepers that answer have given out their parts.
  over_limit,
  /// No keeper answers.
  unknown,
};

/// The questions for one call. Keepers are known by their place in the order in which they are
/// asked, 0 first.
class quota_round {
public:
  explicit quota_round(std::size_t keepers) : count(keepers) {}

  /// The next keeper, which counts as asked from now on; nothing when all were.
  std::optional<std::size_t> ask_next() {
    if (this->asked == this->count) {
      return std::nullopt;
    }
    return this->asked++;
  }
  /// The answer of a keeper that was asked; each gives one, or fails.
  void answered(const quota_response& answer) {
    ++this->ended;
    if (answer.outcome == quota_outcome::granted) {
      this->is_granted = true;
    }
    if (answer.outcome == quota_outcome::refused) {
      this->soonest = std::min(this->soonest.value_or(answer.retry_after), answer.retry_after);
    }
  }
  /// No answer will come.
  void failed() { ++this->ended; }

  /// Some keeper was asked and may still answer.
  [[nodiscard]] bool waits() const { return this->ended < this->asked; }
  [[nodiscard]] quota_decision decision() const {
    if (this->is_granted) {
      return quota_decision::granted;
    }
    if (this->ended < this->count) {
      return quota_decision::undecided;
    }
    return this->final_decision();
  }
  /// What the answers so far say when there is no time for more.
  [[nodiscard]] quota_decision final_decision() const {
    if (this->is_granted) {
      return quota_decision::granted;
    }
    return this->soonest ? quota_decision::over_limit : quota_decision::unknown;
  }
  /// The earliest moment, from the answers on, at which a keeper has room.
  [[nodiscard]] duration retry_after() const { return this->soonest.value_or(duration::zero()); }

private:
  // Invariant: ended <= asked <= count.
  std::size_t count;
  std::size_t asked = 0;
  std::size_t ended = 0;
  bool is_granted = false;
  std::optional<duration> soonest;
};

}  // namespace hawthornlane
