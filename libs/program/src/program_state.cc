// Budget, history and digest of one program.
#include "hawthornlane/program/program_state.h"

#include <xxhash.h>

#include <algorithm>

namespace hawthornlane {
namespace {

constexpr token_count half(token_count value) { return token_count(value.get() / 2); }

}  // namespace

turn_number program_state::next_turn() const {
  return turn_number(static_cast<std::uint32_t>(this->turns.size() + 1));
}

std::uint64_t program_state::digest() const {
  return this->turns.empty() ? 0 : this->turns.back().digest;
}

std::optional<std::uint64_t> program_state::digest_at(turn_number turn) const {
  if (turn.get() == 0) {
    return 0;
  }
  if (turn.get() > this->turns.size()) {
    return std::nullopt;
  }
  return this->turns[turn.get() - 1].digest;
}

token_count program_state::tokens_left() const {
  const token_count reserved = this->open_intent ? this->open_intent->reserved : token_count(0);
  return this->opened.limits.tokens - this->charged - this->withheld - reserved;
}

token_count program_state::tokens_left_at_full() const {
  return this->tokens_left_marks.empty() ? this->tokens_left()
                                         : this->tokens_left_marks.front().tokens_left;
}

token_count program_state::least_tokens_left_since_full() const {
  token_count least = this->tokens_left();
  for (const tokens_left_mark& mark : this->tokens_left_marks) {
    least = std::min(least, mark.tokens_left);
  }
  return least;
}

const finished_turn* program_state::find_finished(const ticket& searched_ticket) const {
  for (const finished_turn& turn : this->turns) {
    if (turn.call_ticket == searched_ticket) {
      return &turn;
    }
  }
  for (const finished_turn& turn : this->diverged_turns) {
    if (turn.call_ticket == searched_ticket) {
      return &turn;
    }
  }
  return nullptr;
}

const intent_logged* program_state::find_abandoned(const ticket& searched_ticket) const {
  for (const intent_logged& intent : this->abandoned) {
    if (intent.call_ticket == searched_ticket) {
      return &intent;
    }
  }
  return nullptr;
}

void program_state::withhold_for_partition() {
  // The other side of a network partition stops at half of the tokens left at the last record that
  // all replicas held. This side may not know which record that was, but its mark is in the list.
  // The lowest mark is at most that one, so half of it is safe for this side.
  const token_count allowance =
      half(std::max(token_count(0), this->least_tokens_left_since_full()));
  this->withheld = token_count(0);
  this->withheld = std::max(token_count(0), this->tokens_left() - allowance);
}

void program_state::abandon_open_intent() {
  if (!this->open_intent) {
    return;
  }
  this->charged = this->charged + this->open_intent->reserved;
  this->abandoned.push_back(*this->open_intent);
  this->open_intent.reset();
}

void program_state::mark_tokens_left(record_index index, record_index full) {
  this->tokens_left_marks.push_back({index, this->tokens_left()});
  std::size_t keep_from = 0;
  for (std::size_t at = 1; at < this->tokens_left_marks.size(); ++at) {
    if (this->tokens_left_marks[at].index > full) {
      break;
    }
    keep_from = at;
  }
  this->tokens_left_marks.erase(
      this->tokens_left_marks.begin(),
      this->tokens_left_marks.begin() + static_cast<std::ptrdiff_t>(keep_from));
}

std::uint64_t text_digest(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

std::uint64_t chain_digest(std::uint64_t before, const std::string& request,
                           const std::string& answer) {
  const std::uint64_t with_request = XXH3_64bits_withSeed(request.data(), request.size(), before);
  return XXH3_64bits_withSeed(answer.data(), answer.size(), with_request);
}

}  // namespace hawthornlane
