// Simulates quota managers, front hosts that ask them and a store that holds the set of managers,
// under a history of faults. The managers, their leases and the changes of the set are the
// production code; links, logs, processes and the store are fakes.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/limits/quota_round.h"
#include "hawthornlane/turn_ledger/set_change.h"
#include "quota_faults.h"
#include "quota_grants.h"
#include "quota_hosts.h"

namespace hawthornlane::quota_test {

class simulation {
public:
  using size = deployment_size;
  /// No deployment is larger.
  static constexpr int disk_hosts = size{}.hosts;
  static constexpr int front_hosts = 3;
  static constexpr int usual_managers = size{}.managers;

  simulation(std::uint64_t seed, account_limit first, injected_bugs enabled_bugs = {})
      : simulation(seed, first, std::move(enabled_bugs), size{}) {}
  simulation(std::uint64_t seed, account_limit first, injected_bugs enabled_bugs, size of)
      : random(seed), bugs(std::move(enabled_bugs)), managers(of.managers) {
    for (int front = 0; front < front_hosts; ++front) {
      this->known_limits[front] = {first, limit_version(1)};
    }
    this->grants.record_limit_change(first, timestamp{});
    this->stored = {set_epoch(1), {}, {}};
    for (int host = 0; host < this->managers; ++host) {
      this->stored.members.push_back(name_of(host));
    }
    this->known_members.fill(this->stored.members);
    for (int host = 0; host < of.hosts; ++host) {
      this->start(host);
    }
  }

  /// Runs the history; between overloads the account requests less than its quota.
  void play(const std::vector<fault>& history, duration length) {
    for (const fault& item : history) {
      this->after(std::chrono::milliseconds(item.at_ms), [this, item] { this->inject(item); });
    }
    this->schedule_next_call();
    const timestamp end = timestamp{} + length;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto next = this->events.begin();
      this->now = next->first;
      const std::function<void()> work = std::move(next->second);
      this->events.erase(next);
      work();
    }
  }

  /// Calls by which the worst time span exceeds the operator's tolerance; at most 0 if correct.
  [[nodiscard]] double worst_excess() { return this->grants.worst_excess(); }
  [[nodiscard]] std::size_t served_between(timestamp from, timestamp to) const {
    return static_cast<std::size_t>(
        std::count_if(this->served.begin(), this->served.end(),
                      [&](timestamp at) { return from <= at && at < to; }));
  }
  /// How often the set of managers was changed.
  [[nodiscard]] std::uint64_t set_changes() const { return this->stored.epoch.get() - 1; }

private:
  static constexpr int store = disk_hosts + front_hosts;
  static constexpr duration probe_interval = std::chrono::milliseconds(250);
  static constexpr duration set_check_interval = std::chrono::milliseconds(200);
  static constexpr duration store_poll_interval = std::chrono::milliseconds(50);
  /// As in production: the loss of one of two disks stops the service until it is replaced.
  static constexpr duration failure_timeout = std::chrono::milliseconds(2500);
  static constexpr duration failure_timeout_of_two = std::chrono::milliseconds(1000);
  /// Time for one candidate to change the set before the next one may.
  static constexpr duration slot_time = std::chrono::milliseconds(1000);
  static constexpr duration max_sync_time = std::chrono::milliseconds(20);
  static constexpr duration response_timeout = std::chrono::milliseconds(40);
  static constexpr duration round_timeout = std::chrono::milliseconds(400);
  /// Longest time until front hosts know a change of the managers; the store may reach them late.
  static constexpr duration set_propagation = std::chrono::seconds(5);
  /// Requested rate as a multiple of the quota's rate, in an overload and otherwise.
  static constexpr double overload_demand = 6;
  static constexpr double usual_demand = 0.5;
  static constexpr std::size_t max_log_records = 200;

  static disk_id name_of(int host) {
    return disk_id(std::string(1, static_cast<char>('a' + host)));
  }
  static int host_of(const disk_id& disk) { return disk.get().front() - 'a'; }

  duration random_time(duration most) {
    return duration(std::uniform_int_distribution<duration::rep>(0, most.count())(this->random));
  }
  void after(duration time, std::function<void()> work) {
    this->events.emplace(this->now + time, std::move(work));
  }
  /// Runs work of a process; dropped if it has ended, delayed while it is suspended.
  void run_at(int host, int starts, const std::function<void()>& work) {
    host_state& item = this->hosts.at(host);
    if (!item.up || item.starts != starts) {
      return;
    }
    if (this->now < item.paused_until) {
      this->after(item.paused_until - this->now, [=, this] { this->run_at(host, starts, work); });
      return;
    }
    work();
  }
  void repeat_at(int host, int starts, duration pause, const std::function<void()>& work) {
    this->after(pause, [=, this] {
      this->run_at(host, starts, [=, this] {
        work();
        this->repeat_at(host, starts, pause, work);
      });
    });
  }
  /// Sends a message; `arrive` runs at the receiver if the message gets through.
  void send(int from, int to, const std::function<void()>& arrive) {
    if (this->links.is_cut(from, to, this->now)) {
      return;
    }
    const int copies = this->links.is_duplicating(to, this->now) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      duration latency =
          std::chrono::microseconds(200) + this->random_time(std::chrono::milliseconds(1));
      if (this->links.is_delayed(to, this->now)) {
        latency += this->random_time(std::chrono::milliseconds(250));
      }
      if (to >= disk_hosts) {
        this->after(latency, arrive);
        continue;
      }
      this->after(latency, [=, this] { this->run_at(to, this->hosts.at(to).starts, arrive); });
    }
  }

  timestamp clock_of(const host_state& host) const { return this->now + host.clock; }

  void start(int host) {
    host_state& item = this->hosts.at(host);
    item.up = true;
    item.paused_until = {};
    ++item.starts;
    item.clock = this->random_time(std::chrono::hours(1));
    item.manager = std::make_unique<quota_manager>(tolerance);
    for (quota_record record : item.log) {
      if (this->bugs.contains(injected_bug::loses_grants)) {
        record.bucket_records.clear();
      }
      item.manager->restore(record);
    }
    item.unsent.clear();
    item.writing = false;
    item.set.reset();
    item.share = {};
    item.set_share.reset();
    item.probe_results.clear();
    item.copied = set_epoch(0);
    for (int other = 0; other < disk_hosts; ++other) {
      item.alive_at[other] = this->clock_of(item);
    }
    this->read_store(host);
    this->repeat_at(host, item.starts, store_poll_interval, [=, this] { this->read_store(host); });
    this->repeat_at(host, item.starts, probe_interval, [=, this] { this->probe(host); });
    this->repeat_at(host, item.starts, set_check_interval, [=, this] { this->check_set(host); });
  }

  [[nodiscard]] bool reaches_store(int host) { return !this->links.is_cut(host, store, this->now); }
  void read_store(int host) {
    host_state& item = this->hosts.at(host);
    if (!this->reaches_store(host) || (item.set && item.set->epoch >= this->stored.epoch)) {
      return;
    }
    item.set = this->stored;
    item.set_confirmed_at = this->clock_of(item);
    item.fence = std::max(item.fence, item.set->epoch);
    item.share.adopt(this->set_for_shares(item), name_of(host), this->clock_of(item));
    this->update_share(host);
  }
  [[nodiscard]] ledger_set set_for_shares(const host_state& host) const {
    ledger_set known = *host.set;
    if (this->bugs.contains(injected_bug::keeps_share_while_leaving)) {
      known.next.clear();
    }
    return known;
  }
  void update_share(int host) {
    host_state& item = this->hosts.at(host);
    if (!item.set) {
      return;
    }
    std::vector<member_probe_result> reports{{name_of(host), this->clock_of(item), item.fence}};
    for (const auto& [other, report] : item.probe_results) {
      reports.push_back(report);
    }
    double share = item.share.share(name_of(host), reports, this->clock_of(item));
    if (this->bugs.contains(injected_bug::grows_at_once)) {
      share = quota_share(this->set_for_shares(item), name_of(host));
    }
    if (std::exchange(item.set_share, share) != share) {
      item.manager->set_share(share, this->clock_of(item));
    }
  }
  void probe(int host) {
    const int starts = this->hosts.at(host).starts;
    for (int other = 0; other < disk_hosts; ++other) {
      if (other == host) {
        continue;
      }
      this->send(host, other, [=, this] {
        const set_epoch fence = this->hosts.at(other).fence;
        const set_epoch copied = this->hosts.at(other).copied;
        this->send(other, host, [=, this] {
          host_state& asker = this->hosts.at(host);
          if (asker.starts != starts) {
            return;
          }
          asker.probe_results[other] = {name_of(other), this->clock_of(asker), fence};
          asker.alive_at[other] = this->clock_of(asker);
          this->copied_of[{host, other}] = copied;
        });
      });
    }
  }

  set_view view_of(int host) {
    host_state& item = this->hosts.at(host);
    set_view view;
    view.self = name_of(host);
    view.set = item.set;
    view.target_size = this->managers;
    const bool is_of_two = item.set && item.set->members.size() == 2;
    const duration timeout = is_of_two ? failure_timeout_of_two : failure_timeout;
    for (int other = 0; other < disk_hosts; ++other) {
      const bool is_self = other == host;
      const bool reachable = is_self || this->clock_of(item) - item.alive_at[other] < timeout;
      const host_state& seen = this->hosts.at(other);
      view.disks.push_back({name_of(other), reachable, seen.retiring, seen.must_leave,
                            is_self ? item.copied : this->copied_of[{host, other}]});
    }
    return view;
  }
  std::size_t skipped_candidates(int host, set_view view) {
    host_state& item = this->hosts.at(host);
    view.skipped_candidates = view.disks.size();
    const bool due = decide_set_change(view).step == set_step::propose;
    if (!due || item.set->epoch != item.pending_epoch) {
      item.pending_epoch = item.set->epoch;
      item.pending_since = this->clock_of(item);
      return 0;
    }
    return static_cast<std::size_t>((this->clock_of(item) - item.pending_since) / slot_time);
  }
  void check_set(int host) {
    host_state& item = this->hosts.at(host);
    if (!item.set) {
      return;
    }
    this->update_share(host);
    set_view view = this->view_of(host);
    view.skipped_candidates = this->skipped_candidates(host, view);
    const set_decision decision = decide_set_change(view);
    if (decision.step == set_step::copy) {
      this->copy(host);
    }
    const bool is_newest = item.set->epoch == this->stored.epoch;
    if (decision.step == set_step::propose && this->reaches_store(host) && is_newest) {
      this->stored = decision.proposed;
      this->read_store(host);
      this->notify_front_hosts();
    }
  }
  void notify_front_hosts() {
    for (int front = 0; front < front_hosts; ++front) {
      this->after(this->random_time(set_propagation), [=, this, members = this->stored.members] {
        this->known_members.at(front) = members;
      });
    }
  }
  void copy(int host) {
    const ledger_set joint = *this->hosts.at(host).set;
    const auto fenced_members = std::make_shared<std::set<disk_id>>();
    for (const disk_id& member : joint.members) {
      this->send(host, host_of(member), [=, this] {
        host_state& member_state = this->hosts.at(host_of(member));
        member_state.fence = std::max(member_state.fence, joint.epoch);
        this->send(host_of(member), host, [=, this] {
          fenced_members->insert(member);
          if (fenced_members->size() >= read_quorum(joint.members)) {
            this->hosts.at(host).copied = joint.epoch;
          }
        });
      });
    }
  }

  [[nodiscard]] bool holds_lease(const host_state& host, int number) const {
    if (!host.set) {
      return false;
    }
    quota_lease_view view{name_of(number), *host.set, host.set_confirmed_at, {}};
    view.probe_results.push_back({name_of(number), this->clock_of(host), host.fence});
    for (const auto& [other, word] : host.probe_results) {
      view.probe_results.push_back(word);
    }
    if (this->bugs.contains(injected_bug::ignores_fences)) {
      for (member_probe_result& word : view.probe_results) {
        word.fence = set_epoch(0);
      }
    }
    return this->bugs.contains(injected_bug::ignores_lease) ||
           holds_quota_lease(view, this->clock_of(host));
  }
  void ask(int host, const quota_request& request,
           const std::function<void(const quota_response&)>& reply) {
    host_state& item = this->hosts.at(host);
    quota_response answer;
    if (this->holds_lease(item, host)) {
      answer = item.manager->ask(request, this->clock_of(item));
    }
    if (answer.outcome != quota_outcome::granted) {
      if (this->bugs.contains(injected_bug::deducts_refusals) &&
          answer.outcome == quota_outcome::refused) {
        this->deduct_call(item);
      }
      reply(answer);
      return;
    }
    item.unsent.push_back([=, this, at = this->now] {
      this->grants.record_grant(at);
      reply(answer);
    });
    this->write(host);
  }
  void deduct_call(host_state& host) {
    quota_record record = host.manager->whole(this->clock_of(host));
    for (quota_bucket_record& bucket_record : record.bucket_records) {
      bucket_record.level -= 1;
    }
    host.manager = std::make_unique<quota_manager>(tolerance);
    host.manager->restore(record);
    host.manager->set_share(1.0 / this->managers, this->clock_of(host));
  }
  /// Answers a granted call once the grant is in the log.
  void write(int host) {
    host_state& item = this->hosts.at(host);
    if (item.writing || item.unsent.empty()) {
      return;
    }
    item.writing = true;
    const quota_record record = item.manager->take_changes(this->clock_of(item));
    const auto replies =
        std::make_shared<std::vector<std::function<void()>>>(std::exchange(item.unsent, {}));
    this->after(std::chrono::milliseconds(1) + this->random_time(max_sync_time),
                [=, this, starts = item.starts] {
                  this->run_at(host, starts, [=, this] {
                    host_state& writer = this->hosts.at(host);
                    writer.log.push_back(record);
                    if (writer.log.size() > max_log_records) {
                      writer.manager->forget_idle(this->clock_of(writer));
                      writer.log = {writer.manager->whole(this->clock_of(writer))};
                    }
                    for (const std::function<void()>& send_reply : *replies) {
                      send_reply();
                    }
                    writer.writing = false;
                    this->write(host);
                  });
                });
  }

  void schedule_next_call() {
    const double times = this->now < this->overload_end ? overload_demand : usual_demand;
    const double rate = times * this->grants.newest_limit().calls_per_second;
    this->after(from_seconds(std::exponential_distribution<double>(rate)(this->random)), [this] {
      this->begin_call(static_cast<int>(this->random() % front_hosts));
      this->schedule_next_call();
    });
  }
  void begin_call(int front) {
    std::vector<disk_id> order = this->known_members.at(front);
    std::shuffle(order.begin(), order.end(), this->random);
    this->advance(front, std::make_shared<call_state>(std::move(order)), this->now + round_timeout);
  }
  void advance(int front, const std::shared_ptr<call_state>& call, timestamp until) {
    if (call->ended) {
      return;
    }
    const quota_decision decision = call->round.decision();
    call->ended = decision != quota_decision::undecided || this->now >= until;
    if (decision == quota_decision::granted) {
      this->served.push_back(this->now);
    }
    if (call->ended || (call->round.waits() && this->now < call->next_at)) {
      return;
    }
    const auto next = call->round.ask_next();
    if (!next) {
      return;
    }
    call->next_at = this->now + response_timeout;
    const int manager = host_of(call->managers[*next]);
    const versioned_limit& known = this->known_limits.at(front);
    const quota_request request{client_account("north"), known.limit, known.version};
    const auto answered = std::make_shared<bool>(false);
    const auto respond = [=, this](const quota_response& answer) {
      this->send(manager, disk_hosts + front, [=, this] {
        if (!std::exchange(*answered, true)) {
          call->round.answered(answer);
          this->advance(front, call, until);
        }
      });
    };
    this->send(disk_hosts + front, manager, [=, this] { this->ask(manager, request, respond); });
    this->after(response_timeout, [=, this] { this->advance(front, call, until); });
  }

  void inject(const fault& item) {
    const duration length = std::chrono::milliseconds(item.length_ms);
    const timestamp until = this->now + length;
    host_state& host = this->hosts.at(item.host);
    switch (item.kind) {
      case fault_kind::kill:
        host.up = false;
        this->after(length, [this, number = item.host] {
          if (!this->hosts.at(number).up) {
            this->start(number);
          }
        });
        break;
      case fault_kind::pause:
        host.paused_until = until;
        break;
      case fault_kind::cut:
        this->links.cut(item.host, item.other, until);
        break;
      case fault_kind::cut_store:
        this->links.cut(item.host, store, until);
        break;
      case fault_kind::delay:
        this->links.delay(item.host, until);
        break;
      case fault_kind::duplicate:
        this->links.duplicate(item.host, until);
        break;
      case fault_kind::retire:
        host.retiring = true;
        this->after(length, [&host] { host.must_leave = true; });
        break;
      case fault_kind::change_limit:
        this->change_limit({5.0 + item.length_ms % 35, 1.0 + item.length_ms % 30});
        break;
      case fault_kind::overload:
        this->overload_end = std::max(this->overload_end, until);
        break;
    }
  }
  void change_limit(account_limit limit) {
    this->grants.record_limit_change(limit, this->now);
    const limit_version version(this->grants.limit_changes());
    for (int front = 0; front < front_hosts; ++front) {
      this->after(this->random_time(limit_propagation), [=, this] {
        versioned_limit& known = this->known_limits.at(front);
        if (known.version < version) {
          known = {limit, version};
        }
      });
    }
  }
  std::mt19937_64 random;
  injected_bugs bugs;
  int managers;
  timestamp now{};
  std::multimap<timestamp, std::function<void()>> events;
  timestamp overload_end{};
  std::array<host_state, disk_hosts> hosts;
  ledger_set stored;
  fake_links links;
  std::map<std::pair<int, int>, set_epoch> copied_of;
  grant_history grants;
  std::array<versioned_limit, front_hosts> known_limits;
  std::array<std::vector<disk_id>, front_hosts> known_members;
  /// When front hosts received grants.
  std::vector<timestamp> served;
};

}  // namespace hawthornlane::quota_test
