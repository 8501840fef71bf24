// One shard map, several hosts, and faults; callers and invariants are in soak_invariants.cc.
#include <fmt/format.h>

#include <algorithm>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/ownership/placement.h"
#include "soak_simulation.h"

namespace hawthornlane::soak {

soak_report simulation::run() {
  for (std::uint64_t step = 0; step < this->parameters.steps; ++step) {
    this->now += step_time;
    this->report.steps = step + 1;
    this->deliver_due();
    this->tick();
    this->maybe_fault();
    this->maybe_call();
    this->maybe_claim();
    this->check();
    if (!this->report.violation.empty()) {
      this->report.violation_step = step;
      break;
    }
  }
  return this->report;
}

void simulation::start(std::size_t at) {
  soak_host& host = this->hosts[at];
  host.id = {host_id("host-" + std::to_string(at)), incarnation(this->next_incarnation++)};
  host.core.emplace(the_shard, host.id, ownership_times{}, this->parameters.rules);
  host.core->observe_assignment(this->map, this->now);
}

bool simulation::is_running(const soak_host& host) const {
  return host.core.has_value() && this->now >= host.paused_until;
}

std::optional<std::size_t> simulation::find(const host_incarnation& id) const {
  for (std::size_t at = 0; at < this->hosts.size(); ++at) {
    if (this->hosts[at].core && this->hosts[at].id == id) {
      return at;
    }
  }
  return std::nullopt;
}

void simulation::schedule(scheduled_event item, std::uint64_t extra_ms) {
  const auto delay = std::chrono::milliseconds(1 + this->random_below(60) + extra_ms);
  this->scheduled_events.emplace(this->now + delay, std::move(item));
}

void simulation::note(const std::string& text) const {
  if (this->parameters.trace) {
    fmt::print("{:8} {}\n", this->report.steps, text);
  }
}

// --- actions of shard cores ----------------------------------------------

void simulation::carry_out(std::size_t at, const actions& todo) {
  for (const action& item : todo) {
    if (const auto* message = std::get_if<send_message>(&item)) {
      this->send(at, *message);
    } else if (const auto* write = std::get_if<propose_assignment>(&item)) {
      scheduled_event scheduled;
      scheduled.what = scheduled_event::kind::map_write;
      scheduled.host = at;
      scheduled.from = this->hosts[at].id;
      scheduled.expected = write->expected;
      scheduled.desired = write->desired;
      this->schedule(std::move(scheduled));
    } else if (const auto* order = std::get_if<dispatch_call>(&item)) {
      scheduled_event scheduled;
      scheduled.what = scheduled_event::kind::send;
      scheduled.host = at;
      scheduled.from = this->hosts[at].id;
      scheduled.call = order->call;
      scheduled.under = order->intent.call_ticket;
      scheduled.repeatable = order->intent.repeatable;
      const duration wait = std::max(duration(0), order->not_before - this->now);
      this->schedule(std::move(scheduled),
                     static_cast<std::uint64_t>(wait / std::chrono::milliseconds(1)));
    } else if (const auto* answer = std::get_if<answer_call>(&item)) {
      this->take_answer(answer->call, answer->answer);
    }
  }
}

void simulation::send(std::size_t at, const send_message& message) {
  const bool lost = this->hosts[at].cut_off || this->chance(10);
  const int copies = lost ? 0 : (this->chance(10) ? 2 : 1);
  this->report.faults["message lost"] += lost ? 1 : 0;
  this->report.faults["message duplicated"] += copies == 2 ? 1 : 0;
  for (int copy = 0; copy < copies; ++copy) {
    scheduled_event scheduled;
    scheduled.from = this->hosts[at].id;
    scheduled.to = message.to;
    scheduled.message = message.message;
    this->schedule(std::move(scheduled),
                   this->chance(20) ? this->random_below(longest_delay_ms) : 0);
  }
}

// --- deliveries ----------------------------------------------------------

void simulation::deliver_due() {
  while (!this->scheduled_events.empty() && this->scheduled_events.begin()->first <= this->now) {
    scheduled_event item = std::move(this->scheduled_events.begin()->second);
    this->scheduled_events.erase(this->scheduled_events.begin());
    this->deliver(std::move(item));
  }
}

void simulation::deliver(scheduled_event item) {
  if (item.what == scheduled_event::kind::map_write) {
    this->write_map(item);
    return;
  }
  const host_incarnation& target =
      item.what == scheduled_event::kind::message ? item.to : item.from;
  const auto at = this->find(target);
  if (!at || (item.what == scheduled_event::kind::message && this->hosts[*at].cut_off)) {
    return;
  }
  if (!this->is_running(this->hosts[*at])) {
    // A paused host receives it when it resumes.
    this->scheduled_events.emplace(this->hosts[*at].paused_until, std::move(item));
    return;
  }
  shard_core& core = *this->hosts[*at].core;
  switch (item.what) {
    case scheduled_event::kind::message:
      this->carry_out(*at, core.receive(item.from, *item.message, this->now));
      break;
    case scheduled_event::kind::map_answer:
      this->carry_out(*at,
                      core.proposal_ended(item.expected, item.outcome, item.desired, this->now));
      break;
    case scheduled_event::kind::send:
      this->send_call(*at, core, item);
      break;
    default:
      this->end_call(*at, core, item);
  }
}

void simulation::write_map(const scheduled_event& item) {
  if (this->platform_down) {
    scheduled_event again = item;
    this->schedule(std::move(again), 300);
    return;
  }
  scheduled_event answer = item;
  answer.what = scheduled_event::kind::map_answer;
  const bool applies = this->map == item.expected;
  if (applies) {
    this->map = item.desired;
    this->note(
        fmt::format("epoch {} is owned by {}", this->map.at.get(), this->map.owner.host.get()));
  }
  answer.outcome = applies ? proposal_outcome::applied : proposal_outcome::rejected;
  answer.desired = this->map;
  if (this->chance(50)) {
    ++this->report.faults["map response lost"];
    return;
  }
  this->schedule(std::move(answer));
}

void simulation::send_call(std::size_t at, shard_core& core, const scheduled_event& item) {
  actions out;
  if (core.may_send(item.call, this->now, out)) {
    ++this->report.dispatched;
    const int times = ++this->executed[item.under];
    this->spent[this->calls.at(item.call)] += reserved;
    if (times > 1 && !item.repeatable) {
      this->report_violation("ticket " + to_string(item.under) + " was sent twice");
    }
    if (this->refused.contains(item.under)) {
      this->report_violation("ticket " + to_string(item.under) +
                             " was sent after it was refused with not_run");
    }
    scheduled_event result = item;
    result.what = scheduled_event::kind::result;
    this->schedule(std::move(result), this->random_below(2000));
  }
  this->carry_out(at, out);
}

void simulation::end_call(std::size_t at, shard_core& core, const scheduled_event& item) {
  call_result result;
  result.call = item.call;
  result.request = "q" + to_string(item.under);
  result.answer = "a" + to_string(item.under);
  result.used = token_count(reserved);
  result.unknown = this->chance(10);
  this->carry_out(at, core.finish_call(result, this->random(), this->now));
}

// --- time and faults -----------------------------------------------------

void simulation::tick() {
  for (std::size_t at = 0; at < this->hosts.size(); ++at) {
    soak_host& host = this->hosts[at];
    if (!host.core && this->now >= host.dead_until) {
      this->start(at);
    }
    if (!this->is_running(host)) {
      continue;
    }
    if (!this->platform_down && this->chance(100)) {
      this->carry_out(at, host.core->observe_assignment(this->map, this->now));
    }
    this->carry_out(at, host.core->tick(this->now));
    this->replace_ended_replicas(at);
  }
}

void simulation::replace_ended_replicas(std::size_t at) {
  soak_host& host = this->hosts[at];
  if (!host.core->serving() || !this->chance(30)) {
    return;
  }
  std::vector<placeable_host> there;
  for (const soak_host& other : this->hosts) {
    if (other.core) {
      there.push_back({other.id, availability_zone(other.id.host.get())});
    }
  }
  const auto& current = host.core->known_assignment().replicas;
  auto next = choose_replicas(the_shard, {host.id, availability_zone(host.id.host.get())}, there,
                              current, 2);
  if (next != current) {
    this->carry_out(at, host.core->change_replicas(next, this->random(), this->now));
  }
}

void simulation::maybe_fault() {
  const std::size_t at = this->random_below(this->hosts.size());
  soak_host& host = this->hosts[at];
  if (this->chance(2) && host.core && this->dead() < 2) {
    ++this->report.faults["host killed"];
    this->note("kill " + host.id.host.get());
    host.core.reset();
    host.dead_until = this->now + std::chrono::milliseconds(this->random_below(20'000));
  }
  if (this->chance(3) && host.core) {
    ++this->report.faults["host paused"];
    host.paused_until = this->now + std::chrono::milliseconds(this->random_below(8000));
  }
  if (host.cut_off) {
    host.cut_off = !this->chance(40);
  } else if (this->chance(3) && this->cut() < 2) {
    host.cut_off = true;
    ++this->report.faults["host cut off"];
  }
  if (this->platform_down) {
    this->platform_down = !this->chance(20);
  } else if (this->chance(2)) {
    this->platform_down = true;
    ++this->report.faults["platform down"];
  }
}

std::size_t simulation::dead() const {
  return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(),
                                                [](const soak_host& host) { return !host.core; }));
}

std::size_t simulation::cut() const {
  return static_cast<std::size_t>(std::count_if(
      this->hosts.begin(), this->hosts.end(), [](const soak_host& host) { return host.cut_off; }));
}

void simulation::maybe_claim() {
  const std::size_t at = this->random_below(this->hosts.size());
  soak_host& host = this->hosts[at];
  const bool owner_there = this->find(this->map.owner).has_value();
  if (!this->is_running(host) || this->platform_down || !this->chance(owner_there ? 10 : 200)) {
    return;
  }
  std::vector<host_incarnation> replicas = this->map.replicas;
  std::erase(replicas, host.id);
  for (const soak_host& other : this->hosts) {
    const bool known = std::find(replicas.begin(), replicas.end(), other.id) != replicas.end();
    if (replicas.size() < 2 && other.core && other.id != host.id && !known) {
      replicas.push_back(other.id);
    }
  }
  this->carry_out(at, host.core->observe_assignment(this->map, this->now));
  this->carry_out(at, host.core->claim(std::move(replicas), this->random(), this->now));
}

soak_report run(const soak_parameters& parameters) { return simulation(parameters).run(); }

}  // namespace hawthornlane::soak
