// Shard core: opening and closing of programs; checks, start and end of calls.
#include <algorithm>
#include <utility>

#include "hawthornlane/ownership/shard_core.h"

namespace hawthornlane {

const program_state* shard_core::find_program(const program_id& program) const {
  if (!this->own_log) {
    return nullptr;
  }
  const auto found = this->own_log->state.programs.find(program);
  return found == this->own_log->state.programs.end() ? nullptr : &found->second;
}

bool shard_core::complete() const {
  return this->own_log && this->own_log->state.first_complete_epoch <= epoch(0);
}

ticket shard_core::current_ticket(const program_state& program, std::uint64_t random) {
  const auto [at, added] = this->nonces.emplace(program.opened.program, random);
  return ticket{this->own_shard, this->known_entry.at, program.next_turn(), at->second};
}

call_answer shard_core::make_answer(const program_state& program, std::uint64_t random) {
  call_answer answer;
  if (!program.open_intent && !program.closed) {
    answer.next = this->current_ticket(program, random);
  }
  answer.digest = program.digest();
  answer.budget_left = program.tokens_left();
  answer.copies = this->own_log ? this->acknowledgements(this->own_log->last) + 1 : 0;
  return answer;
}

actions shard_core::open_program(call_id call, const program_opened& program, std::uint64_t random,
                                 timestamp now) {
  actions out;
  if (!this->serving() || !this->append(program, now, out)) {
    call_answer refusal;
    refusal.error = error_kind::not_ready;
    out.push_back(answer_call{call, refusal});
    return out;
  }
  open_call item;
  item.program = program.program;
  item.stage = call_stage::logging_result;
  item.index = this->own_log->last;
  item.answer = this->make_answer(this->own_log->state.programs.at(program.program), random);
  item.since = now;
  this->calls.emplace(call, std::move(item));
  this->advance_calls(now, out);
  return out;
}

actions shard_core::close_program(call_id call, const program_id& program, timestamp now) {
  actions out;
  const program_state* state = this->serving() ? this->find_program(program) : nullptr;
  call_answer answer;
  if (state == nullptr) {
    answer.error = this->serving() ? error_kind::program_unknown : error_kind::not_owner;
    out.push_back(answer_call{call, answer});
    return out;
  }
  if (state->open_intent) {
    answer.error = error_kind::turn_in_progress;
    out.push_back(answer_call{call, answer});
    return out;
  }
  if (!state->closed) {
    this->append(program_closed{program}, now, out);
    this->nonces.erase(program);
    out.push_back(release_program{program});
  }
  open_call item;
  item.program = program;
  item.stage = call_stage::logging_result;
  item.index = this->own_log->last;
  item.answer = this->make_answer(*state, 0);
  item.since = now;
  this->calls.emplace(call, std::move(item));
  this->advance_calls(now, out);
  return out;
}

actions shard_core::remove_program(const program_id& program, timestamp now) {
  actions out;
  const program_state* state = this->serving() ? this->find_program(program) : nullptr;
  if (state == nullptr || !state->closed) {
    return out;
  }
  this->append(program_removed{program}, now, out);
  this->nonces.erase(program);
  this->send_not_before.erase(program);
  return out;
}

std::optional<call_answer> shard_core::check_history(const program_state& program,
                                                     const call_request& request) const {
  call_answer refusal;
  if (request.presented.turn > program.next_turn()) {
    refusal.error = error_kind::history_incomplete;
    refusal.detail =
        "history on this host ends before turn " + std::to_string(request.presented.turn.get() - 1);
    return refusal;
  }
  if (!request.known_digest || request.presented.turn.get() == 0) {
    return std::nullopt;
  }
  const auto held_digest = program.digest_at(turn_number(request.presented.turn.get() - 1));
  if (held_digest != request.known_digest) {
    refusal.error = error_kind::history_incomplete;
    refusal.detail = "history on this host has another digest before that turn";
    return refusal;
  }
  return std::nullopt;
}

std::optional<call_answer> shard_core::check_ticket(const program_state& program,
                                                    const call_request& request,
                                                    std::uint64_t random) {
  const ticket& presented_ticket = request.presented;
  call_answer refusal;
  if (presented_ticket.issued_in > this->known_entry.at) {
    refusal.error = error_kind::not_owner;
    return refusal;
  }
  const bool own_epoch = presented_ticket.issued_in == this->known_entry.at;
  if (!own_epoch && presented_ticket.issued_in < this->own_log->state.first_complete_epoch) {
    refusal = this->make_answer(program, random);
    refusal.error = error_kind::may_have_run;
    refusal.detail = "the log of the ticket's epoch is incomplete";
    return refusal;
  }
  if (program.open_intent) {
    // The open call has the program's only valid ticket, and it is not this one.
    refusal.error = error_kind::not_run;
    refusal.detail = "another call of the program is running";
    refusal.digest = program.digest();
    return refusal;
  }
  const bool is_current = own_epoch ? presented_ticket == this->current_ticket(program, random)
                                    : !this->rules.ticket_bound_to_epoch;
  if (is_current && presented_ticket.turn == program.next_turn()) {
    return std::nullopt;
  }
  refusal = this->make_answer(program, random);
  refusal.error = error_kind::not_run;
  refusal.detail = "the ticket is no longer valid";
  return refusal;
}

std::optional<call_answer> shard_core::check_budget(const program_state& program,
                                                    const call_request& request,
                                                    std::uint64_t random) {
  const budget_limits& limits = program.opened.limits;
  std::string exceeded;
  if (request.reserved > program.tokens_left()) {
    exceeded = "tokens: " + std::to_string(program.tokens_left().get()) + " left, " +
               std::to_string(request.reserved.get()) + " requested";
  } else if (program.turns.size() >= limits.turns) {
    exceeded = "turns: " + std::to_string(limits.turns) + " allowed";
  } else if (request.is_tool_call && program.tool_calls >= limits.tool_calls) {
    exceeded = "tool calls: " + std::to_string(limits.tool_calls) + " allowed";
  } else if (request.wall_clock_ms - program.opened.opened_at_ms > limits.wall_time_ms) {
    exceeded = "wall time: " + std::to_string(limits.wall_time_ms) + " ms allowed";
  }
  if (exceeded.empty()) {
    return std::nullopt;
  }
  return this->refuse_call(request, error_kind::budget_exhausted, exceeded, random);
}

std::optional<call_answer> shard_core::check_call(const call_request& request,
                                                  std::uint64_t random) {
  call_answer refusal;
  if (!this->serving()) {
    refusal.error = error_kind::not_owner;
    return refusal;
  }
  const program_state* program = this->find_program(request.program);
  if (program == nullptr || program->opened.account != request.account) {
    refusal.error = error_kind::program_unknown;
    return refusal;
  }
  if (const finished_turn* turn = program->find_finished(request.presented)) {
    call_answer kept = this->make_answer(*program, random);
    if (turn->request_digest != request.request_digest) {
      kept.error = error_kind::wrong_ticket;
      kept.detail = "the ticket was used for another request";
      return kept;
    }
    kept.turn = *turn;
    kept.replayed = true;
    return kept;
  }
  if (program->open_intent && program->open_intent->call_ticket == request.presented) {
    refusal.error = error_kind::turn_in_progress;
    return refusal;
  }
  if (program->find_abandoned(request.presented) != nullptr) {
    refusal = this->make_answer(*program, random);
    refusal.error = error_kind::may_have_run;
    return refusal;
  }
  if (program->closed) {
    refusal.error = error_kind::program_closed;
    return refusal;
  }
  if (auto mismatch = this->check_history(*program, request)) {
    return mismatch;
  }
  if (auto stale = this->check_ticket(*program, request, random)) {
    return stale;
  }
  return this->check_budget(*program, request, random);
}

call_answer shard_core::refuse_call(const call_request& request, error_kind kind,
                                    std::string detail, std::uint64_t random) {
  const program_state* program = this->serving() ? this->find_program(request.program) : nullptr;
  if (program == nullptr) {
    call_answer refusal;
    refusal.error = error_kind::not_owner;
    return refusal;
  }
  if (this->rules.refusal_ends_ticket && !program->open_intent) {
    this->nonces[request.program] = random;
  }
  call_answer refusal = this->make_answer(*program, random);
  refusal.error = kind;
  refusal.detail = std::move(detail);
  return refusal;
}

actions shard_core::begin_call(const call_request& request, std::uint64_t random, timestamp now) {
  actions out;
  if (auto answer = this->check_call(request, random)) {
    out.push_back(answer_call{request.call, *answer});
    return out;
  }
  intent_logged intent;
  intent.program = request.program;
  intent.call_ticket = request.presented;
  intent.repeatable = request.repeatable;
  intent.reserved = request.reserved;
  intent.is_tool_call = request.is_tool_call;
  intent.server = request.server;
  intent.request_digest = request.request_digest;
  this->append(intent, now, out);
  open_call item;
  item.program = request.program;
  item.index = this->own_log->last;
  item.intent = intent;
  item.since = now;
  this->calls.emplace(request.call, std::move(item));
  this->advance_calls(now, out);
  return out;
}

bool shard_core::may_send(call_id call, timestamp now, actions& out) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end() || found->second.stage != call_stage::dispatched) {
    return false;
  }
  open_call& item = found->second;
  const bool own_ticket = item.intent->call_ticket.issued_in == this->known_entry.at ||
                          !this->rules.ticket_bound_to_epoch;
  if (!this->serving() || !own_ticket) {
    call_answer refusal;
    refusal.error = error_kind::not_owner;
    out.push_back(answer_call{call, refusal});
    this->calls.erase(found);
    return false;
  }
  if (now - item.since <= this->times.dispatch_gap) {
    return true;
  }
  // The host was paused between the acknowledgement and the send, so a later owner may exist: ask
  // the replicas for a new confirmation.
  item.stage = call_stage::confirming;
  item.since = now;
  item.confirmation_number = ++this->last_confirmation_number;
  for (const auto& [host, peer] : this->peers) {
    out.push_back(send_message{
        host, append_request{this->known_entry.at, this->own_log->last, this->own_log->full,
                             std::nullopt, item.confirmation_number}});
  }
  return false;
}

actions shard_core::finish_call(const call_result& result, std::uint64_t random, timestamp now) {
  actions out;
  const auto found = this->calls.find(result.call);
  if (found == this->calls.end() || !found->second.intent) {
    return out;
  }
  open_call& item = found->second;
  const intent_logged intent = *item.intent;
  const turn_finished record{item.program,  intent.call_ticket, result.request,
                             result.answer, result.used,        result.failed};
  if (!this->serving() || intent.call_ticket.issued_in != this->known_entry.at) {
    if (result.unknown || result.never_started) {
      call_answer answer;
      answer.error = error_kind::may_have_run;
      out.push_back(answer_call{result.call, answer});
    } else {
      this->late_calls.emplace(intent.call_ticket, late_call{result.call, record, now, now});
      out.push_back(send_message{this->known_entry.owner, late_result{record}});
    }
    this->calls.erase(found);
    return out;
  }
  this->nonces[item.program] = random;
  call_answer answer;
  if (result.never_started) {
    this->append(intent_voided{item.program, intent.call_ticket}, now, out);
    answer.error = error_kind::no_backend_server;
    answer.detail = "the backend server did not accept the call";
  } else if (result.unknown) {
    this->append(intent_abandoned{item.program, intent.call_ticket}, now, out);
    answer.error = error_kind::may_have_run;
  } else {
    this->append(record, now, out);
  }
  const program_state& program = this->own_log->state.programs.at(item.program);
  const call_answer closing = this->make_answer(program, random);
  answer.next = closing.next;
  answer.digest = closing.digest;
  answer.budget_left = closing.budget_left;
  if (!answer.error) {
    answer.turn = program.turns.back();
  }
  item.stage = call_stage::logging_result;
  item.index = this->own_log->last;
  item.answer = std::move(answer);
  item.since = now;
  this->advance_calls(now, out);
  return out;
}

}  // namespace hawthornlane
