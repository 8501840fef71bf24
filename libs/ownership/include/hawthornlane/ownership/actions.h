// Actions that a shard core returns and its host carries out.
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

/// Identifies a call within one host process.
using call_id = strong_value<struct call_id_tag, std::uint64_t>;

/// Send a message. It may be lost, delayed, reordered or duplicated.
struct send_message {
  host_incarnation to;
  shard_message message;
};

/// Write `desired` to the shard map if the entry still equals `expected` (compare-and-swap).
struct propose_assignment {
  assignment expected;
  assignment desired;
};

/// Send the call to its backend server, not before `not_before` and not after `send_by`.
struct dispatch_call {
  call_id call;
  intent_logged intent;
  /// Before this time, after a takeover, the former owner may still be sending a call of the
  /// program.
  timestamp not_before;
  /// After this time the send needs a new confirmation; see `shard_core::may_send`.
  timestamp send_by;
};

/// The answer to a caller's request about a call or a program.
struct call_answer {
  /// Absent on success; for a call, `turn` then holds the stored answer.
  std::optional<error_kind> error;
  std::string detail;
  std::optional<finished_turn> turn;
  /// The ticket for the next call; absent when none can be issued.
  std::optional<ticket> next;
  /// Digest of the history that `next` continues.
  std::uint64_t digest = 0;
  /// Number of hosts that hold the answer, including the owner.
  std::uint32_t copies = 0;
  token_count budget_left{0};
  /// Whether the answer was stored earlier and is only repeated here.
  bool replayed = false;
};

/// Answer a caller.
struct answer_call {
  call_id call;
  call_answer answer;
};

/// This host's role or its replication of the shard changed; for logs, audit and metrics.
struct role_changed {
  enum class change : std::uint8_t {
    serving,
    /// Serves, but calls of earlier epochs may be missing in its log.
    serving_incomplete,
    /// The last missing replica of the former owner is sealed and the log is complete from
    /// `first_complete_epoch` of the former owner's log on.
    completed,
    deposed,
    /// Some replica has lacked records for longer than `replica_silence`; results do not wait for
    /// it.
    degraded,
    /// No replica lacks records for that long any more.
    restored
  };
  change what = change::serving;
  epoch at;
};

/// Release the engine memory that the program holds.
struct release_program {
  program_id program;
};

using action = std::variant<send_message, propose_assignment, dispatch_call, answer_call,
                            role_changed, release_program>;
using actions = std::vector<action>;

}  // namespace hawthornlane
