// Membership of a disk host in the ledger set: decides on changes, copies records into a joint
// set (the old and the new members during a change), and completes the host's retirement.
#include <fmt/format.h>

#include <algorithm>

#include "disk_host_state.h"
#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::store_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// A disk host that has not answered for this long may be replaced. A restart takes two to
/// three seconds, and copying to another disk host costs more than waiting for the restart.
constexpr auto failure_timeout = std::chrono::milliseconds(3500);
/// The timeout in a set of two, where the loss of one disk stops the service until the disk is
/// replaced. It leaves time for several probes and a retransmitted packet, so that a short stall
/// does not reduce the set to one disk.
constexpr auto failure_timeout_of_two = std::chrono::milliseconds(1000);
static_assert(quota_lease_duration < failure_timeout);
/// Disk hosts start within 0.3 s of each other; the first set is formed after this wait.
constexpr auto first_set_wait = std::chrono::milliseconds(1500);
/// The disks try one after the other to make a due change of the set. Each has this long, which
/// is enough for two updates of the store when the store is slow.
constexpr auto time_per_candidate = std::chrono::milliseconds(1000);
/// Maximum number of steps in one run of `change_set`: for example, proposing a joint set (the
/// old and the new members), copying, and proposing the new set alone.
constexpr int max_steps = 4;
constexpr duration fence_timeout = std::chrono::milliseconds(1500);
constexpr duration copy_timeout = std::chrono::milliseconds(1500);
/// Pause before the members are asked again if too few could be copied from.
constexpr auto copy_retry_interval = std::chrono::milliseconds(500);
/// Pause between two pages, so that copying leaves most of half a core for serving turns.
constexpr auto page_pause = std::chrono::milliseconds(5);

/// A member that has been silent for this long is named in the log as one that the set waits for.
constexpr auto reported_silence = std::chrono::milliseconds(1000);
/// A joint set is logged from this age on.
constexpr auto reported_joint_time = std::chrono::milliseconds(1000);

/// Converts to the clock of `discovery::scheduler_now`.
timestamp timestamp_of(net::steady_time time) {
  return timestamp(std::chrono::duration_cast<duration>(time.time_since_epoch()));
}

}  // namespace

bool disk_host::state::may_grant_quotas() const {
  if (!this->set) {
    return false;
  }
  quota_lease_view view{
      this->ledger.identity(), *this->set, timestamp_of(this->set_confirmed_at), {}};
  for (const auto& [name, other] : this->peers) {
    if (other.answered) {
      view.probe_results.push_back(
          {disk_id(other.entry.disk), timestamp_of(other.received_at), other.heard.fence});
    }
  }
  return holds_quota_lease(view, discovery::scheduler_now());
}

bool disk_host::state::must_leave(const host_id& name) const {
  const auto known = this->retirements.find(name);
  return known != this->retirements.end() &&
         steady::now() - known->second.since >= known->second.request.time_limit / 2;
}

std::size_t disk_host::state::skipped_candidates() {
  set_view any_candidate = this->view();
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

set_view disk_host::state::view() const {
  const net::steady_time now = steady::now();
  const bool of_two = this->set && this->set->members.size() == 2;
  const auto wait = of_two ? failure_timeout_of_two : failure_timeout;
  set_view view;
  view.self = this->ledger.identity();
  view.set = this->set;
  view.target_size = std::size_t{2} * this->settings.tolerated_losses + 1;
  view.disks.push_back({view.self, true, this->is_retiring(this->self.name),
                        this->must_leave(this->self.name), this->copied});
  for (const auto& [name, other] : this->peers) {
    view.disks.push_back({disk_id(other.entry.disk), now - other.received_at < wait,
                          this->is_retiring(name), this->must_leave(name), other.heard.copied});
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
  co_await complete_retirement(self);
  self->membership_running = false;
}

asio::awaitable<void> disk_host::state::change_set(std::shared_ptr<state> self) {
  const bool too_early = !self->set && steady::now() - self->started < first_set_wait;
  if (too_early || !self->fleet.hosts().heard()) {
    co_return;
  }
  for (int step = 0; step < max_steps; ++step) {
    set_view view = self->view();
    view.skipped_candidates = self->skipped_candidates();
    const set_decision decision = decide_set_change(view);
    if (decision.step == set_step::nothing) {
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

asio::awaitable<bool> disk_host::state::copy_from_members(std::shared_ptr<state> self) {
  if (steady::now() < self->next_copy) {
    co_return false;
  }
  const ledger_set joint = *self->set;
  const std::size_t needed = read_quorum(joint.members);
  // Start with this disk if it is a member: it needs no copying.
  std::vector<disk_id> order = joint.members;
  std::stable_partition(order.begin(), order.end(),
                        [&](const disk_id& member) { return member == self->ledger.identity(); });
  log(event::ledger_copy_started, {{"epoch", std::to_string(joint.epoch.get())}});
  std::size_t sources = 0;
  for (const disk_id& member : order) {
    if (sources >= needed) {
      break;
    }
    const bool good = co_await copy_old_records(self, joint, member);
    sources += good ? 1 : 0;
  }
  const bool enough = sources >= needed;
  if (enough) {
    self->copied = joint.epoch;
    self->ledger.set_copied(joint.epoch);
  } else {
    self->next_copy = steady::now() + copy_retry_interval;
  }
  log(event::ledger_copy_finished, {{"epoch", std::to_string(joint.epoch.get())},
                                    {"sources", std::to_string(sources)},
                                    {"enough", enough ? "yes" : "no"},
                                    {"turns", std::to_string(self->ledger.held().turns())}});
  co_return enough;
}

asio::awaitable<bool> disk_host::state::copy_old_records(std::shared_ptr<state> self,
                                                         const ledger_set joint,
                                                         const disk_id member) {
  if (self->cursors[member].complete_below(joint.epoch)) {
    co_return true;
  }
  const bool fenced = co_await fence_member(self, joint, member);
  if (!fenced || member == self->ledger.identity()) {
    co_return fenced;
  }
  const bool copied = co_await copy_from(self, member, joint.epoch);
  co_return copied;
}

asio::awaitable<std::optional<std::string>> disk_host::state::send_request(
    std::shared_ptr<state> self, disk_id where, ledger_method method, std::string payload,
    duration timeout) {
  struct outcome {
    explicit outcome(asio::io_context& io) : signal(io) {}
    std::optional<std::string> bytes;
    net::async_signal signal;
  };
  const auto result = std::make_shared<outcome>(self->context);
  if (where == self->ledger.identity()) {
    self->ledger.serve(method, payload, [result](std::optional<std::string> bytes) {
      result->bytes = std::move(bytes);
      result->signal.wake();
    });
    co_await result->signal.wait();
    co_return result->bytes;
  }
  std::shared_ptr<net::rpc_client> client;
  for (const auto& [name, other] : self->peers) {
    if (other.entry.disk == where.get()) {
      client = other.client;
    }
  }
  if (!client) {
    co_return std::nullopt;
  }
  client->call(static_cast<std::uint16_t>(method), std::move(payload), timeout,
               [result](net::rpc_failure why, std::string bytes) {
                 if (why == net::rpc_failure::none) {
                   result->bytes = std::move(bytes);
                 }
                 result->signal.wake();
               });
  co_await result->signal.wait();
  co_return result->bytes;
}

asio::awaitable<bool> disk_host::state::fence_member(std::shared_ptr<state> self,
                                                     const ledger_set joint, const disk_id member) {
  const std::string fence_bytes = to_bytes(fence_request{joint});
  const auto fenced =
      co_await send_request(self, member, ledger_method::fence, fence_bytes, fence_timeout);
  const auto member_state = fenced ? from_bytes<probe_response>(*fenced) : std::nullopt;
  const bool good = member_state && member_state->disk == member;
  if (good) {
    self->cursors[member].on_fenced(joint.epoch);
  }
  co_return good;
}

asio::awaitable<bool> disk_host::state::copy_next_page(std::shared_ptr<state> self,
                                                       const disk_id member, bool& pass_ended) {
  const copy_cursor& before = self->cursors[member];
  const std::string request = to_bytes(before.position()) + to_bytes(before.resumption());
  const auto bytes =
      co_await send_request(self, member, ledger_method::copy, request, copy_timeout);
  const auto answer = bytes ? from_bytes_with_tail<copy_page, copy_progress>(*bytes) : std::nullopt;
  if (!answer) {
    co_return false;
  }
  const copy_page& page = answer->first;
  const auto stored = std::make_shared<net::async_signal>(self->context);
  const auto good = std::make_shared<bool>(false);
  self->ledger.adopt(page.records, [stored, good](bool is_good) {
    *good = is_good;
    stored->wake();
  });
  co_await stored->wait();
  if (!*good || (page.records.empty() && !page.last)) {
    co_return false;
  }
  const auto cursor = self->cursors.find(member);
  if (cursor == self->cursors.end()) {
    co_return false;
  }
  pass_ended = cursor->second.on_page(page, answer->second);
  co_return true;
}

asio::awaitable<bool> disk_host::state::copy_from(std::shared_ptr<state> self, const disk_id member,
                                                  const set_epoch epoch) {
  while (true) {
    bool pass_ended = false;
    const bool copied = co_await copy_next_page(self, member, pass_ended);
    if (!copied) {
      co_return false;
    }
    const bool enough =
        epoch == set_epoch(0) ? pass_ended : self->cursors[member].complete_below(epoch);
    if (enough) {
      co_return true;
    }
    net::async_signal pause(self->context);
    co_await pause.wait_until(steady::now() + page_pause);
  }
}

asio::awaitable<void> disk_host::state::complete_retirement(std::shared_ptr<state> self) {
  const host_id& own = self->self.name;
  const auto known = self->retirements.find(own);
  if (known == self->retirements.end() || known->second.request.completed || !self->set) {
    co_return;
  }
  const std::vector<disk_id> all_members = self->set->all();
  const bool held = std::find(all_members.begin(), all_members.end(), self->ledger.identity()) !=
                    all_members.end();
  if (held) {
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
