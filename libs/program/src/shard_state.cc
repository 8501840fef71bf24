// Applies records to a shard's state, and merges two states after a network partition.
#include "hawthornlane/program/shard_state.h"

#include <algorithm>
#include <type_traits>

namespace hawthornlane {
namespace {

bool apply_record(shard_state& state, const program_opened& record) {
  program_state new_program;
  new_program.opened = record;
  return state.programs.emplace(record.program, std::move(new_program)).second;
}

bool apply_record(program_state& program, const intent_logged& record) {
  if (program.open_intent || program.closed || record.call_ticket.turn != program.next_turn() ||
      record.reserved > program.tokens_left()) {
    return false;
  }
  program.open_intent = record;
  return true;
}

/// Removes the abandoned call with that ticket, if there is one, and takes back its charge.
std::optional<intent_logged> remove_abandoned(program_state& program, const ticket& call_ticket) {
  const auto found = std::find_if(
      program.abandoned.begin(), program.abandoned.end(),
      [&call_ticket](const intent_logged& intent) { return intent.call_ticket == call_ticket; });
  if (found == program.abandoned.end()) {
    return std::nullopt;
  }
  intent_logged taken = *found;
  program.abandoned.erase(found);
  program.charged = program.charged - taken.reserved;
  return taken;
}

void add_turn(program_state& program, const intent_logged& intent, const turn_finished& record) {
  finished_turn turn;
  turn.call_ticket = record.call_ticket;
  turn.request_digest = intent.request_digest;
  turn.request = record.request;
  turn.answer = record.answer;
  turn.used = std::min(record.used, intent.reserved);
  turn.failed = record.failed;
  turn.digest = chain_digest(program.digest(), record.request, record.answer);
  program.charged = program.charged + turn.used;
  program.tool_calls += intent.is_tool_call ? 1 : 0;
  program.turns.push_back(std::move(turn));
}

bool apply_record(program_state& program, const turn_finished& record) {
  if (record.call_ticket.turn != program.next_turn()) {
    return false;
  }
  if (program.open_intent) {
    if (program.open_intent->call_ticket != record.call_ticket) {
      return false;
    }
    const intent_logged intent = *program.open_intent;
    program.open_intent.reset();
    add_turn(program, intent, record);
    return true;
  }
  // A late result of a call that a new owner had abandoned.
  const std::optional<intent_logged> intent = remove_abandoned(program, record.call_ticket);
  if (!intent) {
    return false;
  }
  add_turn(program, *intent, record);
  return true;
}

bool apply_record(program_state& program, const intent_voided& record) {
  if (!program.open_intent || program.open_intent->call_ticket != record.call_ticket) {
    return false;
  }
  program.open_intent.reset();
  return true;
}

bool apply_record(program_state& program, const intent_abandoned& record) {
  if (!program.open_intent || program.open_intent->call_ticket != record.call_ticket) {
    return false;
  }
  program.abandon_open_intent();
  return true;
}

bool apply_record(program_state& program, const program_closed& /*record*/) {
  program.abandon_open_intent();
  program.closed = true;
  return true;
}

bool apply_record(shard_state& state, const program_removed& record) {
  return state.programs.erase(record.program) > 0;
}

void charge_diverged_turn(program_state& base, const finished_turn& turn) {
  if (base.find_finished(turn.call_ticket) != nullptr) {
    return;
  }
  remove_abandoned(base, turn.call_ticket);
  base.diverged_turns.push_back(turn);
  base.charged = base.charged + turn.used;
}

void charge_abandoned(program_state& base, const intent_logged& intent) {
  if (base.find_finished(intent.call_ticket) != nullptr ||
      base.find_abandoned(intent.call_ticket) != nullptr) {
    return;
  }
  if (base.open_intent && base.open_intent->call_ticket == intent.call_ticket) {
    return;
  }
  base.abandoned.push_back(intent);
  base.charged = base.charged + intent.reserved;
}

bool is_prefix(const std::vector<finished_turn>& shorter,
               const std::vector<finished_turn>& longer) {
  return shorter.size() <= longer.size() &&
         std::equal(shorter.begin(), shorter.end(), longer.begin(),
                    [](const finished_turn& a, const finished_turn& b) {
                      return a.call_ticket == b.call_ticket;
                    });
}

/// Whether the history of `base` is a prefix of that of `other` and no call is open in `base`.
bool can_extend(const program_state& base, const program_state& other) {
  return !base.open_intent && is_prefix(base.turns, other.turns);
}

void merge_program(program_state& base, const program_state& other) {
  const bool extend = can_extend(base, other);
  for (std::size_t at = 0; at < other.turns.size(); ++at) {
    const finished_turn& turn = other.turns[at];
    if (!extend || at < base.turns.size()) {
      charge_diverged_turn(base, turn);
      continue;
    }
    remove_abandoned(base, turn.call_ticket);
    base.turns.push_back(turn);
    base.charged = base.charged + turn.used;
  }
  for (const finished_turn& turn : other.diverged_turns) {
    charge_diverged_turn(base, turn);
  }
  for (const intent_logged& intent : other.abandoned) {
    charge_abandoned(base, intent);
  }
  if (other.open_intent) {
    charge_abandoned(base, *other.open_intent);
  }
  base.closed = base.closed || other.closed;
}

}  // namespace

const program_id& program_of(const log_record& record) {
  return std::visit([](const auto& item) -> const program_id& { return item.program; }, record);
}

bool apply(shard_state& state, const log_record& record, record_index index, record_index full) {
  if (const auto* opened = std::get_if<program_opened>(&record)) {
    if (!apply_record(state, *opened)) {
      return false;
    }
  }
  if (const auto* forgotten = std::get_if<program_removed>(&record)) {
    return apply_record(state, *forgotten);
  }
  const auto found = state.programs.find(program_of(record));
  if (found == state.programs.end()) {
    return false;
  }
  program_state& program = found->second;
  const bool applied = std::visit(
      [&program](const auto& item) {
        using kind = std::decay_t<decltype(item)>;
        if constexpr (std::is_same_v<kind, program_opened> ||
                      std::is_same_v<kind, program_removed>) {
          return true;
        } else {
          return apply_record(program, item);
        }
      },
      record);
  if (!applied) {
    return false;
  }
  program.mark_tokens_left(index, full);
  return true;
}

void merge_state(shard_state& base, const shard_state& other) {
  for (const auto& [id, program] : other.programs) {
    const auto [at, added] = base.programs.emplace(id, program);
    if (!added) {
      merge_program(at->second, program);
      continue;
    }
    at->second.abandon_open_intent();
  }
}

}  // namespace hawthornlane
