// What disks keep and what front hosts ask them: typed records and messages.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_set.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Milliseconds since 1970: compared across restarts, with the hosts' clocks close.
using wall_ms = strong_value<struct wall_ms_tag, std::int64_t>;

/// How far a reservation has come.
enum class reservation_phase : std::uint8_t {
  /// Sent or about to be sent; counts in full.
  open,
  /// Ended; counts what was handed out.
  settled,
  /// Provably never sent; counts nothing.
  withdrawn,
};

/// Tokens that one turn of a program may use, or has used.
struct reservation {
  request_id id;
  token_count most;
  token_count used;
  reservation_phase phase = reservation_phase::open;

  /// What it takes from the budget.
  [[nodiscard]] token_count charge() const {
    switch (this->phase) {
      case reservation_phase::open:
        return this->most;
      case reservation_phase::settled:
        return this->used;
      case reservation_phase::withdrawn:
        return token_count(0);
    }
    return this->most;
  }

  friend bool operator==(const reservation&, const reservation&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->most, this->used, this->phase);
  }
};

/// One whole turn. Immutable.
struct stored_turn {
  request_id id;
  std::optional<request_id> previous;
  std::string input;
  /// The data of each event, followed by a line feed.
  std::string output;

  friend bool operator==(const stored_turn&, const stored_turn&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->previous, this->input, this->output);
  }
};

/// One durable record: a reservation's newest state and, when the turn ended whole
/// on a route that keeps turns, what was said.
struct ledger_record {
  program_id program;
  reservation state;
  std::optional<stored_turn> turn;
  /// May be dropped after this.
  wall_ms expires_at;

  friend bool operator==(const ledger_record&, const ledger_record&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->state, this->turn, this->expires_at);
  }
};

/// Methods that disk hosts serve.
enum class ledger_method : std::uint16_t {
  /// Appends a record; answers with the program's reservations.
  append = 100,
  /// Answers with the program's reservations.
  collect = 101,
  /// Answers with a turn's chain.
  chain = 102,
  /// Makes the disk refuse lower epochs.
  fence = 103,
  /// Pages through all that the disk holds.
  copy = 104,
  /// Tells which disk this is and how far it is.
  probe = 105,
  /// Takes a call out of a client account's quota (`quota_question`).
  quota = 106,
};

/// Asks for a record to be appended, or (without one) for the program's state.
struct append_request {
  set_epoch epoch;
  ledger_record record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->record);
  }
};

struct collect_request {
  set_epoch epoch;
  program_id program;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->program);
  }
};

/// What a disk says of a program.
struct program_response {
  disk_id disk;
  /// The request's epoch is lower than the disk's: nothing was done.
  bool stale = false;
  /// The newest set that the disk knows, when `stale`.
  std::optional<ledger_set> newest;
  std::vector<reservation> reservations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->stale, this->newest, this->reservations);
  }
};

struct chain_request {
  set_epoch epoch;
  request_id last;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->last);
  }
};

/// A turn and those before it.
struct chain_response {
  disk_id disk;
  bool stale = false;
  std::optional<ledger_set> newest;
  /// The disk holds the turn itself.
  bool known = false;
  /// Oldest first; whole only when the disk holds all of them, else empty.
  std::vector<stored_turn> turns;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->stale, this->newest, this->known, this->turns);
  }
};

/// Makes a disk refuse epochs lower than the set's, and tell askers of those to go on with
/// the set. Without the set, each change of it refused turns for 0.2 to 0.4 s, until the
/// store's watches told what the fence had kept to itself (95 hosts, watches 0.4 s late).
struct fence_request {
  ledger_set set;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->set);
  }
};

/// The beginning of a `fence_request`: all that logs and programs of the first format hold.
struct fence_mark {
  set_epoch epoch;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch);
  }
};

struct copy_request {
  /// The first page begins with an empty one.
  program_id after_program;
  request_id after_request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->after_program, this->after_request);
  }
};

struct copy_page {
  std::vector<ledger_record> records;
  bool last = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->records, this->last);
  }
};

struct probe_response {
  disk_id disk;
  set_epoch fence;
  /// The epoch of the joint set up to which this disk has copied; 0: none.
  set_epoch copied;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->fence, this->copied);
  }
};

}  // namespace hawthornlane
