// What a shard's log says of one program, and how records change it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/program/records.h"

namespace hawthornlane {

/// A call whose answer is part of the history.
struct finished_turn {
  ticket call_ticket;
  std::uint64_t request_digest = 0;
  std::string request;
  std::string answer;
  token_count used{0};
  bool failed = false;
  /// Running digest of the history up to and with this turn.
  std::uint64_t digest = 0;

  friend bool operator==(const finished_turn&, const finished_turn&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call_ticket, this->request_digest, this->request, this->answer, this->used,
            this->failed, this->digest);
  }
};

/// Tokens left after the record at `index`; see `program_state::left_since`.
struct left_mark {
  record_index index;
  token_count tokens_left{0};

  friend bool operator==(const left_mark&, const left_mark&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->tokens_left);
  }
};

/// One program as its log tells it. A value: replicas hold equal copies.
struct program_state {
  program_opened opened;
  /// Invariant: `turns[i].run_under.turn` is i + 1 and the digests chain.
  std::vector<finished_turn> turns;
  /// Invariant: its turn is `next_turn()`; at most one call is open.
  std::optional<intent_logged> open_intent;
  /// Calls that may have run without a kept answer; each is charged in full.
  std::vector<intent_logged> abandoned;
  /// Answers kept on the far side of a split, which this history does not contain.
  std::vector<finished_turn> side_answers;
  /// Tokens of finished, abandoned and side calls. Invariant: never above the limit.
  token_count charged{0};
  /// Tokens that the other side of a split may still spend; see `withhold_for_split`.
  token_count withheld{0};
  std::uint32_t tool_calls = 0;
  bool closed = false;
  /// What was left at each record since the last that all replicas held, oldest first.
  std::vector<left_mark> left_since;

  /// The turn that the next ticket is for.
  [[nodiscard]] turn_number next_turn() const;
  /// Digest of the whole history; 0 before the first turn.
  [[nodiscard]] std::uint64_t digest() const;
  /// Digest after `turn` turns; nothing when the history is shorter.
  [[nodiscard]] std::optional<std::uint64_t> digest_at(turn_number turn) const;
  /// Tokens that may still be reserved, open reservation taken off.
  [[nodiscard]] token_count tokens_left() const;
  /// Tokens left at the last record known to be held by every replica.
  [[nodiscard]] token_count left_at_full() const;
  /// The least that was left at any record from there on.
  [[nodiscard]] token_count least_left_since_full() const;

  [[nodiscard]] const finished_turn* find_finished(const ticket& asked) const;
  [[nodiscard]] const intent_logged* find_abandoned(const ticket& asked) const;

  /// Sets `withheld` so that both sides of a split together stay in the budget.
  void withhold_for_split();
  /// Moves an open intent to `abandoned`; used by a new owner.
  void abandon_open_intent();
  /// Notes what is left after the record at `index`, and forgets marks below `full`.
  void mark_left(record_index index, record_index full);

  friend bool operator==(const program_state& a, const program_state& b) {
    return a.turns == b.turns && a.open_intent == b.open_intent && a.abandoned == b.abandoned &&
           a.charged == b.charged && a.closed == b.closed;
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->opened, this->turns, this->open_intent, this->abandoned, this->side_answers,
            this->charged, this->withheld, this->tool_calls, this->closed, this->left_since);
  }
};

/// Digest of a history that had `before` and got one more turn.
std::uint64_t chain_digest(std::uint64_t before, const std::string& request,
                           const std::string& answer);
/// Digest of a request body.
std::uint64_t text_digest(const std::string& text);

}  // namespace hawthornlane
