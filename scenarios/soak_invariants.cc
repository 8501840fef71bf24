// Callers that repeat themselves, and what must hold after every step.
#include <fmt/format.h>

#include <algorithm>

#include "hawthornlane/errors/error_kind.h"
#include "soak_world.h"

namespace hawthornlane::soak {

// --- callers -------------------------------------------------------------

void world::maybe_call() {
  if (!this->chance(300)) {
    return;
  }
  if (this->callers.size() < program_count) {
    this->open();
    return;
  }
  caller& from = this->callers[this->draw(this->callers.size())];
  if (!from.current) {
    // An ended program makes room for a new one.
    from = this->callers.back();
    this->callers.pop_back();
    return;
  }
  const std::size_t at = this->draw(this->hosts.size());
  if (!this->acts(this->hosts[at])) {
    return;
  }
  ++this->report.calls;
  shard_core& core = *this->hosts[at].core;
  call_request request;
  request.call = call_id(this->next_call++);
  request.program = from.program;
  request.account = client_account("one");
  request.presented = *from.current;
  // Callers also repeat tickets that they used before.
  if (!this->used[from.program].empty() && this->chance(150)) {
    const auto& old = this->used[from.program];
    request.presented = old[this->draw(old.size())];
  }
  request.repeatable = from.repeatable;
  request.reserved = token_count(reserved);
  this->calls[request.call] = from.program;
  this->asked[request.call] = request.presented;
  this->used[from.program].push_back(request.presented);
  if (core.serving() && this->chance(80)) {
    const auto early = core.check_call(request, this->random());
    this->take_answer(
        request.call,
        early ? *early : core.refuse_call(request, error_kind::not_run, "full", this->random()));
    return;
  }
  this->carry_out(at, core.begin_call(request, this->random(), this->now));
}

void world::open() {
  for (std::size_t at = 0; at < this->hosts.size(); ++at) {
    soak_host& host = this->hosts[at];
    if (!this->acts(host) || !host.core->serving()) {
      continue;
    }
    program_opened record;
    record.program = make_program_id(the_shard, this->random());
    record.account = client_account("one");
    record.limits = {token_count(budget), 50, 50, 1'000'000'000};
    const call_id call(this->next_call++);
    caller fresh;
    fresh.program = record.program;
    fresh.repeatable = this->chance(400);
    this->callers.push_back(fresh);
    this->calls[call] = record.program;
    this->carry_out(at, host.core->open_program(call, record, this->random(), this->now));
    return;
  }
}

void world::take_answer(call_id call, const call_answer& answer) {
  const std::string name =
      answer.error ? std::string(answer_for(*answer.error).name) : std::string("kept");
  ++this->report.answers[name];
  const bool says_not_run =
      answer.error && answer_for(*answer.error).outcome == run_outcome::not_run;
  const auto asked_with = this->asked.find(call);
  if (says_not_run && asked_with != this->asked.end()) {
    this->refused.insert(asked_with->second);
    if (this->executed.contains(asked_with->second)) {
      this->violate("not_run was told of " + to_string(asked_with->second) + ", which ran");
    }
  }
  if (!answer.error && answer.turn && asked_with != this->asked.end()) {
    const std::string expected = "a" + to_string(asked_with->second);
    if (answer.turn->answer != expected) {
      this->violate("call under " + to_string(asked_with->second) + " got another's answer");
    }
  }
  for (caller& from : this->callers) {
    if (from.program != this->calls[call]) {
      continue;
    }
    const bool newer = answer.next && (!from.current || answer.next->turn > from.current->turn ||
                                       (answer.next->turn == from.current->turn &&
                                        answer.next->issued_in >= from.current->issued_in));
    if (newer) {
      from.current = answer.next;
    }
    if (answer.error == error_kind::budget_exhausted ||
        answer.error == error_kind::program_unknown) {
      from.current.reset();
    }
  }
}

// --- invariants ----------------------------------------------------------

void world::violate(const std::string& what) {
  if (this->report.violation.empty()) {
    this->report.violation = what;
  }
}

void world::check() {
  for (const auto& [program, tokens] : this->spent) {
    if (tokens > budget) {
      this->violate(fmt::format("{} spent {} of {}", program.get(), tokens, budget));
    }
  }
  if (this->report.steps % 16 != 0) {
    return;
  }
  for (const soak_host& host : this->hosts) {
    if (!host.core) {
      continue;
    }
    const std::string broken = host.core->broken_invariant();
    if (!broken.empty()) {
      this->violate(broken);
    }
    epoch& highest = this->highest_sealed[host.id];
    if (host.core->sealed_epoch() < highest) {
      this->violate("a sealed epoch fell at " + host.id.host.get());
    }
    highest = host.core->sealed_epoch();
  }
}

}  // namespace hawthornlane::soak
