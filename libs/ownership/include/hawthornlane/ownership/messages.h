// Messages between the hosts of one shard.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "hawthornlane/program/shard_state.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// A new owner asks a host to refuse everything below `at` and to show its log.
struct seal_request {
  epoch at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at);
  }
};

/// A host's copy of a shard's log.
struct log_snapshot {
  /// Epoch and position of the last record; an owner's log of one epoch begins
  /// with an installed state at index 1.
  epoch at;
  record_index last;
  /// The last position that every replica was known to hold.
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
  /// False when the host has already seen a higher epoch.
  bool granted = false;
  /// What the host holds, if it holds anything.
  std::optional<log_snapshot> log;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->granted, this->log);
  }
};

/// The owner replaces a sealed host's copy by its own.
struct install_request {
  log_snapshot log;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->log);
  }
};

/// The owner adds one record, or asks for a confirmation when there is none.
struct append_request {
  epoch at;
  record_index index;
  record_index full;
  std::optional<log_record> record;
  /// Comes back in the answer, so that an owner can tell a fresh confirmation.
  std::uint64_t probe = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->index, this->full, this->record, this->probe);
  }
};

/// Answer to `install_request` and `append_request`.
struct append_reply {
  epoch at;
  /// Whether the host still follows epoch `at`.
  bool accepted = false;
  /// The last record of epoch `at` that the host holds; 0 when it holds none.
  record_index last;
  /// The highest epoch that the host has seen.
  epoch highest;
  std::uint64_t probe = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->accepted, this->last, this->highest, this->probe);
  }
};

/// A former owner brings the result of a call that it had dispatched.
struct late_result {
  turn_finished result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->result);
  }
};

/// Answer to `late_result`, sent once the result is kept or cannot be.
struct late_result_reply {
  program_id program;
  ticket call_ticket;
  bool kept = false;
  std::uint32_t copies = 0;
  /// For the caller's next call, which runs at the new owner.
  std::optional<ticket> next;
  std::uint64_t digest = 0;
  token_count budget_left{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->call_ticket, this->kept, this->copies, this->next, this->digest,
            this->budget_left);
  }
};

/// A leaving owner asks a replica to take the shard over at once.
struct hand_over_request {
  epoch at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at);
  }
};

/// Everything that one shard's hosts say to each other.
using shard_message = std::variant<seal_request, seal_reply, install_request, append_request,
                                   append_reply, late_result, late_result_reply, hand_over_request>;

}  // namespace hawthornlane
