// One disk's replica of turns and budgets.
#include "hawthornlane/turn_ledger/ledger_replica.h"

#include <algorithm>

namespace hawthornlane {
namespace {

std::size_t text_of(const ledger_record& record) {
  return record.turn ? record.turn->input.size() + record.turn->output.size() : 0;
}

}  // namespace

bool ledger_replica::apply(const ledger_record& record) {
  program_state& program = this->by_program[record.program];
  const bool extends = record.expires_at > program.expires_at;
  program.expires_at = std::max(program.expires_at, record.expires_at);
  const auto [found, is_new] = program.records.try_emplace(record.state.id, record);
  ledger_record& stored = found->second;
  bool changed = is_new;
  if (!is_new) {
    stored.expires_at = std::max(stored.expires_at, record.expires_at);
    if (record.state.phase > stored.state.phase) {
      stored.state = record.state;
      changed = true;
    }
    if (record.turn && !stored.turn) {
      stored.turn = record.turn;
      changed = true;
    }
    if (record.origin && newest_of(stored.origin, *record.origin) != stored.origin) {
      stored.origin = newest_of(stored.origin, *record.origin);
      changed = true;
    }
  }
  if (changed || extends) {
    this->note_change(program);
  }
  if (changed && stored.turn) {
    this->extend_chain(*stored.turn, std::max(record.expires_at, this->add_turn(stored, program)));
  }
  return changed;
}

wall_ms ledger_replica::add_turn(const ledger_record& stored, program_state& program) {
  if (!this->turn_locations.try_emplace(stored.state.id, turn_location{stored.program}).second) {
    return wall_ms(0);
  }
  this->text_size += text_of(stored);
  const auto gap = this->needed.find(stored.state.id);
  if (gap == this->needed.end()) {
    return wall_ms(0);
  }
  const wall_ms until = gap->second;
  this->needed.erase(gap);
  program.expires_at = std::max(program.expires_at, until);
  return until;
}

void ledger_replica::extend_chain(const stored_turn& turn, wall_ms until) {
  std::optional<request_id> previous = turn.previous;
  while (previous) {
    const auto link = this->turn_locations.find(*previous);
    if (link == this->turn_locations.end()) {
      wall_ms& gap = this->needed[*previous];
      gap = std::max(gap, until);
      return;
    }
    program_state& program = this->by_program.at(link->second.program);
    if (until > program.expires_at) {
      program.expires_at = until;
      this->note_change(program);
    }
    previous = program.records.at(*previous).turn->previous;
  }
}

void ledger_replica::note_change(program_state& program) {
  this->newest = change_number(this->newest.get() + 1);
  program.changed = this->newest;
}

std::vector<reservation> ledger_replica::reservations_of(const program_id& program) const {
  std::vector<reservation> all;
  const auto found = this->by_program.find(program);
  if (found == this->by_program.end()) {
    return all;
  }
  for (const auto& [id, record] : found->second.records) {
    all.push_back(record.state);
  }
  return all;
}

std::optional<stream_origin> ledger_replica::origin_of(const program_id& program,
                                                       const request_id& attempt) const {
  const auto found = this->by_program.find(program);
  if (found == this->by_program.end()) {
    return std::nullopt;
  }
  const auto record = found->second.records.find(attempt);
  return record == found->second.records.end() ? std::nullopt : record->second.origin;
}

const stored_turn* ledger_replica::turn_of(const request_id& id) const {
  const auto link = this->turn_locations.find(id);
  if (link == this->turn_locations.end()) {
    return nullptr;
  }
  return &*this->by_program.at(link->second.program).records.at(id).turn;
}

chain_response ledger_replica::chain_of(const request_id& last) const {
  chain_response answer;
  const stored_turn* turn = this->turn_of(last);
  answer.known = turn != nullptr;
  while (turn != nullptr) {
    answer.turns.push_back(*turn);
    if (!turn->previous) {
      std::reverse(answer.turns.begin(), answer.turns.end());
      return answer;
    }
    turn = this->turn_of(*turn->previous);
  }
  // This disk lacks a turn of the chain.
  answer.turns.clear();
  return answer;
}

chain_part ledger_replica::part_of_chain(const request_id& last, std::uint64_t max_bytes) const {
  chain_part part;
  std::uint64_t bytes = 0;
  std::optional<request_id> next = last;
  while (next) {
    const stored_turn* turn = this->turn_of(*next);
    if (turn == nullptr) {
      part.lacks = next;
      break;
    }
    bytes += turn->input.size() + turn->output.size();
    if (bytes > max_bytes && !part.turns.empty()) {
      break;
    }
    part.turns.push_back(*turn);
    next = turn->previous;
  }
  std::reverse(part.turns.begin(), part.turns.end());
  return part;
}

std::vector<request_id> ledger_replica::missing_turns() const {
  std::vector<request_id> ids;
  for (const auto& [id, until] : this->needed) {
    ids.push_back(id);
  }
  return ids;
}

copy_page ledger_replica::records_of(const std::vector<request_id>& turns,
                                     std::size_t bytes) const {
  copy_page page;
  std::size_t size = 0;
  for (const request_id& id : turns) {
    const auto link = this->turn_locations.find(id);
    if (link == this->turn_locations.end()) {
      continue;
    }
    const program_state& program = this->by_program.at(link->second.program);
    page.records.push_back(program.records.at(id));
    page.records.back().expires_at = program.expires_at;
    size += text_of(page.records.back());
    if (size >= bytes) {
      return page;
    }
  }
  page.last = true;
  return page;
}

copy_page ledger_replica::page_after(const copy_request& from, std::size_t bytes,
                                     change_number since) const {
  copy_page page;
  std::size_t size = 0;
  for (auto program = this->by_program.lower_bound(from.after_program);
       program != this->by_program.end(); ++program) {
    if (program->second.changed <= since) {
      continue;
    }
    const bool resumed = program->first == from.after_program;
    auto record = resumed ? program->second.records.upper_bound(from.after_request)
                          : program->second.records.begin();
    for (; record != program->second.records.end(); ++record) {
      constexpr std::size_t record_overhead = 200;
      size += text_of(record->second) + record_overhead;
      if (size > bytes && !page.records.empty()) {
        return page;
      }
      page.records.push_back(record->second);
      // Send the program's expiry, which later turns may have extended, not the record's own. The
      // reader may already have those turns, so it cannot extend the record's lifetime itself.
      page.records.back().expires_at = program->second.expires_at;
    }
  }
  page.last = true;
  return page;
}

void ledger_replica::expire(wall_ms now) {
  std::erase_if(this->needed, [now](const auto& gap) { return gap.second < now; });
  for (auto program = this->by_program.begin(); program != this->by_program.end();) {
    if (program->second.expires_at >= now) {
      ++program;
      continue;
    }
    for (const auto& [id, record] : program->second.records) {
      if (record.turn) {
        this->turn_locations.erase(id);
        this->text_size -= text_of(record);
      }
    }
    program = this->by_program.erase(program);
  }
}

}  // namespace hawthornlane
