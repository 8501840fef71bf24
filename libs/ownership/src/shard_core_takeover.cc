// Shard core: takeover of a shard (sealing, merging of logs, start of service) and the end of
// ownership.
#include <algorithm>
#include <utility>

#include "hawthornlane/ownership/shard_core.h"
#include "log_order.h"

namespace hawthornlane {

void shard_core::request_seal(const host_incarnation& to, timestamp now, actions& out) {
  this->peers[to].sent = now;
  out.push_back(send_message{to, seal_request{this->known.at}});
}

void shard_core::start_sealing(const assignment& won, timestamp now, actions& out) {
  this->former = this->known;
  this->known = won;
  this->current_role = role_kind::sealing;
  this->peers.clear();
  this->gathered.clear();
  this->nonces.clear();
  this->hold_until.clear();
  this->unsent.clear();
  this->inherited_unknown.reset();
  if (won.at < this->sealed) {
    // A later owner has already sealed this host.
    this->current_role = role_kind::follower;
    return;
  }
  this->sealed = won.at;
  this->former_missing = {this->former.replicas.begin(), this->former.replicas.end()};
  this->former_missing.erase(this->self);
  if (this->held) {
    this->gathered.push_back(*this->held);
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
  std::vector<host_incarnation> hosts = this->known.replicas;
  for (const host_incarnation& missing : this->former_missing) {
    if (!names(hosts, missing)) {
      hosts.push_back(missing);
    }
  }
  const bool had_owner = this->former.at > epoch(0) && this->former.owner != this->self;
  if (had_owner && this->current_role == role_kind::sealing && !names(hosts, this->former.owner)) {
    hosts.push_back(this->former.owner);
  }
  return hosts;
}

bool shard_core::all_former_sealed() const { return this->former_missing.empty(); }

actions shard_core::on(const host_incarnation& from, const seal_reply& message, timestamp now) {
  actions out;
  const bool mine = this->current_role == role_kind::sealing || this->serving();
  if (!mine || message.at != this->known.at) {
    return out;
  }
  if (!message.granted) {
    return out;
  }
  peer_progress& peer = this->peers[from];
  peer.heard = now;
  if (peer.sealed) {
    return out;
  }
  peer.sealed = true;
  if (this->current_role == role_kind::sealing) {
    this->former_missing.erase(from);
    if (message.log) {
      this->gathered.push_back(*message.log);
    }
    if (this->all_former_sealed()) {
      this->start_serving(now, out);
    }
    return out;
  }
  if (message.log && message.log->at < this->known.at) {
    this->absorb_late(*message.log, from, now, out);
  }
  this->former_missing.erase(from);
  if (names(this->known.replicas, from)) {
    this->install(from, peer, now, out);
  } else {
    this->peers.erase(from);
  }
  return out;
}

void shard_core::merge_gathered() {
  log_snapshot merged;
  for (const log_snapshot& log : this->gathered) {
    if (is_longer(log, merged)) {
      merged = log;
    }
  }
  for (const log_snapshot& log : this->gathered) {
    if (log.at != merged.at) {
      absorb(merged.state, log.state);
    }
  }
  if (merged.at == this->former.at) {
    this->inherited_unknown = merged.state.unknown_below;
  }
  merged.at = this->known.at;
  merged.last = record_index(1);
  merged.full = record_index(0);
  this->held = std::move(merged);
  this->gathered.clear();
}

void shard_core::start_serving(timestamp now, actions& out) {
  this->merge_gathered();
  const bool first_owner = this->former.at == epoch(0);
  const bool all_sealed = this->all_former_sealed() || !this->rules.seal_all_before_not_run;
  const bool inherits = this->inherited_unknown.has_value() || !this->rules.inherit_incompleteness;
  shard_state& state = this->held->state;
  if (first_owner) {
    state.unknown_below = epoch(0);
  } else if (all_sealed && inherits) {
    state.unknown_below = this->rules.inherit_incompleteness ? *this->inherited_unknown : epoch(0);
  } else {
    state.unknown_below = this->known.at;
  }
  const bool split_possible = !first_owner && !this->all_former_sealed();
  for (auto& [id, program] : state.programs) {
    if (program.open_intent) {
      this->hold_until[id] = now + this->times.dispatch_gap;
      if (this->rules.charge_open_intents) {
        program.abandon_open_intent();
      } else {
        program.abandoned.push_back(*program.open_intent);
        program.open_intent.reset();
      }
    }
    if (split_possible && this->rules.halve_budget_when_split) {
      program.withhold_for_split();
    }
    program.left_since.clear();
    program.mark_left(this->held->last, this->held->full);
  }
  this->current_role = role_kind::serving;
  std::erase_if(this->peers, [this](const auto& item) {
    return !names(this->known.replicas, item.first) && !this->former_missing.contains(item.first);
  });
  for (const host_incarnation& replica : this->known.replicas) {
    peer_progress& peer = this->peers[replica];
    peer.behind_since = now;
    if (peer.sealed) {
      this->install(replica, peer, now, out);
    }
  }
  out.push_back(role_changed{
      this->complete() ? role_changed::change::serving : role_changed::change::serving_incomplete,
      this->known.at});
}

actions shard_core::stop_waiting_for_seals(timestamp now) {
  actions out;
  if (this->current_role == role_kind::sealing) {
    this->start_serving(now, out);
  }
  return out;
}

void shard_core::absorb_late(const log_snapshot& log, const host_incarnation& from, timestamp now,
                             actions& out) {
  if (log.at == this->former.at) {
    this->inherited_unknown = log.state.unknown_below;
  }
  shard_state& state = this->held->state;
  absorb(state, log.state);
  for (auto& [id, program] : state.programs) {
    const auto theirs = log.state.programs.find(id);
    if (theirs != log.state.programs.end() && theirs->second.open_intent) {
      this->hold_until[id] = now + this->times.dispatch_gap;
    }
  }
  const bool last_missing = this->former_missing.size() == 1 && this->former_missing.contains(from);
  if (last_missing) {
    for (auto& [id, program] : state.programs) {
      program.withheld = token_count(0);
    }
    if (this->inherited_unknown) {
      state.unknown_below = *this->inherited_unknown;
      out.push_back(role_changed{role_changed::change::completed, this->known.at});
    }
  }
  this->checkpoint(now, out);
}

void shard_core::checkpoint(timestamp now, actions& out) {
  this->held->last = this->held->last.next();
  this->unsent.clear();
  for (auto& [id, program] : this->held->state.programs) {
    program.mark_left(this->held->last, this->held->full);
  }
  for (auto& [host, peer] : this->peers) {
    if (peer.sealed && names(this->known.replicas, host)) {
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
    this->late.emplace(turn.call_ticket, late_call{call, record, now, now});
    out.push_back(send_message{this->known.owner, late_result{std::move(record)}});
    return;
  }
  call_answer answer;
  answer.error = has_result ? item.answer->error : error_kind::not_owner;
  if (item.brought_by) {
    return;
  }
  out.push_back(answer_call{call, std::move(answer)});
}

void shard_core::depose(const assignment& entry, timestamp now, actions& out) {
  this->known = entry;
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
  this->unsent.clear();
  this->former_missing.clear();
  if (was_serving) {
    out.push_back(role_changed{role_changed::change::deposed, entry.at});
  }
}

}  // namespace hawthornlane
