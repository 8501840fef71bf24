// Decides during a planned stop of a front host which calls it still sends to servers, when it ends
// those that remain, and when it may exit. No I/O or clock.
#pragma once

#include <chrono>
#include <cstddef>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// What a stopping host knows of a call. Times are counted from the beginning of the stop.
struct stopping_call {
  /// When its time limit ends.
  duration until{};
  /// How long a server is expected to take for it.
  duration expected_time{};
  /// Its answer is a stream: once that has begun, no other answer can be given.
  bool is_stream = false;
};

/// Rules of a planned stop. Parameter `elapsed`: time since the stop began.
struct shutdown_policy {
  /// Time from the beginning of the stop until the process is killed.
  duration grace{};
  /// How long an address answer is valid.
  duration address_time{};

  /// Callers may keep an address answer for up to three times its validity.
  static constexpr int max_address_age_factor = 3;
  /// This long before the kill all remaining calls are answered, and the host closes its
  /// connections.
  static constexpr duration closing_margin = std::chrono::milliseconds(400);
  /// Servers are given until this long before `closing_margin`, so that their own answers arrive.
  static constexpr duration answer_margin = std::chrono::milliseconds(150);
  /// The host exits at the latest this long before the kill, so that it ends by itself.
  static constexpr duration exit_margin = std::chrono::milliseconds(100);
  /// Calls that arrive within this time before the kill are rejected; callers then use another
  /// host.
  static constexpr duration rejection_window = std::chrono::milliseconds(3200);
  /// For this long after the beginning callers cannot be expected to know of the stop.
  static constexpr duration notice_time = std::chrono::seconds(3);

  [[nodiscard]] bool rejects_calls(duration elapsed) const {
    return elapsed >= this->grace - rejection_window;
  }

  /// Latest time limit that servers are given.
  [[nodiscard]] duration answers_due() const {
    return this->grace - closing_margin - answer_margin;
  }

  /// Whether a call may be sent to a server now. If it takes longer than expected, it is answered
  /// "may have run" when the host closes; a stream would be cut off instead, so after `notice_time`
  /// its time limit has to end before.
  [[nodiscard]] bool may_run(duration elapsed, const stopping_call& call) const {
    if (call.until <= this->answers_due()) {
      return true;
    }
    if (call.is_stream && elapsed >= notice_time) {
      return false;
    }
    return elapsed + call.expected_time <= this->answers_due();
  }

  /// Whether calls that are still in flight have to be answered now.
  [[nodiscard]] bool ends_calls(duration elapsed) const {
    return elapsed >= this->grace - closing_margin;
  }

  /// Whether no caller can still hold an address answer with this host, or calls are rejected.
  [[nodiscard]] bool is_address_expired(duration elapsed) const {
    return elapsed >= this->address_time * max_address_age_factor || this->rejects_calls(elapsed);
  }

  /// Whether the host may accept nothing more and close the connections without a call.
  [[nodiscard]] bool may_close(duration elapsed, std::size_t calls_in_flight) const {
    const bool idle = calls_in_flight == 0;
    return (this->is_address_expired(elapsed) && idle) || this->ends_calls(elapsed);
  }

  /// Whether the process may end, once `may_close` has been true.
  [[nodiscard]] bool may_exit(duration elapsed, std::size_t open_connections) const {
    return open_connections == 0 || elapsed >= this->grace - exit_margin;
  }
};

}  // namespace hawthornlane::front
