// What a shard core asks its host to do.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/ownership/assignment.h"
#include "hawthornlane/ownership/messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Names one call inside one host process.
using call_id = strong_value<struct call_id_tag, std::uint64_t>;

/// Deliver a message; loss, delay, reordering and duplication are all allowed.
struct send_message {
  host_incarnation to;
  shard_message message;
};

/// Write `desired` to the shard map if the entry still equals `expected`.
struct propose_assignment {
  assignment expected;
  assignment desired;
};

/// Send the call to its backend server, but not outside the two moments.
struct dispatch_call {
  call_id call;
  intent_logged intent;
  /// A new owner lets the sends of the former one pass first.
  timestamp not_before;
  /// Later than this the send has to be confirmed: `shard_core::may_send`.
  timestamp send_by;
};

/// Everything that a caller is told about a call or a program.
struct call_answer {
  /// Absent: the call's answer is kept and stands in `turn`.
  std::optional<error_kind> error;
  std::string detail;
  std::optional<finished_turn> turn;
  /// The ticket for the next call; absent when none can be given.
  std::optional<ticket> next;
  /// Digest of the history that `next` continues.
  std::uint64_t digest = 0;
  /// Hosts that hold the answer, the owner counted.
  std::uint32_t copies = 0;
  token_count budget_left{0};
  /// Whether this is an answer that was kept earlier.
  bool replayed = false;
};

/// Answer a caller.
struct answer_call {
  call_id call;
  call_answer answer;
};

/// This host began or stopped to serve the shard; for logs, audit and metrics.
struct role_changed {
  enum class change : std::uint8_t {
    serving,
    serving_incomplete,
    completed,
    deposed,
    degraded,
    restored
  };
  change what = change::serving;
  epoch at;
};

/// Engine memory that the program holds is to be given back.
struct release_program {
  program_id program;
};

using action = std::variant<send_message, propose_assignment, dispatch_call, answer_call,
                            role_changed, release_program>;
using actions = std::vector<action>;

}  // namespace hawthornlane
