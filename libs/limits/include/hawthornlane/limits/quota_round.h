// Which quota managers are asked for one call, and what follows from their responses. No I/O, clock
// or randomness.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "hawthornlane/limits/quota_messages.h"

namespace hawthornlane {

enum class quota_decision : std::uint8_t {
  undecided,
  granted,
  /// No manager granted the call, and at least one refused it.
  over_limit,
  /// No manager granted or refused the call: each failed or responded `not_kept`.
  unknown,
};

/// The requests for one call. Managers are numbered from 0 in the order in which they are asked.
class quota_round {
public:
  explicit quota_round(std::size_t managers) : count(managers) {}

  /// Returns the next manager and counts it as asked; empty when all have been asked.
  std::optional<std::size_t> ask_next() {
    if (this->asked == this->count) {
      return std::nullopt;
    }
    return this->asked++;
  }
  /// The response of a manager that was asked. Each of them responds once, or fails.
  void answered(const quota_response& answer) {
    ++this->ended;
    if (answer.outcome == quota_outcome::granted) {
      this->is_granted = true;
    }
    if (answer.outcome == quota_outcome::refused) {
      this->earliest_retry =
          std::min(this->earliest_retry.value_or(answer.retry_after), answer.retry_after);
    }
  }
  /// No response will come from a manager that was asked.
  void failed() { ++this->ended; }

  /// A manager that was asked may still respond.
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
  /// The decision from the responses so far, when there is no time for more.
  [[nodiscard]] quota_decision final_decision() const {
    if (this->is_granted) {
      return quota_decision::granted;
    }
    return this->earliest_retry ? quota_decision::over_limit : quota_decision::unknown;
  }
  /// The shortest time after which a manager can grant the call, counted from its response; zero
  /// when no manager refused.
  [[nodiscard]] duration retry_after() const {
    return this->earliest_retry.value_or(duration::zero());
  }

private:
  // Invariant: ended <= asked <= count.
  std::size_t count;
  std::size_t asked = 0;
  std::size_t ended = 0;
  bool is_granted = false;
  std::optional<duration> earliest_retry;
};

}  // namespace hawthornlane
