// What one disk holds of turns and budgets. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_records.h"

namespace hawthornlane {

/// One disk's copy of the ledger, in memory. The caller makes records durable
/// before it lets an answer out.
///
/// Promises: a reservation never goes back to an earlier phase, whatever the order
/// in which its records arrive; a turn's text never changes; a request below the
/// fence changes nothing.
class ledger_replica {
public:
  /// True when the request may be served; false when it is from an older set.
  [[nodiscard]] bool accepts(set_epoch epoch) const { return epoch >= this->fence; }
  /// Refuses lower epochs from now on. Never falls.
  void raise_fence(set_epoch epoch) { this->fence = std::max(this->fence, epoch); }
  [[nodiscard]] set_epoch fence_epoch() const { return this->fence; }

  /// Merges a record; true when it changed anything and so has to be made durable.
  bool apply(const ledger_record& record);
  [[nodiscard]] std::vector<reservation> reservations_of(const program_id& program) const;
  /// The chain that ends with `last`; `known` and `turns` as in `chain_answer`.
  [[nodiscard]] chain_response chain_of(const request_id& last) const;
  /// Records after a position, up to about `bytes` of text.
  [[nodiscard]] copy_page page_after(const copy_request& from, std::size_t bytes) const;
  /// Forgets programs without activity since their last record expired, with their
  /// turns.
  void expire(wall_ms now);

  [[nodiscard]] std::size_t programs() const { return this->by_program.size(); }
  [[nodiscard]] std::size_t turns() const { return this->chains.size(); }
  /// Bytes of text held.
  [[nodiscard]] std::size_t text_bytes() const { return this->text_size; }

private:
  struct program_state {
    std::map<request_id, ledger_record> records;
    wall_ms expires_at;
  };
  /// Text of a turn; lies in its program's record.
  struct chain_link {
    program_id program;
  };
  /// A program may go on from another's turns: those live as long as it does.
  void extend_chain(const stored_turn& turn, wall_ms until);
  [[nodiscard]] const stored_turn* turn_of(const request_id& id) const;

  std::map<program_id, program_state> by_program;
  /// Invariant: one entry for each record with a turn.
  std::map<request_id, chain_link> chains;
  set_epoch fence;
  std::size_t text_size = 0;
};

}  // namespace hawthornlane
