// Membership of a disk host in the ledger set: decides on changes, writes them to the store, and
// completes the host's retirement.
#include <fmt/format.h>

#include <algorithm>

#include "disk_host_state.h"
#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::store_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// A disk host that has not answered for this long may be replaced. Most restarts take less.
/// The change has to end soon after: until then the loss of another disk stops the service.
constexpr auto failure_timeout = std::chrono::milliseconds(2500);
/// A disk host that has not answered for this long is silent: a probe was sent after its last
/// answer and has failed.
constexpr duration max_answer_age = std::chrono::milliseconds(850);
/// Another host's word on who is silent counts for this long.
constexpr auto report_lifetime = std::chrono::milliseconds(1000);
/// The timeout in a set of two, where the loss of one disk stops the service until the disk is
/// replaced. It leaves time for several probes and a retransmitted packet, so that a short stall
/// does not reduce the set to one disk.
constexpr auto failure_timeout_of_two = std::chrono::milliseconds(1000);
static_assert(quota_lease_duration < failure_timeout);
/// After this time the set goes on without a silent disk that none can replace. A host that was
/// removed as planned does not return.
constexpr duration abandonment_timeout = std::chrono::milliseconds(3500);
/// Disk hosts start within 0.3 s of each other; the first set is formed after this wait.
constexpr auto first_set_wait = std::chrono::milliseconds(1500);
/// The disks try one after the other to make a due change of the set. Each has this long, which
/// is enough for two updates of the store when the store is slow.
constexpr auto time_per_candidate = std::chrono::milliseconds(1000);
/// Maximum number of steps in one run of `change_set`: for example, proposing a joint set (the
/// old and the new members), copying, and proposing the new set alone.
constexpr int max_steps = 4;
/// A joint set is taken back after this time although the joining disk answers. Copying the
/// largest log takes less.
constexpr auto joint_time_limit = std::chrono::seconds(15);
/// A disk whose change was taken back for that reason leaves the next attempt to others for this
/// long.
constexpr auto rejoin_delay = std::chrono::seconds(10);
/// A member that has been silent for this long is named in the log as one that the set waits for.
constexpr auto reported_silence = std::chrono::milliseconds(1000);
/// A joint set is logged from this age on.
constexpr auto reported_joint_time = std::chrono::milliseconds(1000);

bool is_in(const std::vector<disk_id>& disks, const disk_id& disk) {
  return std::find(disks.begin(), disks.end(), disk) != disks.end();
}

/// Converts to the clock of `discovery::scheduler_now`.
timestamp timestamp_of(net::steady_time time) {
  return timestamp(std::chrono::duration_cast<duration>(time.time_since_epoch()));
}

}  // namespace

void disk_host::state::note_set_change(const ledger_set& newer) {
  const disk_id& own = this->ledger.identity();
  const bool was_joining =
      this->set && is_in(this->set->next, own) && !is_in(this->set->members, own);
  const bool too_late = steady::now() - this->set_since >= joint_time_limit;
  if (was_joining && too_late && !is_in(newer.all(), own)) {
    this->join_again_at = steady::now() + rejoin_delay;
  }
}

std::vector<member_probe_result> disk_host::state::probe_results() const {
  std::vector<member_probe_result> results{
      {this->ledger.identity(), discovery::scheduler_now(), this->ledger.probe().fence}};
  for (const auto& [name, other] : this->peers) {
    if (other.answered) {
      results.push_back(
          {disk_id(other.entry.disk), timestamp_of(other.received_at), other.heard.fence});
    }
  }
  return results;
}

bool disk_host::state::may_grant_quotas() const {
  if (!this->set) {
    return false;
  }
  const quota_lease_view view{this->ledger.identity(), *this->set,
                              timestamp_of(this->set_confirmed_at), this->probe_results()};
  return holds_quota_lease(view, discovery::scheduler_now());
}

void disk_host::state::update_quota_share() {
  if (!this->set) {
    return;
  }
  const double share = this->share_tracker.share(this->ledger.identity(), this->probe_results(),
                                                 discovery::scheduler_now());
  if (std::exchange(this->managed_quota_share, share) != share) {
    this->quotas.set_share(share);
  }
}

bool disk_host::state::must_leave(const host_id& name) const {
  const auto known = this->retirements.find(name);
  return known != this->retirements.end() &&
         steady::now() - known->second.since >= known->second.request.time_limit / 2;
}

std::size_t disk_host::state::skipped_candidates() {
  set_view any_candidate = this->view(this->time_to_replacement());
  any_candidate.skipped_candidates = any_candidate.disks.size();
  const bool due = decide_set_change(any_candidate).step == set_step::propose;
  const net::steady_time now = steady::now();
  const set_epoch epoch = this->set ? this->set->epoch : set_epoch(0);
  if (!due || epoch != this->due_at_epoch) {
    this->due_at_epoch = epoch;
    this->due_since = now;
    return 0;
  }
  return static_cast<std::size_t>((now - this->due_since) / time_per_candidate);
}

duration disk_host::state::silence_of(const peer& other) const {
  const net::steady_time now = steady::now();
  auto longest = std::chrono::duration_cast<duration>(now - other.received_at);
  for (const auto& [name, witness] : this->peers) {
    const auto age = std::chrono::duration_cast<duration>(now - witness.received_at);
    if (other.answered || !witness.answered || age >= report_lifetime) {
      continue;
    }
    for (const silent_disk& item : witness.silent) {
      const bool same =
          item.disk.get() == other.entry.disk && item.start == other.entry.start.get();
      if (same) {
        longest = std::max<duration>(longest, std::chrono::milliseconds(item.silent_ms) + age);
      }
    }
  }
  return longest;
}

duration disk_host::state::time_to_replacement() const {
  const bool of_two = this->set && this->set->members.size() == 2;
  return of_two ? failure_timeout_of_two : failure_timeout;
}

set_view disk_host::state::view(duration wait) const {
  set_view view;
  view.self = this->ledger.identity();
  view.set = this->set;
  view.joint_overdue =
      this->set && this->set->joint() && steady::now() - this->set_since >= joint_time_limit;
  view.target_size = std::size_t{2} * this->settings.tolerated_losses + 1;
  view.disks.push_back({view.self, true, this->is_retiring(this->self.name),
                        this->must_leave(this->self.name), this->copied, true, false});
  for (const auto& [name, other] : this->peers) {
    const duration silence = this->silence_of(other);
    view.disks.push_back({disk_id(other.entry.disk), silence < wait, this->is_retiring(name),
                          this->must_leave(name), other.heard.copied,
                          other.answered && silence < max_answer_age,
                          silence >= abandonment_timeout});
  }
  return view;
}

std::optional<std::chrono::milliseconds> disk_host::state::silence_of(const disk_id& member) const {
  if (member == this->ledger.identity()) {
    return std::chrono::milliseconds(0);
  }
  for (const auto& [name, other] : this->peers) {
    if (other.entry.disk == member.get()) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                                   other.received_at);
    }
  }
  return std::nullopt;
}

void disk_host::state::report_waiting() {
  if (!this->set) {
    return;
  }
  std::string waits_for;
  std::set<disk_id> answering;
  for (const disk_id& member : this->set->all()) {
    const auto silence = this->silence_of(member);
    if (silence && *silence < reported_silence) {
      answering.insert(member);
      continue;
    }
    waits_for += fmt::format("{}{}: {}", waits_for.empty() ? "" : "; ", member.get(),
                             silence ? fmt::format("{} ms", silence->count()) : "not registered");
  }
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - this->set_since);
  const bool decides = this->set->has_majority(answering);
  const bool late = this->set->joint() && age >= reported_joint_time;
  if (decides && !late) {
    return;
  }
  log(event::ledger_set_waiting,
      {{"epoch", std::to_string(this->set->epoch.get())},
       {"joint", this->set->joint() ? "yes" : "no"},
       {"majority", decides ? "yes" : "no"},
       {"age_ms", std::to_string(age.count())},
       {"waits_for", waits_for},
       {"backlog", std::to_string(this->ledger.backlog())},
       {"backlog_ms", std::to_string(this->ledger.backlog_age().count())}});
}

asio::awaitable<void> disk_host::state::run_membership_tasks(std::shared_ptr<state> self) {
  self->membership_running = true;
  co_await change_set(self);
  co_await copy_ahead(self);
  co_await complete_retirement(self);
  self->membership_running = false;
}

asio::awaitable<void> disk_host::state::change_set(std::shared_ptr<state> self) {
  const bool too_early = !self->set && steady::now() - self->started < first_set_wait;
  if (too_early || !self->fleet.hosts().heard()) {
    co_return;
  }
  for (int step = 0; step < max_steps; ++step) {
    set_view view = self->view(self->time_to_replacement());
    view.skipped_candidates = self->skipped_candidates();
    const set_decision decision = decide_set_change(view);
    const bool joins = decision.step == set_step::propose &&
                       is_in(decision.proposed.next, view.self) &&
                       !is_in(decision.proposed.members, view.self);
    if (decision.step == set_step::nothing || (joins && steady::now() < self->join_again_at)) {
      break;
    }
    const bool succeeded = decision.step == set_step::propose ? co_await propose(self, decision)
                                                              : co_await copy_from_members(self);
    if (!succeeded) {
      break;
    }
  }
}

asio::awaitable<bool> disk_host::state::propose(std::shared_ptr<state> self,
                                                set_decision decision) {
  const std::string spec = platform_adapter::ledger_set_spec(decision.proposed);
  failure reason;
  store_outcome outcome = store_outcome::refused;
  if (self->set) {
    outcome = co_await self->store.replace(object_kind::hosts, platform_adapter::ledger_object_name,
                                           self->set_revision, spec, reason);
  } else {
    outcome = co_await self->store.create(object_kind::hosts, platform_adapter::ledger_object_name,
                                          spec, reason);
  }
  // Whatever the result of the write, which may also be unknown, the store's current content
  // decides. Read that here, since the watch may report it late.
  platform_adapter::stored_object held;
  failure read_reason;
  const store_outcome read = co_await self->store.get(
      object_kind::hosts, platform_adapter::ledger_object_name, held, read_reason);
  if (read == store_outcome::done) {
    self->adopt_ledger_set(held);
  }
  log(outcome == store_outcome::done ? event::ledger_set_changed : event::ledger_set_change_failed,
      {{"epoch", std::to_string(decision.proposed.epoch.get())},
       {"reason", decision.reason},
       {"detail", reason.detail}});
  co_return self->set&& * self->set == decision.proposed;
}

asio::awaitable<void> disk_host::state::complete_retirement(std::shared_ptr<state> self) {
  const host_id& own = self->self.name;
  const auto known = self->retirements.find(own);
  const bool is_open = known != self->retirements.end() && !known->second.request.completed;
  if (!is_open || !may_complete_retirement(self->view(self->time_to_replacement()))) {
    co_return;
  }
  failure reason;
  const auto outcome = co_await self->store.set_status(
      object_kind::retirements, own.get(), platform_adapter::retirement_completed_status(), reason);
  if (outcome == store_outcome::done) {
    self->retirements.at(own).request.completed = true;
  }
}

}  // namespace hawthornlane::disk
