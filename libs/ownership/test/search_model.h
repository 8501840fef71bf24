// A small model around the real shard cores: one shard, three hosts, one map entry, a network
// that delivers in any order, and a caller that repeats its requests.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "search_state.h"

namespace hawthornlane::search {

/// Computes the possible steps of a state and checks the guarantees of `shard_core`.
class explorer {
public:
  explorer(bounds limits, ownership_rules rules) : limits(limits), rules(rules) {}

  model initial() const;
  std::vector<step> steps(const model& state) const;

private:
  void put(model& state, in_flight item) const;
  void carry_out(model& state, std::size_t host, const actions& todo) const;
  void note_answer(model& state, const call_answer& answer, const ticket& presented) const;
  void deliver(model& state, const in_flight& item) const;
  void deliver_request(model& state, const in_flight& item) const;
  void deliver_map_write(model& state, const in_flight& item, bool lose_answer) const;
  void add_deliveries(const model& state, std::vector<step>& out) const;
  void add_faults(const model& state, std::vector<step>& out) const;
  void add_claims(const model& state, std::vector<step>& out) const;
  void add_host_steps(const model& state, std::vector<step>& out) const;
  void add_requests(const model& state, std::vector<step>& out) const;
  bool is_delivered_immediately(const in_flight& item) const;
  void deliver_immediately(model& state, const in_flight& item) const;
  bool has_no_effect(const model& state, const in_flight& item) const;
  void normalise(model& state) const;
  void add(std::vector<step>& out, std::string name, model after) const;
  program_id program() const { return make_program_id(the_shard, 7); }

  bounds limits;
  ownership_rules rules;
  timestamp now{};
};

inline void explorer::put(model& state, in_flight item) const {
  item.key = bytes_of(item);
  const auto at =
      std::lower_bound(state.pending.begin(), state.pending.end(), item,
                       [](const in_flight& a, const in_flight& b) { return a.key < b.key; });
  state.pending.insert(at, std::move(item));
}

inline void explorer::note_answer(model& state, const call_answer& answer,
                                  const ticket& presented) const {
  if (answer.error == error_kind::not_run || answer.error == error_kind::budget_exhausted) {
    state.refused.insert(presented);
  }
  if (this->limits.follow_new_tickets && answer.next) {
    state.current = *answer.next;
  }
}

inline void explorer::carry_out(model& state, std::size_t host, const actions& todo) const {
  for (const action& item : todo) {
    if (const auto* send = std::get_if<send_message>(&item)) {
      in_flight message;
      message.from = host;
      message.to = index_of(send->to);
      message.message = send->message;
      if (this->is_delivered_immediately(message)) {
        this->deliver_immediately(state, message);
      } else {
        this->put(state, std::move(message));
      }
    } else if (const auto* write = std::get_if<propose_assignment>(&item)) {
      in_flight proposal;
      proposal.what = in_flight::kind::map_write;
      proposal.from = host;
      proposal.expected = write->expected;
      proposal.desired = write->desired;
      const bool is_claim = write->desired.at != write->expected.at;
      if (is_claim && !this->limits.late_answers && state.faults_left == 0) {
        // Writing a claim later equals claiming later, so it is written immediately.
        this->deliver_map_write(state, proposal, false);
      } else {
        this->put(state, std::move(proposal));
      }
    } else if (const auto* order = std::get_if<dispatch_call>(&item)) {
      in_flight sending;
      sending.what = in_flight::kind::send_order;
      sending.from = host;
      sending.to = host;
      sending.call = order->call;
      sending.presented = order->intent.call_ticket;
      this->put(state, std::move(sending));
    } else if (const auto* answer = std::get_if<answer_call>(&item)) {
      const ticket asked = answer->answer.turn ? answer->answer.turn->call_ticket : ticket{};
      this->note_answer(state, answer->answer, asked);
    }
  }
}

inline void explorer::deliver_request(model& state, const in_flight& item) const {
  shard_core& host = state.hosts[item.to];
  call_request request;
  request.call = item.call;
  request.program = this->program();
  request.account = client_account("one");
  request.presented = item.presented;
  request.repeatable = this->limits.repeatable;
  request.reserved = this->limits.reserved;
  const std::uint64_t random = stand_in_random(item.to, state);
  if (const auto answer = host.check_call(request, random)) {
    this->note_answer(state, *answer, item.presented);
    return;
  }
  // An admitted call may wait in a queue and be refused after all; `begin_call` checks it again.
  this->carry_out(state, item.to, host.begin_call(request, random, this->now));
}

inline void explorer::deliver_map_write(model& state, const in_flight& item,
                                        bool lose_answer) const {
  in_flight answer;
  answer.what = in_flight::kind::map_answer;
  answer.to = item.from;
  answer.expected = item.expected;
  answer.outcome = proposal_outcome::rejected;
  if (state.map_entry == item.expected) {
    state.map_entry = item.desired;
    answer.outcome = proposal_outcome::applied;
  }
  answer.desired = state.map_entry;
  if (this->limits.late_answers) {
    this->put(state, std::move(answer));
  } else if (!lose_answer && state.alive[answer.to]) {
    this->deliver(state, answer);
  }
}

/// Whether a message is delivered immediately. Answers to seals and installs are, since a late
/// answer equals a late request. Answers to appends are delayed on their own with `late_answers`.
inline bool explorer::is_delivered_immediately(const in_flight& item) const {
  const auto* reply = std::get_if<append_reply>(&*item.message);
  const bool to_install = reply != nullptr && reply->last <= record_index(1);
  const bool answers_append = reply != nullptr && !this->limits.late_answers;
  return to_install || answers_append || std::holds_alternative<seal_reply>(*item.message);
}

inline void explorer::deliver_immediately(model& state, const in_flight& item) const {
  if (state.alive[item.to]) {
    this->carry_out(state, item.to,
                    state.hosts[item.to].receive(host_at(item.from), *item.message, this->now));
  }
}

inline void explorer::deliver(model& state, const in_flight& item) const {
  shard_core& host = state.hosts[item.to];
  switch (item.what) {
    case in_flight::kind::message:
      this->carry_out(state, item.to, host.receive(host_at(item.from), *item.message, this->now));
      break;
    case in_flight::kind::map_write:
      this->deliver_map_write(state, item, false);
      break;
    case in_flight::kind::map_answer:
      this->carry_out(state, item.to,
                      host.proposal_ended(item.expected, item.outcome, item.desired, this->now));
      break;
    case in_flight::kind::send_order: {
      actions out;
      if (host.may_send(item.call, this->now, out)) {
        state.executed[item.presented] += 1;
        state.spent += this->limits.reserved.get();
        if (!this->limits.with_results) {
          break;
        }
        in_flight result;
        result.what = in_flight::kind::result;
        result.from = item.to;
        result.to = item.to;
        result.call = item.call;
        result.presented = item.presented;
        this->put(state, std::move(result));
      }
      this->carry_out(state, item.to, out);
      break;
    }
    case in_flight::kind::result: {
      call_result result;
      result.call = item.call;
      result.request = "q";
      result.answer = "a";
      result.used = this->limits.reserved;
      this->carry_out(state, item.to,
                      host.finish_call(result, stand_in_random(item.to, state) + 40, this->now));
      break;
    }
    case in_flight::kind::request:
      this->deliver_request(state, item);
      break;
  }
}

/// Whether the delivery of `item` has no effect, now or later.
inline bool explorer::has_no_effect(const model& state, const in_flight& item) const {
  if (item.what == in_flight::kind::map_write) {
    return false;
  }
  if (!state.alive[item.to]) {
    return true;
  }
  if (item.what != in_flight::kind::message) {
    return false;
  }
  const shard_core& host = state.hosts[item.to];
  if (const auto* reply = std::get_if<append_reply>(&*item.message)) {
    return reply->at < host.known_assignment().at || !reply->accepted;
  }
  if (const auto* reply = std::get_if<seal_reply>(&*item.message)) {
    return reply->at < host.known_assignment().at || !reply->granted;
  }
  if (const auto* request = std::get_if<append_request>(&*item.message)) {
    return this->rules.replicas_fence && request->at < host.sealed_epoch();
  }
  if (const auto* request = std::get_if<install_request>(&*item.message)) {
    return request->log.at < host.sealed_epoch();
  }
  return false;
}

inline void explorer::normalise(model& state) const {
  std::erase_if(state.pending,
                [&](const in_flight& item) { return this->has_no_effect(state, item); });
  for (const auto& [presented, times] : state.executed) {
    if (times > 1 && !this->limits.repeatable) {
      state.violation = "ticket dispatched " + std::to_string(times) + " times";
    }
    if (state.refused.contains(presented)) {
      state.violation = "ticket was refused as not run, but was dispatched";
    }
  }
  if (state.spent > this->limits.budget.get()) {
    state.violation = "spent " + std::to_string(state.spent) + " of a budget of " +
                      std::to_string(this->limits.budget.get());
  }
  for (const shard_core& host : state.hosts) {
    const std::string broken = host.broken_invariant();
    if (!broken.empty()) {
      state.violation = broken;
    }
  }
}

inline void explorer::add(std::vector<step>& out, std::string name, model after) const {
  this->normalise(after);
  out.push_back({std::move(name), std::move(after)});
}

inline std::string name_of(const in_flight& item) {
  static const std::array<const char*, 6> kinds{"message", "map write", "map answer",
                                                "send",    "result",    "request"};
  static const std::array<const char*, 8> messages{
      "seal", "sealed", "install", "append", "appended", "late result", "late kept", "hand over"};
  std::string name = kinds[static_cast<std::size_t>(item.what)];
  if (item.message) {
    name = messages[item.message->index()];
  }
  return name + " " + host_at(item.from).host.get() + ">" + host_at(item.to).host.get();
}

inline void explorer::add_deliveries(const model& state, std::vector<step>& out) const {
  for (std::size_t at = 0; at < state.pending.size(); ++at) {
    if (at > 0 && state.pending[at].key == state.pending[at - 1].key) {
      continue;
    }
    model after = state;
    const in_flight item = after.pending[at];
    after.pending.erase(after.pending.begin() + static_cast<std::ptrdiff_t>(at));
    this->deliver(after, item);
    this->add(out, name_of(item), std::move(after));
    if (state.faults_left > 0 && item.what == in_flight::kind::map_write &&
        !this->limits.late_answers) {
      model unanswered = state;
      unanswered.pending.erase(unanswered.pending.begin() + static_cast<std::ptrdiff_t>(at));
      --unanswered.faults_left;
      this->deliver_map_write(unanswered, item, true);
      this->add(out, "lose answer to " + name_of(item), std::move(unanswered));
    }
    const bool can_be_lost =
        item.what == in_flight::kind::message || item.what == in_flight::kind::map_answer;
    if (state.faults_left > 0 && can_be_lost) {
      model lost = state;
      lost.pending.erase(lost.pending.begin() + static_cast<std::ptrdiff_t>(at));
      --lost.faults_left;
      this->add(out, "lose " + name_of(item), std::move(lost));
    }
  }
}

inline void explorer::add_faults(const model& state, std::vector<step>& out) const {
  if (state.faults_left == 0) {
    return;
  }
  for (std::size_t host = 0; host < host_count; ++host) {
    if (!state.alive[host]) {
      continue;
    }
    model after = state;
    after.alive[host] = false;
    --after.faults_left;
    this->add(out, "kill " + host_at(host).host.get(), std::move(after));
  }
}

inline void explorer::add_claims(const model& state, std::vector<step>& out) const {
  if (state.takeovers_left == 0) {
    return;
  }
  for (std::size_t host = 0; host < host_count; ++host) {
    const shard_core& core = state.hosts[host];
    const bool can_claim = state.alive[host] && core.role() == shard_core::role_kind::follower;
    if (!can_claim) {
      continue;
    }
    std::vector<host_incarnation> others = state.map_entry.replicas;
    std::erase(others, host_at(host));
    if (this->limits.claim_keeps_owner) {
      others.push_back(state.map_entry.owner);
    }
    model after = state;
    --after.takeovers_left;
    after.hosts[host].observe_assignment(state.map_entry, this->now);
    this->carry_out(after, host,
                    after.hosts[host].claim(others, stand_in_random(host, state) + 80, this->now));
    this->add(out, "claim " + host_at(host).host.get(), std::move(after));
  }
}

inline void explorer::add_host_steps(const model& state, std::vector<step>& out) const {
  for (std::size_t host = 0; host < host_count; ++host) {
    if (!state.alive[host]) {
      continue;
    }
    const shard_core& core = state.hosts[host];
    const std::string name = host_at(host).host.get();
    if (core.role() == shard_core::role_kind::sealing) {
      model after = state;
      this->carry_out(after, host, after.hosts[host].stop_waiting_for_seals(this->now));
      this->add(out, "serve with gap " + name, std::move(after));
    }
    // Skip followers: reading the map does not change them, and a follower that claims the shard
    // reads the map as part of the claim.
    const bool acts = core.role() != shard_core::role_kind::follower;
    const bool map_changed =
        acts && (core.known_assignment().at < state.map_entry.at || core.proposal_open());
    if (map_changed) {
      model after = state;
      this->carry_out(after, host,
                      after.hosts[host].observe_assignment(state.map_entry, this->now));
      this->add(out, "read map " + name, std::move(after));
    }
    if (!core.serving() || state.set_changes_left == 0 || core.proposal_open()) {
      continue;
    }
    for (const host_incarnation& removed : core.known_assignment().replicas) {
      model after = state;
      std::vector<host_incarnation> rest = core.known_assignment().replicas;
      std::erase(rest, removed);
      --after.set_changes_left;
      this->carry_out(
          after, host,
          after.hosts[host].change_replicas(rest, stand_in_random(host, state) + 120, this->now));
      this->add(out, "remove " + removed.host.get() + " by " + name, std::move(after));
    }
  }
}

inline void explorer::add_requests(const model& state, std::vector<step>& out) const {
  if (state.sends_left == 0) {
    return;
  }
  for (std::size_t host = 0; host < host_count; ++host) {
    if (!state.alive[host] || !state.hosts[host].serving()) {
      continue;
    }
    model after = state;
    in_flight request;
    request.what = in_flight::kind::request;
    request.to = host;
    request.call = call_id(static_cast<std::uint64_t>(10 - state.sends_left));
    request.presented = state.current;
    --after.sends_left;
    this->deliver(after, request);
    this->add(out, "call at " + host_at(host).host.get(), std::move(after));
    // Alternatively the owner's limits refuse the call.
    model refused = state;
    --refused.sends_left;
    call_request asked;
    asked.program = this->program();
    asked.account = client_account("one");
    asked.presented = state.current;
    asked.reserved = this->limits.reserved;
    const std::uint64_t random = stand_in_random(host, refused);
    shard_core& core = refused.hosts[host];
    const auto earlier = core.check_call(asked, random);
    const call_answer answer =
        earlier ? *earlier : core.refuse_call(asked, error_kind::not_run, "full", random + 50);
    this->note_answer(refused, answer, asked.presented);
    this->add(out, "call refused at " + host_at(host).host.get(), std::move(refused));
  }
}

inline std::vector<step> explorer::steps(const model& state) const {
  std::vector<step> out;
  this->add_deliveries(state, out);
  this->add_faults(state, out);
  this->add_claims(state, out);
  this->add_host_steps(state, out);
  this->add_requests(state, out);
  return out;
}

/// The first state: the first owner serves, and one program is open at turn 1.
inline model explorer::initial() const {
  model state;
  for (std::size_t host = 0; host < host_count; ++host) {
    state.hosts.emplace_back(the_shard, host_at(host), ownership_times{}, this->rules);
  }
  const auto deliver_all = [&] {
    while (!state.pending.empty()) {
      const in_flight item = state.pending.front();
      state.pending.erase(state.pending.begin());
      this->deliver(state, item);
    }
  };
  this->carry_out(state, 0, state.hosts[0].claim({host_at(1), host_at(2)}, 1, this->now));
  deliver_all();
  program_opened opened;
  opened.program = this->program();
  opened.account = client_account("one");
  opened.limits = {this->limits.budget, 100, 100, 1000};
  this->carry_out(state, 0, state.hosts[0].open_program(call_id(0), opened, 5, this->now));
  deliver_all();
  for (std::size_t host = 1; host < host_count; ++host) {
    state.hosts[host].observe_assignment(state.map_entry, this->now);
  }
  state.current = ticket{the_shard, epoch(1), turn_number(1), 5};
  state.sends_left = this->limits.sends;
  state.faults_left = this->limits.faults;
  state.takeovers_left = this->limits.takeovers;
  state.set_changes_left = this->limits.set_changes;
  return state;
}

}  // namespace hawthornlane::search
