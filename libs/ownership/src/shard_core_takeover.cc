// Shard core: takeover of a shard (sealing, merging of logs, start of service) and the end of
// ownership.
#include <algorithm>
#include <utility>

#include "hawthornlane/ownership/shard_core.h"
#include "log_order.h"

namespace hawthornlane {

void shard_core::request_seal(const host_incarnation& to, timestamp now, actions& out) {
  this->peers[to].last_sent = now;
  out.push_back(send_message{to, seal_request{this->known_entry.at}});
}

void shard_core::start_sealing(const assignment& won, timestamp now, actions& out) {
  this->former_entry = this->known_entry;
  this->known_entry = won;
  this->current_role = role_kind::sealing;
  this->peers.clear();
  this->collected_logs.clear();
  this->nonces.clear();
  this->send_not_before.clear();
  this->unacknowledged_records.clear();
  this->inherited_first_complete_epoch.reset();
  if (won.at < this->highest_sealed_epoch) {
    // A later owner has already sealed this host.
    this->current_role = role_kind::follower;
    return;
  }
  this->highest_sealed_epoch = won.at;
  this->unsealed_former_replicas = {this->former_entry.replicas.begin(),
                                    this->former_entry.replicas.end()};
  this->unsealed_former_replicas.erase(this->self);
  if (this->own_log) {
    this->collected_logs.push_back(*this->own_log);
  }
  for (const host_incarnation& peer : this->all_peers()) {
    this->request_seal(peer, now, out);
  }
  this->sealing_since = now;
  if (this->all_former_sealed()) {
    this->start_serving(now, out);
  }
}

std::vector<host_incarnation> shard_core::all_peers() const {
  std::vector<host_incarnation> hosts = this->known_entry.replicas;
  for (const host_incarnation& missing : this->unsealed_former_replicas) {
    if (!contains_host(hosts, missing)) {
      hosts.push_back(missing);
    }
  }
  const bool had_owner = this->former_entry.at > epoch(0) && this->former_entry.owner != this->self;
  if (had_owner && this->current_role == role_kind::sealing &&
      !contains_host(hosts, this->former_entry.owner)) {
    hosts.push_back(this->former_entry.owner);
  }
  return hosts;
}

bool shard_core::all_former_sealed() const { return this->unsealed_former_replicas.empty(); }

actions shard_core::on(const host_incarnation& from, const seal_reply& message, timestamp now) {
  actions out;
  const bool active = this->current_role == role_kind::sealing || this->serving();
  if (!active || message.at != this->known_entry.at) {
    return out;
  }
  if (!message.granted) {
    return out;
  }
  peer_progress& peer = this->peers[from];
  peer.last_reply = now;
  if (peer.sealed) {
    return out;
  }
  peer.sealed = true;
  if (this->current_role == role_kind::sealing) {
    this->unsealed_former_replicas.erase(from);
    if (message.log) {
      this->collected_logs.push_back(*message.log);
    }
    if (this->all_former_sealed()) {
      this->start_serving(now, out);
    }
    return out;
  }
  if (message.log && message.log->at < this->known_entry.at) {
    this->merge_late_log(*message.log, from, now, out);
  }
  this->unsealed_former_replicas.erase(from);
  if (contains_host(this->known_entry.replicas, from)) {
    this->install(from, peer, now, out);
  } else {
    this->peers.erase(from);
  }
  return out;
}

void shard_core::merge_collected_logs() {
  log_snapshot merged;
  for (const log_snapshot& log : this->collected_logs) {
    if (is_longer(log, merged)) {
      merged = log;
    }
  }
  for (const log_snapshot& log : this->collected_logs) {
    if (log.at != merged.at) {
      merge_state(merged.state, log.state);
    }
  }
  if (merged.at == this->former_entry.at) {
    this->inherited_first_complete_epoch = merged.state.first_complete_epoch;
  }
  merged.at = this->known_entry.at;
  merged.last = record_index(1);
  merged.full = record_index(0);
  this->own_log = std::move(merged);
  this->collected_logs.clear();
}

void shard_core::start_serving(timestamp now, actions& out) {
  this->merge_collected_logs();
  const bool first_owner = this->former_entry.at == epoch(0);
  const bool all_sealed = this->all_former_sealed() || !this->rules.seal_all_before_not_run;
  const bool inherits =
      this->inherited_first_complete_epoch.has_value() || !this->rules.inherit_incompleteness;
  shard_state& state = this->own_log->state;
  if (first_owner) {
    state.first_complete_epoch = epoch(0);
  } else if (all_sealed && inherits) {
    state.first_complete_epoch =
        this->rules.inherit_incompleteness ? *this->inherited_first_complete_epoch : epoch(0);
  } else {
    state.first_complete_epoch = this->known_entry.at;
  }
  const bool split_possible = !first_owner && !this->all_former_sealed();
  for (auto& [id, program] : state.programs) {
    if (program.open_intent) {
      this->send_not_before[id] = now + this->times.dispatch_gap;
      if (this->rules.charge_open_intents) {
        program.abandon_open_intent();
      } else {
        program.abandoned.push_back(*program.open_intent);
        program.open_intent.reset();
      }
    }
    if (split_possible && this->rules.halve_budget_when_split) {
      program.withhold_for_partition();
    }
    program.tokens_left_marks.clear();
    program.mark_tokens_left(this->own_log->last, this->own_log->full);
  }
  this->current_role = role_kind::serving;
  std::erase_if(this->peers, [this](const auto& item) {
    return !contains_host(this->known_entry.replicas, item.first) &&
           !this->unsealed_former_replicas.contains(item.first);
  });
  for (const host_incarnation& replica : this->known_entry.replicas) {
    peer_progress& peer = this->peers[replica];
    peer.behind_since = now;
    if (peer.sealed) {
      this->install(replica, peer, now, out);
    }
  }
  out.push_back(role_changed{
      this->complete() ? role_changed::change::serving : role_changed::change::serving_incomplete,
      this->known_entry.at});
}

actions shard_core::stop_waiting_for_seals(timestamp now) {
  actions out;
  if (this->current_role == role_kind::sealing) {
    this->start_serving(now, out);
  }
  return out;
}

void shard_core::merge_late_log(const log_snapshot& log, const host_incarnation& from,
                                timestamp now, actions& out) {
  if (log.at == this->former_entry.at) {
    this->inherited_first_complete_epoch = log.state.first_complete_epoch;
  }
  shard_state& state = this->own_log->state;
  merge_state(state, log.state);
  for (auto& [id, program] : state.programs) {
    const auto theirs = log.state.programs.find(id);
    if (theirs != log.state.programs.end() && theirs->second.open_intent) {
      this->send_not_before[id] = now + this->times.dispatch_gap;
    }
  }
  const bool is_last_unsealed =
      this->unsealed_former_replicas.size() == 1 && this->unsealed_former_replicas.contains(from);
  if (is_last_unsealed) {
    for (auto& [id, program] : state.programs) {
      program.withheld = token_count(0);
    }
    if (this->inherited_first_complete_epoch) {
      state.first_complete_epoch = *this->inherited_first_complete_epoch;
      out.push_back(role_changed{role_changed::change::completed, this->known_entry.at});
    }
  }
  this->reinstall_log(now, out);
}

void shard_core::reinstall_log(timestamp now, actions& out) {
  this->own_log->last = this->own_log->last.next();
  this->unacknowledged_records.clear();
  for (auto& [id, program] : this->own_log->state.programs) {
    program.mark_tokens_left(this->own_log->last, this->own_log->full);
  }
  for (auto& [host, peer] : this->peers) {
    if (peer.sealed && contains_host(this->known_entry.replicas, host)) {
      this->install(host, peer, now, out);
    }
  }
}

void shard_core::end_call_of_former_owner(call_id call, const open_call& item, timestamp now,
                                          actions& out) {
  const bool has_result = item.stage == call_stage::logging_result && item.intent && item.answer;
  if (has_result && item.answer->turn) {
    const finished_turn& turn = *item.answer->turn;
    turn_finished record{item.program, turn.call_ticket, turn.request,
                         turn.answer,  turn.used,        turn.failed};
    this->late_calls.emplace(turn.call_ticket, late_call{call, record, now, now});
    out.push_back(send_message{this->known_entry.owner, late_result{std::move(record)}});
    return;
  }
  call_answer answer;
  answer.error = has_result ? item.answer->error : error_kind::not_owner;
  if (item.forwarded_by) {
    return;
  }
  out.push_back(answer_call{call, std::move(answer)});
}

void shard_core::depose(const assignment& entry, timestamp now, actions& out) {
  this->known_entry = entry;
  this->proposed.reset();
  const bool was_serving = this->serving();
  this->current_role = role_kind::follower;
  for (auto at = this->calls.begin(); at != this->calls.end();) {
    // A dispatched call continues to run; its result is forwarded to the new owner.
    if (at->second.stage == call_stage::dispatched) {
      ++at;
      continue;
    }
    this->end_call_of_former_owner(at->first, at->second, now, out);
    at = this->calls.erase(at);
  }
  this->peers.clear();
  this->nonces.clear();
  this->unacknowledged_records.clear();
  this->unsealed_former_replicas.clear();
  if (was_serving) {
    out.push_back(role_changed{role_changed::change::deposed, entry.at});
  }
}

}  // namespace hawthornlane
