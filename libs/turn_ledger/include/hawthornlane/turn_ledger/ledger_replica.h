// One disk's replica of turns and budgets. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_records.h"

namespace hawthornlane {

/// One disk's replica of the ledger, in memory. The caller makes records durable before it sends a
/// response that depends on them.
///
/// Guarantees: a reservation never returns to an earlier phase, in whatever order its records
/// arrive; a turn's text never changes; a request below the fence changes nothing.
class ledger_replica {
public:
  /// False if the request is from an older set and must be refused.
  [[nodiscard]] bool accepts(set_epoch epoch) const { return epoch >= this->fence; }
  /// Refuses lower epochs from now on. The fence never falls.
  void raise_fence(set_epoch epoch) { this->fence = std::max(this->fence, epoch); }
  [[nodiscard]] set_epoch fence_epoch() const { return this->fence; }

  /// Merges a record. True if it changed anything and has to be made durable.
  bool apply(const ledger_record& record);
  [[nodiscard]] std::vector<reservation> reservations_of(const program_id& program) const;
  /// The origin of the stream that this attempt of the program began; nothing if none is stored.
  [[nodiscard]] std::optional<stream_origin> origin_of(const program_id& program,
                                                       const request_id& attempt) const;
  /// Returns the chain that ends with `last`; `known` and `turns` as in `chain_response`.
  [[nodiscard]] chain_response chain_of(const request_id& last) const;
  /// Returns the turns that this disk has of the chain that ends with `last`, as in `chain_part`.
  [[nodiscard]] chain_part part_of_chain(const request_id& last, std::uint64_t max_bytes) const;
  /// The turns that stored turns continue from and that this disk lacks, in the order of their ids.
  [[nodiscard]] std::vector<request_id> missing_turns() const;
  /// Returns the records of those of the turns that this disk has, up to about `bytes` of text.
  [[nodiscard]] copy_page records_of(const std::vector<request_id>& turns, std::size_t bytes) const;
  /// Returns the records after a position, up to about `bytes` of text. Programs that have not
  /// changed after `since` are left out; the others are returned whole, since a reader may have
  /// dropped their earlier records as expired.
  [[nodiscard]] copy_page page_after(const copy_request& from, std::size_t bytes,
                                     change_number since = change_number(0)) const;
  /// Number of the newest change, counted from 1.
  [[nodiscard]] change_number newest_change() const { return this->newest; }
  /// Drops programs whose last record has expired, with their turns.
  void expire(wall_ms now);

  [[nodiscard]] bool has_turn(const request_id& id) const {
    return this->turn_locations.contains(id);
  }
  [[nodiscard]] std::size_t programs() const { return this->by_program.size(); }
  [[nodiscard]] std::size_t turns() const { return this->turn_locations.size(); }
  /// Size of the stored text, bytes.
  [[nodiscard]] std::size_t text_bytes() const { return this->text_size; }

private:
  struct program_state {
    std::map<request_id, ledger_record> records;
    wall_ms expires_at;
    /// The last change of its records or of `expires_at`.
    change_number changed;
  };
  /// Locates a turn's text, which is stored in the record of its program.
  struct turn_location {
    program_id program;
  };
  /// Extends the lifetime of the programs that have earlier turns of `turn`'s chain to `until`: a
  /// program may continue from another program's turns. If this disk lacks one of them, those
  /// before it are extended when it arrives.
  void extend_chain(const stored_turn& turn, wall_ms until);
  /// Locates the turn of a new record; returns until when its chain is needed.
  wall_ms add_turn(const ledger_record& stored, program_state& program);
  [[nodiscard]] const stored_turn* turn_of(const request_id& id) const;
  void note_change(program_state& program);

  std::map<program_id, program_state> by_program;
  /// Invariant: one entry for each record with a turn.
  std::map<request_id, turn_location> turn_locations;
  /// The turns that stored ones continue from and that this disk lacks, and until when these need
  /// them. Invariant: has no key of `turn_locations`.
  std::map<request_id, wall_ms> needed;
  set_epoch fence;
  change_number newest;
  std::size_t text_size = 0;
};

}  // namespace hawthornlane
