// Shard core: the log protocol, i.e. appends, acknowledgements, and the calls that wait for them.
#include <algorithm>
#include <utility>

#include "hawthornlane/ownership/shard_core.h"
#include "log_order.h"

namespace hawthornlane {
namespace {

/// A replica that lacks more records than this is sent the whole state.
constexpr std::size_t max_unacknowledged_records = 512;
/// Most appends that a replica buffers because an earlier one has not arrived.
constexpr std::size_t max_buffered_appends = 64;

}  // namespace

actions shard_core::receive(const host_incarnation& from, const shard_message& message,
                            timestamp now) {
  return std::visit([&](const auto& item) { return this->on(from, item, now); }, message);
}

// --- replica ----------------------------------------------------------------

actions shard_core::on(const host_incarnation& from, const seal_request& message, timestamp now) {
  actions out;
  seal_reply reply;
  reply.at = message.at;
  reply.granted = message.at >= this->highest_sealed_epoch;
  if (reply.granted) {
    this->highest_sealed_epoch = message.at;
    if (this->current_role != role_kind::follower && message.at > this->known_entry.at) {
      assignment successor;
      successor.at = message.at;
      successor.owner = from;
      this->depose(successor, now, out);
    }
    reply.log = this->own_log;
  }
  out.push_back(send_message{from, reply});
  return out;
}

actions shard_core::on(const host_incarnation& from, const install_request& message,
                       timestamp /*now*/) {
  append_reply reply;
  reply.at = message.log.at;
  reply.accepted = message.log.at == this->highest_sealed_epoch;
  if (reply.accepted) {
    const bool newer = !this->own_log || is_longer(message.log, *this->own_log);
    if (newer) {
      this->own_log = message.log;
      this->buffered_appends.clear();
    }
    reply.last = this->own_log->last;
  }
  reply.highest = this->highest_sealed_epoch;
  return {send_message{from, reply}};
}

void shard_core::append_as_replica(const append_request& message) {
  if (!message.record || message.index <= this->own_log->last) {
    return;
  }
  if (this->buffered_appends.size() < max_buffered_appends) {
    this->buffered_appends.emplace(message.index, message);
  }
  for (auto at = this->buffered_appends.begin(); at != this->buffered_appends.end();
       at = this->buffered_appends.erase(at)) {
    const append_request& next = at->second;
    if (next.index > this->own_log->last.next()) {
      break;
    }
    if (next.at != this->own_log->at || next.index <= this->own_log->last) {
      continue;
    }
    this->own_log->full = std::max(this->own_log->full, next.full);
    if (apply(this->own_log->state, *next.record, next.index, this->own_log->full)) {
      this->own_log->last = next.index;
    }
  }
}

actions shard_core::on(const host_incarnation& from, const append_request& message,
                       timestamp /*now*/) {
  append_reply reply;
  reply.at = message.at;
  reply.confirmation_number = message.confirmation_number;
  const bool follows_log = this->own_log && this->own_log->at == message.at;
  reply.accepted =
      follows_log && (message.at == this->highest_sealed_epoch || !this->rules.replicas_fence);
  if (reply.accepted) {
    this->append_as_replica(message);
    reply.last = this->own_log->last;
  }
  reply.highest = this->highest_sealed_epoch;
  return {send_message{from, reply}};
}

// --- appending at the owner -------------------------------------------------

bool shard_core::is_counted(const host_incarnation& replica) const {
  if (!contains_host(this->known_entry.replicas, replica)) {
    return false;
  }
  const bool undecided = this->proposed && this->rules.count_only_common_replicas;
  return !undecided || contains_host(this->proposed->replicas, replica);
}

std::uint32_t shard_core::acknowledgements(record_index index) const {
  std::uint32_t count = 0;
  for (const auto& [host, peer] : this->peers) {
    if (peer.installed && peer.acknowledged >= index && this->is_counted(host)) {
      ++count;
    }
  }
  return count;
}

bool shard_core::all_acknowledged(record_index index) const {
  const auto holds = [this, index](const host_incarnation& replica) {
    const auto peer = this->peers.find(replica);
    return peer != this->peers.end() && peer->second.installed &&
           peer->second.acknowledged >= index;
  };
  const bool current =
      std::all_of(this->known_entry.replicas.begin(), this->known_entry.replicas.end(), holds);
  const bool next = !this->proposed || std::all_of(this->proposed->replicas.begin(),
                                                   this->proposed->replicas.end(), holds);
  return current && next && !this->known_entry.replicas.empty() &&
         this->unsealed_former_replicas.empty();
}

bool shard_core::reachable_acknowledged(record_index index) const {
  if (this->acknowledgements(index) == 0) {
    return false;
  }
  for (const host_incarnation& replica : this->known_entry.replicas) {
    const auto peer = this->peers.find(replica);
    const bool reachable =
        peer != this->peers.end() && peer->second.installed && !peer->second.silent;
    if (reachable && peer->second.acknowledged < index) {
      return false;
    }
  }
  return true;
}

std::size_t shard_core::in_sync_replicas() const {
  return this->serving() ? this->acknowledgements(this->own_log->last) : 0;
}

void shard_core::update_full() {
  record_index full = this->own_log->last;
  if (!this->unsealed_former_replicas.empty()) {
    return;
  }
  for (const host_incarnation& replica : this->known_entry.replicas) {
    const auto peer = this->peers.find(replica);
    const bool holds = peer != this->peers.end() && peer->second.installed;
    full = std::min(full, holds ? peer->second.acknowledged : record_index(0));
  }
  this->own_log->full = std::max(this->own_log->full, full);
  const std::uint64_t missing_records = this->own_log->last.get() - full.get();
  while (this->unacknowledged_records.size() > missing_records) {
    this->unacknowledged_records.pop_front();
  }
}

void shard_core::install(const host_incarnation& to, peer_progress& peer, timestamp now,
                         actions& out) {
  peer.last_sent = now;
  out.push_back(send_message{to, install_request{*this->own_log}});
}

bool shard_core::append(const log_record& record, timestamp now, actions& out) {
  const record_index index = this->own_log->last.next();
  if (!apply(this->own_log->state, record, index, this->own_log->full)) {
    return false;
  }
  this->own_log->last = index;
  this->unacknowledged_records.push_back(record);
  if (this->unacknowledged_records.size() > max_unacknowledged_records) {
    this->unacknowledged_records.pop_front();
  }
  for (auto& [host, peer] : this->peers) {
    if (!peer.installed) {
      continue;
    }
    if (peer.acknowledged.next() == index) {
      peer.behind_since = now;
    }
    peer.last_sent = now;
    out.push_back(send_message{
        host, append_request{this->known_entry.at, index, this->own_log->full, record, 0}});
  }
  return true;
}

void shard_core::send_missing(const host_incarnation& to, peer_progress& peer, timestamp now,
                              actions& out) {
  if (!peer.sealed) {
    this->request_seal(to, now, out);
    return;
  }
  const std::uint64_t missing_records = this->own_log->last.get() - peer.acknowledged.get();
  if (!peer.installed || missing_records > this->unacknowledged_records.size()) {
    this->install(to, peer, now, out);
    return;
  }
  peer.last_sent = now;
  if (missing_records == 0) {
    out.push_back(send_message{to, append_request{this->known_entry.at, this->own_log->last,
                                                  this->own_log->full, std::nullopt, 0}});
    return;
  }
  std::uint64_t index = peer.acknowledged.get();
  for (auto at = this->unacknowledged_records.end() - static_cast<std::ptrdiff_t>(missing_records);
       at != this->unacknowledged_records.end(); ++at) {
    out.push_back(send_message{to, append_request{this->known_entry.at, record_index(++index),
                                                  this->own_log->full, *at, 0}});
  }
}

actions shard_core::on(const host_incarnation& from, const append_reply& message, timestamp now) {
  actions out;
  if (!this->serving() || message.at != this->known_entry.at) {
    return out;
  }
  const auto found = this->peers.find(from);
  if (found == this->peers.end() || !message.accepted) {
    // A rejection means that a later owner exists; the shard map will show it.
    return out;
  }
  peer_progress& peer = found->second;
  peer.last_reply = now;
  peer.silent = false;
  peer.installed = peer.installed || message.last > record_index(0);
  const bool behind = message.last < peer.acknowledged;
  peer.acknowledged = std::max(peer.acknowledged, message.last);
  if (message.confirmation_number != 0) {
    this->confirm_calls(message.confirmation_number, now, out);
  }
  this->update_full();
  this->advance_calls(now, out);
  const bool gap = peer.acknowledged < this->own_log->last && !behind &&
                   now - peer.last_sent >= this->times.resend_after;
  if (gap) {
    this->send_missing(from, peer, now, out);
  }
  return out;
}

void shard_core::confirm_calls(std::uint64_t confirmation_number, timestamp now, actions& out) {
  for (auto& [call, item] : this->calls) {
    if (item.stage == call_stage::confirming && item.confirmation_number <= confirmation_number) {
      this->dispatch(call, item, now, out);
    }
  }
}

// --- calls ------------------------------------------------------------------

bool shard_core::within_split_budget(const program_state& program) const {
  if (!this->rules.halve_budget_when_split) {
    return true;
  }
  const std::int64_t at_full = program.tokens_left_at_full().get();
  return program.tokens_left().get() >= at_full - at_full / 2;
}

void shard_core::dispatch(call_id call, open_call& item, timestamp now, actions& out) {
  item.stage = call_stage::dispatched;
  item.since = now;
  const auto earliest_send = this->send_not_before.find(item.program);
  dispatch_call order{call, *item.intent, now, now + this->times.dispatch_gap};
  if (earliest_send != this->send_not_before.end()) {
    order.not_before = std::max(now, earliest_send->second);
    order.send_by = order.not_before + this->times.dispatch_gap;
    item.since = order.not_before;
  }
  out.push_back(std::move(order));
}

bool shard_core::advance_call(call_id call, open_call& item, timestamp now, actions& out) {
  if (item.stage == call_stage::logging_intent) {
    const program_state& program = this->own_log->state.programs.at(item.program);
    const bool one = this->acknowledgements(item.index) > 0 || !this->rules.intent_before_dispatch;
    const bool can_dispatch =
        this->all_acknowledged(item.index) || (one && this->within_split_budget(program));
    if (can_dispatch) {
      this->dispatch(call, item, now, out);
    }
    return false;
  }
  if (item.stage != call_stage::logging_result || !this->reachable_acknowledged(item.index)) {
    return false;
  }
  const std::uint32_t copies = this->acknowledgements(item.index) + 1;
  if (item.forwarded_by) {
    late_result_reply reply{item.program, item.intent->call_ticket, true, copies, {}, 0, {}};
    reply.next = item.answer->next;
    reply.digest = item.answer->digest;
    reply.budget_left = item.answer->budget_left;
    out.push_back(send_message{*item.forwarded_by, std::move(reply)});
    return true;
  }
  item.answer->copies = copies;
  out.push_back(answer_call{call, std::move(*item.answer)});
  return true;
}

void shard_core::advance_calls(timestamp now, actions& out) {
  for (auto at = this->calls.begin(); at != this->calls.end();) {
    const bool done = this->advance_call(at->first, at->second, now, out);
    at = done ? this->calls.erase(at) : std::next(at);
  }
}

actions shard_core::on(const host_incarnation& from, const late_result& message, timestamp now) {
  actions out;
  if (!this->serving()) {
    return out;
  }
  const turn_finished& result = message.result;
  const program_state* program = this->find_program(result.program);
  const finished_turn* known_turn =
      program == nullptr ? nullptr : program->find_finished(result.call_ticket);
  const bool fits = program != nullptr && known_turn == nullptr && !program->open_intent &&
                    program->find_abandoned(result.call_ticket) != nullptr &&
                    result.call_ticket.turn == program->next_turn();
  if (!fits && known_turn == nullptr) {
    out.push_back(send_message{
        from, late_result_reply{result.program, result.call_ticket, false, 0, {}, 0, {}}});
    return out;
  }
  open_call item;
  item.program = result.program;
  item.stage = call_stage::logging_result;
  item.intent = intent_logged{};
  item.intent->call_ticket = result.call_ticket;
  item.forwarded_by = from;
  item.since = now;
  if (known_turn == nullptr) {
    // The result takes this turn, so the new ticket that was issued for the turn must not run.
    this->nonces.erase(result.program);
    this->append(result, now, out);
  }
  item.index = this->own_log->last;
  // A message carries no random number. The nonce is derived from the ticket and the epoch, and
  // differs from each nonce that was issued for the turn.
  const std::uint64_t new_nonce =
      chain_digest(result.call_ticket.nonce, to_string(result.call_ticket),
                   std::to_string(this->known_entry.at.get()));
  item.answer = this->make_answer(this->own_log->state.programs.at(result.program), new_nonce);
  // Ids of calls without a caller count down from the largest number, so none is a caller's id.
  std::uint64_t key = ~std::uint64_t{0};
  while (this->calls.contains(call_id(key))) {
    --key;
  }
  this->calls.emplace(call_id(key), std::move(item));
  this->advance_calls(now, out);
  return out;
}

actions shard_core::on(const host_incarnation& /*from*/, const late_result_reply& message,
                       timestamp /*now*/) {
  actions out;
  const auto found = this->late_calls.find(message.call_ticket);
  if (found == this->late_calls.end()) {
    return out;
  }
  const turn_finished& result = found->second.result;
  call_answer answer;
  finished_turn turn;
  turn.call_ticket = result.call_ticket;
  turn.request = result.request;
  turn.answer = result.answer;
  turn.used = result.used;
  turn.failed = result.failed;
  answer.turn = std::move(turn);
  answer.copies = message.copies;
  answer.next = message.next;
  answer.digest = message.digest;
  answer.budget_left = message.budget_left;
  if (!message.kept) {
    answer.error = error_kind::ran_not_kept;
  }
  out.push_back(answer_call{found->second.call, std::move(answer)});
  this->late_calls.erase(found);
  return out;
}

actions shard_core::on(const host_incarnation& /*from*/, const hand_over_request& message,
                       timestamp now) {
  if (this->current_role != role_kind::follower || message.at != this->known_entry.at) {
    return {};
  }
  // The nonce only has to differ from those of other proposals for this epoch.
  std::vector<host_incarnation> replicas = this->known_entry.replicas;
  return this->claim(std::move(replicas), this->known_entry.nonce + this->self.start.get() + 1,
                     now);
}

// --- time -------------------------------------------------------------------

void shard_core::give_up_intents(timestamp now, actions& out) {
  std::vector<call_id> expired;
  for (const auto& [call, item] : this->calls) {
    const bool waits =
        item.stage == call_stage::logging_intent || item.stage == call_stage::confirming;
    if (waits && now - item.since > this->times.append_wait) {
      expired.push_back(call);
    }
  }
  for (const call_id call : expired) {
    const open_call item = this->calls.at(call);
    this->calls.erase(call);
    this->append(intent_voided{item.program, item.intent->call_ticket}, now, out);
    call_answer refusal;
    refusal.error = error_kind::not_ready;
    refusal.detail = "no replica confirmed the call; nothing was sent";
    out.push_back(answer_call{call, refusal});
  }
}

void shard_core::give_up_late_results(timestamp now, actions& out) {
  for (auto at = this->late_calls.begin(); at != this->late_calls.end();) {
    late_call& item = at->second;
    if (now - item.since > this->times.late_result_wait) {
      call_answer answer;
      answer.error = error_kind::ran_not_kept;
      finished_turn turn;
      turn.call_ticket = item.result.call_ticket;
      turn.answer = item.result.answer;
      answer.turn = std::move(turn);
      out.push_back(answer_call{item.call, std::move(answer)});
      at = this->late_calls.erase(at);
      continue;
    }
    if (now - item.last_sent >= this->times.resend_after) {
      item.last_sent = now;
      out.push_back(send_message{this->known_entry.owner, late_result{item.result}});
    }
    ++at;
  }
}

void shard_core::mark_silent_replicas(timestamp now, actions& out) {
  bool missing_records = false;
  for (const host_incarnation& replica : this->known_entry.replicas) {
    peer_progress& peer = this->peers[replica];
    const bool behind = !peer.installed || peer.acknowledged < this->own_log->last;
    const duration silence = now - std::max(peer.behind_since, peer.last_reply);
    peer.silent = peer.silent || (behind && silence > this->times.replica_silence);
    missing_records = missing_records || peer.silent;
  }
  if (missing_records != this->degraded) {
    this->degraded = missing_records;
    out.push_back(role_changed{
        missing_records ? role_changed::change::degraded : role_changed::change::restored,
        this->known_entry.at});
  }
}

actions shard_core::tick(timestamp now) {
  actions out;
  this->give_up_late_results(now, out);
  if (this->current_role == role_kind::sealing) {
    if (now - this->sealing_since > this->times.seal_wait) {
      this->start_serving(now, out);
      return out;
    }
    for (const host_incarnation& host : this->all_peers()) {
      const peer_progress& peer = this->peers[host];
      if (!peer.sealed && now - peer.last_sent >= this->times.resend_after) {
        this->request_seal(host, now, out);
      }
    }
    return out;
  }
  if (!this->serving()) {
    return out;
  }
  for (const host_incarnation& host : this->all_peers()) {
    peer_progress& peer = this->peers[host];
    const bool waiting = !peer.sealed || !peer.installed || peer.acknowledged < this->own_log->last;
    const bool needs = waiting || !this->calls.empty();
    if (needs && now - peer.last_sent >= this->times.resend_after) {
      this->send_missing(host, peer, now, out);
    }
  }
  this->give_up_intents(now, out);
  this->mark_silent_replicas(now, out);
  this->advance_calls(now, out);
  return out;
}

}  // namespace hawthornlane
