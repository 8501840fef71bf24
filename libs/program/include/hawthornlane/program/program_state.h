// The state of one program, as the records of its shard's log lead to it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/program/records.h"

namespace hawthornlane {

/// A finished call; its request and answer are part of the history.
struct finished_turn {
  ticket call_ticket;
  std::uint64_t request_digest = 0;
  std::string request;
  std::string answer;
  token_count used{0};
  bool failed = false;
  /// Chained digest of the history up to and including this turn.
  std::uint64_t digest = 0;

  friend bool operator==(const finished_turn&, const finished_turn&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call_ticket, this->request_digest, this->request, this->answer, this->used,
            this->failed, this->digest);
  }
};

/// Tokens left in the budget after the record at `index`; see `program_state::tokens_left_marks`.
struct tokens_left_mark {
  record_index index;
  token_count tokens_left{0};

  friend bool operator==(const tokens_left_mark&, const tokens_left_mark&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->tokens_left);
  }
};

/// The state of one program. A value type; replicas hold copies that compare equal.
struct program_state {
  program_opened opened;
  /// Invariant: `turns[i].call_ticket.turn` is i + 1 and the digests chain.
  std::vector<finished_turn> turns;
  /// The logged call without a result, at most one. Invariant: its turn is `next_turn()`.
  std::optional<intent_logged> open_intent;
  /// Calls that may have run without a stored answer; each is charged in full.
  std::vector<intent_logged> abandoned;
  /// Calls that the other side of a network partition stored and this history does not contain.
  std::vector<finished_turn> diverged_turns;
  /// Tokens of finished calls, abandoned calls and `diverged_turns`. Invariant: never above the
  /// limit.
  token_count charged{0};
  /// Tokens that the other side of a network partition may still spend; see
  /// `withhold_for_partition`.
  token_count withheld{0};
  std::uint32_t tool_calls = 0;
  bool closed = false;
  /// Tokens left after each record, oldest first. The first mark is that of the program's last
  /// record that all replicas were known to hold when the newest mark was added, if there was one.
  std::vector<tokens_left_mark> tokens_left_marks;

  /// The turn of the next ticket.
  [[nodiscard]] turn_number next_turn() const;
  /// Digest of the whole history; 0 before the first turn.
  [[nodiscard]] std::uint64_t digest() const;
  /// Digest of the first `turn` turns; nothing when the history is shorter.
  [[nodiscard]] std::optional<std::uint64_t> digest_at(turn_number turn) const;
  /// Tokens that can still be reserved; the open reservation is already subtracted.
  [[nodiscard]] token_count tokens_left() const;
  /// Tokens left after the last record known to be held by every replica.
  [[nodiscard]] token_count tokens_left_at_full() const;
  /// The fewest tokens left after any record since the last one known to be held by every replica,
  /// and after that one.
  [[nodiscard]] token_count least_tokens_left_since_full() const;

  [[nodiscard]] const finished_turn* find_finished(const ticket& searched_ticket) const;
  [[nodiscard]] const intent_logged* find_abandoned(const ticket& searched_ticket) const;

  /// Sets `withheld` so that both sides of a network partition together stay within the budget.
  void withhold_for_partition();
  /// Moves an open intent to `abandoned` and charges it in full.
  void abandon_open_intent();
  /// Stores the tokens left after the record at `index`. Drops the marks that precede the last mark
  /// at or below `full`, the last position that every replica is known to hold.
  void mark_tokens_left(record_index index, record_index full);

  /// Compares the history, the calls without an answer, the charged tokens and `closed` only, not
  /// `opened`, `diverged_turns`, `withheld`, `tool_calls` and `tokens_left_marks`.
  friend bool operator==(const program_state& a, const program_state& b) {
    return a.turns == b.turns && a.open_intent == b.open_intent && a.abandoned == b.abandoned &&
           a.charged == b.charged && a.closed == b.closed;
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->opened, this->turns, this->open_intent, this->abandoned, this->diverged_turns,
            this->charged, this->withheld, this->tool_calls, this->closed, this->tokens_left_marks);
  }
};

/// Digest of a history with digest `before` after one more turn.
std::uint64_t chain_digest(std::uint64_t before, const std::string& request,
                           const std::string& answer);
/// Digest of a request body.
std::uint64_t text_digest(const std::string& text);

}  // namespace hawthornlane
