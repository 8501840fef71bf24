// Shard core: the shard map and the invariants. Programs and calls are in shard_core_calls.cc, the
// log protocol in shard_core_log.cc, the takeover in shard_core_takeover.cc.
#include "hawthornlane/ownership/shard_core.h"

#include <algorithm>
#include <utility>

#include "log_order.h"

namespace hawthornlane {
shard_core::shard_core(shard_id shard, host_incarnation own, ownership_times protocol_times,
                       ownership_rules active_rules)
    : own_shard(shard), self(std::move(own)), times(protocol_times), rules(active_rules) {}

// --- the shard map ---------------------------------------------------------

actions shard_core::observe_assignment(const assignment& entry, timestamp now) {
  actions out;
  if (this->proposed) {
    this->resolve_proposal(entry, now, out);
  }
  if (entry.at < this->known_entry.at) {
    return out;
  }
  if (entry.at > this->known_entry.at) {
    if (this->current_role != role_kind::follower) {
      this->depose(entry, now, out);
    }
    this->known_entry = entry;
    return out;
  }
  if (this->current_role == role_kind::follower) {
    this->known_entry = entry;
  }
  return out;
}

actions shard_core::claim(std::vector<host_incarnation> replicas, std::uint64_t random,
                          timestamp /*now*/) {
  actions out;
  if (this->current_role != role_kind::follower || this->proposed) {
    return out;
  }
  std::erase(replicas, this->self);
  this->proposed = assignment{this->known_entry.at.next(), this->self, std::move(replicas), random};
  this->current_role = role_kind::claiming;
  out.push_back(propose_assignment{this->known_entry, *this->proposed});
  return out;
}

bool shard_core::is_in_sync(const host_incarnation& replica) const {
  const auto peer = this->peers.find(replica);
  return this->serving() && peer != this->peers.end() && peer->second.installed &&
         peer->second.acknowledged == this->own_log->last;
}

actions shard_core::change_replicas(std::vector<host_incarnation> replicas, std::uint64_t random,
                                    timestamp /*now*/) {
  actions out;
  if (!this->serving() || this->proposed) {
    return out;
  }
  std::erase(replicas, this->self);
  bool removes = false;
  bool stays = false;
  for (const host_incarnation& replica : this->known_entry.replicas) {
    if (!contains_host(replicas, replica)) {
      removes = true;
      continue;
    }
    stays = stays || this->is_in_sync(replica);
  }
  if (removes && !stays && this->rules.remove_only_when_others_hold_all) {
    return out;
  }
  this->proposed = assignment{this->known_entry.at, this->self, std::move(replicas), random};
  out.push_back(propose_assignment{this->known_entry, *this->proposed});
  return out;
}

actions shard_core::proposal_ended(const assignment& expected, proposal_outcome outcome,
                                   const std::optional<assignment>& current, timestamp now) {
  if (!this->proposed) {
    return {};
  }
  switch (outcome) {
    case proposal_outcome::applied:
      return this->observe_assignment(*this->proposed, now);
    case proposal_outcome::rejected:
      if (!current) {
        return {};
      }
      // The owner has changed the replica set in the same epoch. No entry returns once it has been
      // replaced, so this claim can no longer succeed.
      if (this->current_role == role_kind::claiming && expected == this->known_entry &&
          current->at == expected.at && *current != expected) {
        this->proposed.reset();
        this->current_role = role_kind::follower;
      }
      return this->observe_assignment(*current, now);
    case proposal_outcome::unknown:
      // The write may have been applied or not: the host reads the entry back and calls
      // `observe_assignment`, or writes the same proposal again.
      return {};
  }
  return {};
}

void shard_core::resolve_proposal(const assignment& entry, timestamp now, actions& out) {
  const assignment own_proposal = *this->proposed;
  if (entry == own_proposal) {
    this->proposed.reset();
    if (this->current_role == role_kind::claiming) {
      this->start_sealing(own_proposal, now, out);
      return;
    }
    this->known_entry = own_proposal;
    for (const host_incarnation& replica : own_proposal.replicas) {
      peer_progress& peer = this->peers[replica];
      if (!peer.sealed) {
        out.push_back(send_message{replica, seal_request{this->known_entry.at}});
        peer.last_sent = now;
      }
    }
    std::erase_if(this->peers, [&own_proposal](const auto& item) {
      return !contains_host(own_proposal.replicas, item.first);
    });
    this->advance_calls(now, out);
    return;
  }
  const bool superseded = entry.at >= own_proposal.at && entry.nonce != this->known_entry.nonce;
  if (!superseded) {
    return;
  }
  this->proposed.reset();
  if (this->current_role == role_kind::claiming) {
    this->current_role = role_kind::follower;
  }
}

actions shard_core::hand_over(const host_incarnation& successor) {
  actions out;
  if (this->serving() && contains_host(this->known_entry.replicas, successor)) {
    out.push_back(send_message{successor, hand_over_request{this->known_entry.at}});
  }
  return out;
}

void shard_core::host_gone(const host_incarnation& host) {
  // Without the former owner, or without the only replica that is not sealed, the other side of a
  // network partition sends no further calls, so its share of the budgets is free again.
  // What that replica acknowledged before remains unknown.
  if (!this->serving() || !this->own_log || (this->unsealed_former_replicas.empty())) {
    return;
  }
  const bool is_only_unsealed =
      this->unsealed_former_replicas.size() == 1 && this->unsealed_former_replicas.contains(host);
  if (host != this->former_entry.owner && !is_only_unsealed) {
    return;
  }
  for (auto& [id, program] : this->own_log->state.programs) {
    program.withheld = token_count(0);
  }
}

namespace {

/// Checks a program's turns from index `first` on, and its open intent. Empty if they are valid.
std::string broken_program(const program_state& program, std::size_t first) {
  const std::string& id = program.opened.program.get();
  std::uint64_t digest = first == 0 ? 0 : program.turns[first - 1].digest;
  for (std::size_t at = first; at < program.turns.size(); ++at) {
    const finished_turn& item = program.turns[at];
    digest = chain_digest(digest, item.request, item.answer);
    if (item.digest != digest || item.call_ticket.turn.get() != at + 1) {
      return "history of " + id + ": wrong digest or ticket at turn " + std::to_string(at + 1);
    }
  }
  if (program.open_intent && program.open_intent->call_ticket.turn != program.next_turn()) {
    return "open intent of " + id + " is not for the next turn";
  }
  return {};
}

}  // namespace

std::string shard_core::broken_invariant() const {
  if (!this->own_log) {
    return {};
  }
  for (const auto& [id, program] : this->own_log->state.programs) {
    std::string broken = broken_program(program, 0);
    if (!broken.empty()) {
      return broken;
    }
  }
  return {};
}

std::string shard_core::broken_invariant_in_newest_turns() const {
  if (!this->own_log) {
    return {};
  }
  for (const auto& [id, program] : this->own_log->state.programs) {
    std::string broken =
        broken_program(program, program.turns.empty() ? 0 : program.turns.size() - 1);
    if (!broken.empty()) {
      return broken;
    }
  }
  return {};
}

}  // namespace hawthornlane
