// Hosts that keep quotas, front hosts that ask them and a store that names the keepers, under a
// history of faults. The keepers, their leases and the changes of their set are the real
// decisions; links, logs, processes and the store are fakes.
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

namespace hawthornlane::quota_test {

class world {
public:
  static constexpr int disk_hosts = 7;
  static constexpr int front_hosts = 3;
  static constexpr int keepers = 5;

  world(std::uint64_t seed, account_limit first, planted_fault mistake)
      : random(seed), planted(mistake) {
    for (int front = 0; front < front_hosts; ++front) {
      this->known_limits[front] = {first, limit_version(1)};
    }
    this->grants.note_limit(first, timestamp{});
    this->stored = {set_epoch(1), {}, {}};
    for (int host = 0; host < keepers; ++host) {
      this->stored.members.push_back(name_of(host));
    }
    this->known_members.fill(this->stored.members);
    for (int host = 0; host < disk_hosts; ++host) {
      this->start(host);
    }
  }

  /// Plays the history; between rushes the account asks for less than its quota.
  void play(const std::vector<fault>& history, duration length) {
    for (const fault& item : history) {
      this->after(std::chrono::milliseconds(item.at_ms), [this, item] { this->harm(item); });
    }
    this->call_again();
    const timestamp end = timestamp{} + length;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto next = this->events.begin();
      this->now = next->first;
      const std::function<void()> work = std::move(next->second);
      this->events.erase(next);
      work();
    }
  }

  /// By how many calls the worst window is beyond what the operator tolerates; at most 0 is right.
  [[nodiscard]] double worst_excess() { return this->grants.worst_excess(); }
  [[nodiscard]] std::size_t served_between(timestamp from, timestamp to) const {
    return static_cast<std::size_t>(
        std::count_if(this->served.begin(), this->served.end(),
                      [&](timestamp at) { return from <= at && at < to; }));
  }
  /// How often the set of keepers was changed.
  [[nodiscard]] std::uint64_t set_changes() const { return this->stored.epoch.get() - 1; }

private:
  struct disk_host {
    bool up = false;
    /// Counts starts; what was begun by an earlier process is lost.
    int life = 0;
    timestamp paused_until{};
    /// The process's clock is ahead of the world's by that.
    duration clock{};
    std::unique_ptr<quota_manager> keeper;
    std::vector<quota_record> log;
    std::vector<std::function<void()>> unwritten;
    bool writing = false;
    std::optional<ledger_set> set;
    timestamp told_at{};
    std::map<int, member_probe_result> heard;
    /// As `heard`, also of hosts that have never answered.
    std::map<int, timestamp> alive_at;
    set_epoch fence;
    set_epoch copied;
    timestamp due_since{};
    set_epoch due_at;
    bool retiring = false;
    bool must_leave = false;
  };
  struct known_limit {
    account_limit limit;
    limit_version version;
  };
  struct asked_call {
    explicit asked_call(std::vector<disk_id> order)
        : keepers(std::move(order)), round(keepers.size()) {}
    std::vector<disk_id> keepers;
    quota_round round;
    timestamp next_at{};
    bool ended = false;
  };

  static constexpr int store = disk_hosts + front_hosts;
  static constexpr duration probe_pause = std::chrono::milliseconds(250);
  static constexpr duration duty_pause = std::chrono::milliseconds(200);
  static constexpr duration store_pause = std::chrono::milliseconds(50);
  static constexpr duration silence_of_lost = std::chrono::milliseconds(3500);
  static constexpr duration time_for_each = std::chrono::milliseconds(1000);
  static constexpr duration longest_sync = std::chrono::milliseconds(20);
  static constexpr duration keeper_patience = std::chrono::milliseconds(40);
  static constexpr duration longest_round = std::chrono::milliseconds(400);
  /// Until a change of the keepers is known at front hosts that the store reaches late.
  static constexpr duration set_spread = std::chrono::seconds(5);
  /// How many times the rate of the quota is asked for, in a rush and otherwise.
  static constexpr double rush_demand = 6;
  static constexpr double usual_demand = 0.5;
  static constexpr std::size_t longest_log = 200;

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
  /// Work of a process: lost with it, and late while it stands still.
  void run_at(int host, int life, const std::function<void()>& work) {
    disk_host& item = this->hosts.at(host);
    if (!item.up || item.life != life) {
      return;
    }
    if (this->now < item.paused_until) {
      this->after(item.paused_until - this->now, [=, this] { this->run_at(host, life, work); });
      return;
    }
    work();
  }
  void repeat_at(int host, int life, duration pause, const std::function<void()>& work) {
    this->after(pause, [=, this] {
      this->run_at(host, life, [=, this] {
        work();
        this->repeat_at(host, life, pause, work);
      });
    });
  }
  /// Sends a message; `arrive` runs at the other side, if it comes through.
  void send(int from, int to, const std::function<void()>& arrive) {
    if (this->links.is_cut(from, to, this->now)) {
      return;
    }
    const int copies = this->links.sends_twice(to, this->now) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      duration way =
          std::chrono::microseconds(200) + this->random_time(std::chrono::milliseconds(1));
      if (this->links.is_late(to, this->now)) {
        way += this->random_time(std::chrono::milliseconds(250));
      }
      if (to >= disk_hosts) {
        this->after(way, arrive);
        continue;
      }
      this->after(way, [=, this] { this->run_at(to, this->hosts.at(to).life, arrive); });
    }
  }

  timestamp clock_of(const disk_host& host) const { return this->now + host.clock; }

  void start(int host) {
    disk_host& item = this->hosts.at(host);
    item.up = true;
    item.paused_until = {};
    ++item.life;
    item.clock = this->random_time(std::chrono::hours(1));
    item.keeper = std::make_unique<quota_manager>(rules);
    for (quota_record record : item.log) {
      if (this->planted == planted_fault::forgets_grants) {
        record.bucket_records.clear();
      }
      item.keeper->restore(record);
    }
    item.unwritten.clear();
    item.writing = false;
    item.set.reset();
    item.heard.clear();
    item.copied = set_epoch(0);
    for (int other = 0; other < disk_hosts; ++other) {
      item.alive_at[other] = this->clock_of(item);
    }
    this->read_store(host);
    this->repeat_at(host, item.life, store_pause, [=, this] { this->read_store(host); });
    this->repeat_at(host, item.life, probe_pause, [=, this] { this->probe(host); });
    this->repeat_at(host, item.life, duty_pause, [=, this] { this->do_duty(host); });
  }

  [[nodiscard]] bool reaches_store(int host) { return !this->links.is_cut(host, store, this->now); }
  void read_store(int host) {
    disk_host& item = this->hosts.at(host);
    if (!this->reaches_store(host) || (item.set && item.set->epoch >= this->stored.epoch)) {
      return;
    }
    item.set = this->stored;
    item.told_at = this->clock_of(item);
    item.keeper->set_share(this->part_of(*item.set, name_of(host)), this->clock_of(item));
  }
  [[nodiscard]] double part_of(ledger_set set, const disk_id& disk) const {
    if (this->planted == planted_fault::stays_to_the_end) {
      set.next.clear();
    }
    return quota_share(set, disk);
  }
  void probe(int host) {
    const int life = this->hosts.at(host).life;
    for (int other = 0; other < disk_hosts; ++other) {
      if (other == host) {
        continue;
      }
      this->send(host, other, [=, this] {
        const set_epoch fence = this->hosts.at(other).fence;
        const set_epoch copied = this->hosts.at(other).copied;
        this->send(other, host, [=, this] {
          disk_host& asker = this->hosts.at(host);
          if (asker.life != life) {
            return;
          }
          asker.heard[other] = {name_of(other), this->clock_of(asker), fence};
          asker.alive_at[other] = this->clock_of(asker);
          this->copied_of[{host, other}] = copied;
        });
      });
    }
  }

  set_view view_of(int host) {
    disk_host& item = this->hosts.at(host);
    set_view view;
    view.self = name_of(host);
    view.set = item.set;
    view.target_size = keepers;
    for (int other = 0; other < disk_hosts; ++other) {
      const bool is_self = other == host;
      const bool reachable =
          is_self || this->clock_of(item) - item.alive_at[other] < silence_of_lost;
      const disk_host& seen = this->hosts.at(other);
      view.disks.push_back({name_of(other), reachable, seen.retiring, seen.must_leave,
                            is_self ? item.copied : this->copied_of[{host, other}]});
    }
    return view;
  }
  std::size_t skipped_candidates(int host, set_view view) {
    disk_host& item = this->hosts.at(host);
    view.skipped_candidates = view.disks.size();
    const bool due = decide_set_change(view).step == set_step::propose;
    if (!due || item.set->epoch != item.due_at) {
      item.due_at = item.set->epoch;
      item.due_since = this->clock_of(item);
      return 0;
    }
    return static_cast<std::size_t>((this->clock_of(item) - item.due_since) / time_for_each);
  }
  void do_duty(int host) {
    disk_host& item = this->hosts.at(host);
    if (!item.set) {
      return;
    }
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
      this->tell_front_hosts();
    }
  }
  void tell_front_hosts() {
    for (int front = 0; front < front_hosts; ++front) {
      this->after(this->random_time(set_spread), [=, this, members = this->stored.members] {
        this->known_members.at(front) = members;
      });
    }
  }
  void copy(int host) {
    const ledger_set joint = *this->hosts.at(host).set;
    const auto raised = std::make_shared<std::set<disk_id>>();
    for (const disk_id& member : joint.members) {
      this->send(host, host_of(member), [=, this] {
        disk_host& old = this->hosts.at(host_of(member));
        old.fence = std::max(old.fence, joint.epoch);
        this->send(host_of(member), host, [=, this] {
          raised->insert(member);
          if (raised->size() >= read_quorum(joint.members)) {
            this->hosts.at(host).copied = joint.epoch;
          }
        });
      });
    }
  }

  [[nodiscard]] bool holds_lease(const disk_host& host, int number) const {
    if (!host.set) {
      return false;
    }
    quota_lease_view view{name_of(number), *host.set, host.told_at, {}};
    for (const auto& [other, word] : host.heard) {
      view.heard.push_back(word);
      if (this->planted == planted_fault::ignores_fences) {
        view.heard.back().fence = set_epoch(0);
      }
    }
    return this->planted == planted_fault::ignores_lease ||
           holds_quota_lease(view, this->clock_of(host));
  }
  void ask_keeper(int host, const quota_request& question,
                  const std::function<void(const quota_response&)>& reply) {
    disk_host& item = this->hosts.at(host);
    quota_response answer;
    if (this->holds_lease(item, host)) {
      answer = item.keeper->ask(question, this->clock_of(item));
    }
    if (answer.outcome != quota_outcome::granted) {
      if (this->planted == planted_fault::counts_refusals &&
          answer.outcome == quota_outcome::refused) {
        this->take_one(item);
      }
      reply(answer);
      return;
    }
    item.unwritten.push_back([=, this, at = this->now] {
      this->grants.note_grant(at);
      reply(answer);
    });
    this->write(host);
  }
  void take_one(disk_host& host) {
    quota_record record = host.keeper->whole(this->clock_of(host));
    for (quota_bucket_record& mark : record.bucket_records) {
      mark.level -= 1;
    }
    host.keeper = std::make_unique<quota_manager>(rules);
    host.keeper->restore(record);
    host.keeper->set_share(1.0 / keepers, this->clock_of(host));
  }
  /// Who was granted a call is told when the grant is in the log.
  void write(int host) {
    disk_host& item = this->hosts.at(host);
    if (item.writing || item.unwritten.empty()) {
      return;
    }
    item.writing = true;
    const quota_record record = item.keeper->take_changes(this->clock_of(item));
    const auto told =
        std::make_shared<std::vector<std::function<void()>>>(std::exchange(item.unwritten, {}));
    this->after(std::chrono::milliseconds(1) + this->random_time(longest_sync),
                [=, this, life = item.life] {
                  this->run_at(host, life, [=, this] {
                    disk_host& writer = this->hosts.at(host);
                    writer.log.push_back(record);
                    if (writer.log.size() > longest_log) {
                      writer.keeper->forget_idle(this->clock_of(writer));
                      writer.log = {writer.keeper->whole(this->clock_of(writer))};
                    }
                    for (const std::function<void()>& tell : *told) {
                      tell();
                    }
                    writer.writing = false;
                    this->write(host);
                  });
                });
  }

  void call_again() {
    const double times = this->now < this->rush_until ? rush_demand : usual_demand;
    const double rate = times * this->grants.newest_limit().calls_per_second;
    this->after(from_seconds(std::exponential_distribution<double>(rate)(this->random)), [this] {
      this->begin_call(static_cast<int>(this->random() % front_hosts));
      this->call_again();
    });
  }
  void begin_call(int front) {
    std::vector<disk_id> order = this->known_members.at(front);
    std::shuffle(order.begin(), order.end(), this->random);
    this->go_on(front, std::make_shared<asked_call>(std::move(order)), this->now + longest_round);
  }
  void go_on(int front, const std::shared_ptr<asked_call>& call, timestamp until) {
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
    call->next_at = this->now + keeper_patience;
    const int keeper = host_of(call->keepers[*next]);
    const known_limit& known = this->known_limits.at(front);
    const quota_request question{client_account("north"), known.limit, known.version};
    const auto answered = std::make_shared<bool>(false);
    const auto hear = [=, this](const quota_response& answer) {
      this->send(keeper, disk_hosts + front, [=, this] {
        if (!std::exchange(*answered, true)) {
          call->round.answered(answer);
          this->go_on(front, call, until);
        }
      });
    };
    this->send(disk_hosts + front, keeper, [=, this] { this->ask_keeper(keeper, question, hear); });
    this->after(keeper_patience, [=, this] { this->go_on(front, call, until); });
  }

  void harm(const fault& item) {
    const duration length = std::chrono::milliseconds(item.length_ms);
    const timestamp until = this->now + length;
    disk_host& host = this->hosts.at(item.host);
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
      case fault_kind::rush:
        this->rush_until = std::max(this->rush_until, until);
        break;
    }
  }
  void change_limit(account_limit limit) {
    this->grants.note_limit(limit, this->now);
    const limit_version version(this->grants.limit_changes());
    for (int front = 0; front < front_hosts; ++front) {
      this->after(this->random_time(limit_spread), [=, this] {
        known_limit& known = this->known_limits.at(front);
        if (known.version < version) {
          known = {limit, version};
        }
      });
    }
  }
  std::mt19937_64 random;
  planted_fault planted;
  timestamp now{};
  std::multimap<timestamp, std::function<void()>> events;
  timestamp rush_until{};
  std::array<disk_host, disk_hosts> hosts;
  ledger_set stored;
  fake_links links;
  std::map<std::pair<int, int>, set_epoch> copied_of;
  grant_history grants;
  std::array<known_limit, front_hosts> known_limits;
  std::array<std::vector<disk_id>, front_hosts> known_members;
  /// When front hosts heard of a grant.
  std::vector<timestamp> served;
};

}  // namespace hawthornlane::quota_test
