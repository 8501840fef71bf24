// Messages that the hosts of one shard exchange.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "hawthornlane/program/shard_state.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// A new owner asks a host to reject all epochs below `at` from now on and to return its log.
struct seal_request {
  epoch at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at);
  }
};

/// A host's copy of a shard's log, as the state that its records lead to.
struct log_snapshot {
  /// Epoch and position of the last record. The log of each epoch starts at index 1 with
  /// the state that the owner installs.
  epoch at;
  record_index last;
  /// The last position that every replica is known to hold.
  record_index full;
  shard_state state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->last, this->full, this->state);
  }
};

/// Answer to `seal_request`.
struct seal_reply {
  epoch at;
  /// False when the host has seen a higher epoch.
  bool granted = false;
  /// The host's copy of the log; absent when it has none.
  std::optional<log_snapshot> log;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->granted, this->log);
  }
};

/// The owner replaces the log copy of a sealed host by its own.
struct install_request {
  log_snapshot log;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->log);
  }
};

/// The owner appends one record. Without `record` it only asks whether the replica still accepts
/// records of epoch `at`.
struct append_request {
  epoch at;
  record_index index;
  record_index full;
  std::optional<log_record> record;
  /// Number of the confirmation that the owner asks for; 0: none. The reply returns it, so that the
  /// owner can tell the reply from an earlier one.
  std::uint64_t confirmation_number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->index, this->full, this->record, this->confirmation_number);
  }
};

/// Answer to `install_request` and `append_request`.
struct append_reply {
  epoch at;
  /// Whether the host still accepts records of epoch `at`.
  bool accepted = false;
  /// Position of the last record of epoch `at` that the host holds; 0 when it holds none.
  record_index last;
  /// The highest epoch that the host has seen.
  epoch highest;
  std::uint64_t confirmation_number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->accepted, this->last, this->highest, this->confirmation_number);
  }
};

/// A former owner forwards the result of a call that it dispatched before it was deposed.
struct late_result {
  turn_finished result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->result);
  }
};

/// Answer to `late_result`, sent when the result is stored or is known not to be storable.
struct late_result_reply {
  program_id program;
  ticket call_ticket;
  bool kept = false;
  std::uint32_t copies = 0;
  /// Ticket for the caller's next call, which runs at the new owner.
  std::optional<ticket> next;
  std::uint64_t digest = 0;
  token_count budget_left{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->call_ticket, this->kept, this->copies, this->next, this->digest,
            this->budget_left);
  }
};

/// An owner that is about to stop asks a replica to take the shard over immediately.
struct hand_over_request {
  epoch at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at);
  }
};

/// Any message between the hosts of one shard.
using shard_message = std::variant<seal_request, seal_reply, install_request, append_request,
                                   append_reply, late_result, late_result_reply, hand_over_request>;

}  // namespace hawthornlane
