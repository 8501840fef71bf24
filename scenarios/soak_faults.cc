// Random faults and planned maintenance during a fault soak.
#include "soak_faults.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace hawthornlane::scenarios {
using namespace std::chrono_literals;
using stand_ins::backend_behavior;
using stand_ins::store_behavior;
using steady = std::chrono::steady_clock;

namespace {

/// Hosts count as connected again this long after a fault.
constexpr auto reconnect_time = 3s;
/// Maximum number of faults that are active at once.
constexpr std::ptrdiff_t max_active = 4;
/// How long planned maintenance counts as active: a planned stop takes up to the hosts' grace
/// period of 8 s.
constexpr auto grace = 8s;

/// Undo function of a fault that ends by itself.
std::function<void()> no_undo() {
  return [] {};
}

}  // namespace

soak_faults::soak_faults(soak_fleet& deployment, std::uint64_t seed, fault_choice faults)
    : fleet(deployment),
      random(seed),
      choice(faults),
      began(steady::now()),
      growth_random(seed),
      release_random(seed),
      disk_random(seed),
      fatal_random(seed),
      kill_random(seed),
      early_end_random(seed),
      endless_random(seed),
      invalid_random(seed),
      early_response_random(seed),
      crowd_random(seed) {
  const std::vector<fault_kind> groups[] = {this->process_faults(), this->link_faults(),
                                            this->environment_faults(),
                                            this->planned_maintenance()};
  for (const std::vector<fault_kind>& group : groups) {
    this->kinds.insert(this->kinds.end(), group.begin(), group.end());
  }
}

std::size_t soak_faults::random_index(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

std::chrono::milliseconds soak_faults::random_duration(int min_ms, int max_ms) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(this->random));
}

soak_host& soak_faults::pick_host(std::vector<soak_host>& hosts) {
  return hosts[this->random_index(hosts.size())];
}

soak_faults::undo soak_faults::pause_process(soak_host& host) {
  constexpr auto frozen = child_process::stop_reason::frozen;
  host.process->set_stopped(frozen, true);
  return [&host] { host.process->set_stopped(frozen, false); };
}

std::vector<soak_faults::fault_kind> soak_faults::process_faults() {
  const auto kill_all = [this](std::vector<soak_host>& hosts, bool power) {
    const auto down = this->random_duration(100, 1500);
    for (soak_host& host : hosts) {
      if (power) {
        this->fleet.cut_power(host, down);
      } else {
        this->fleet.kill(host, down);
      }
    }
  };
  return {
      {"kill a front host", false,
       [this] {
         this->fleet.kill(this->pick_host(this->fleet.fronts), this->random_duration(50, 2000));
         return no_undo();
       }},
      {"kill a disk host", false,
       [this] {
         this->fleet.kill(this->pick_host(this->fleet.disks), this->random_duration(50, 2500));
         return no_undo();
       }},
      {"cut the power of a disk host", false,
       [this] {
         this->fleet.cut_power(this->pick_host(this->fleet.disks), this->random_duration(50, 2500));
         return no_undo();
       }},
      {"wipe a disk", false,
       [this] {
         // Only one disk may be lost at a time, so nothing is wiped until the ledger set is
         // complete again.
         if (this->fleet.ledger_set_is_stable()) {
           this->fleet.wipe(this->pick_host(this->fleet.disks), this->random_duration(50, 2000));
         }
         return no_undo();
       }},
      {"freeze a front host", false,
       [this] { return this->pause_process(this->pick_host(this->fleet.fronts)); }},
      {"freeze a disk host", false,
       [this] { return this->pause_process(this->pick_host(this->fleet.disks)); }},
      {"kill all front hosts", false,
       [this, kill_all] {
         kill_all(this->fleet.fronts, false);
         return no_undo();
       }},
      {"cut the power of all disk hosts", false,
       [this, kill_all] {
         kill_all(this->fleet.disks, true);
         return no_undo();
       }},
  };
}

soak_faults::undo soak_faults::disturb(fault_proxy& proxy) {
  constexpr std::size_t ways = 7;
  link_fault fault;
  switch (this->random_index(ways)) {
    case 0:
      fault.delay = this->random_duration(20, 300);
      break;
    case 1:
      fault.hold_forward = true;
      break;
    case 2:
      fault.hold_back = true;
      break;
    case 3:
      fault.hold_forward = true;
      fault.hold_back = true;
      break;
    case 4:
      fault.refuse = true;
      proxy.reset_connections();
      break;
    case 5:
      proxy.reset_connections();
      break;
    default:
      proxy.silence_connections();
      break;
  }
  proxy.set_fault(fault);
  return [&proxy] { proxy.set_fault({}); };
}

std::vector<soak_faults::fault_kind> soak_faults::link_faults() {
  return {
      {"disturb the link to a front host's peer port", false,
       [this] { return this->disturb(*this->pick_host(this->fleet.fronts).peers); }},
      {"disturb the link to a disk host", false,
       [this] { return this->disturb(*this->pick_host(this->fleet.disks).peers); }},
      {"disturb a front host's link to the store", false,
       [this] { return this->disturb(*this->pick_host(this->fleet.fronts).store); }},
      {"disturb a disk host's link to the store", false,
       [this] { return this->disturb(*this->pick_host(this->fleet.disks).store); }},
      {"disturb the callers' link to a front host", false,
       [this] { return this->disturb(*this->pick_host(this->fleet.fronts).callers); }},
      {"disturb the link to a backend server", false,
       [this] {
         const std::shared_ptr<fault_proxy> proxy =
             this->fleet.backends[this->random_index(this->fleet.backends.size())].proxy;
         const undo end = this->disturb(*proxy);
         return [proxy, end] { end(); };
       }},
  };
}

soak_faults::undo soak_faults::set_behaviors(
    const std::shared_ptr<stand_ins::behavior_script>& behaviors) {
  using enum backend_behavior;
  constexpr std::array harmful{
      shed,         drop_response, truncate,         respond_twice, respond_to_other_call_first,
      send_garbage, hang,          answer,           shed,          respond_without_length,
      answer,       drop_response, unsigned_response};
  std::vector<backend_behavior> order;
  constexpr std::size_t length = 60;
  const backend_behavior dominant_behavior = harmful[this->random_index(harmful.size())];
  for (std::size_t number = 0; number < length; ++number) {
    const bool disturb = this->random_index(3) == 0;
    const bool same = this->random_index(2) == 0;
    const backend_behavior other = harmful[this->random_index(harmful.size())];
    order.push_back(!disturb ? answer : same ? dominant_behavior : other);
  }
  order.push_back(answer);
  behaviors->set(order);
  return [behaviors] { behaviors->set({answer}); };
}

std::vector<soak_faults::fault_kind> soak_faults::environment_faults() {
  const auto mood = [this](store_behavior how) {
    this->fleet.store().set_behavior(how);
    return [this] { this->fleet.store().set_behavior(store_behavior::serving); };
  };
  return {
      {"the store is busy", false, [mood] { return mood(store_behavior::busy); }},
      {"the store is silent", false, [mood] { return mood(store_behavior::silent); }},
      {"the store loses responses", false,
       [mood] { return mood(store_behavior::dropping_responses); }},
      {"the store drops its history", false,
       [this] {
         this->fleet.store().set_stalled_watches(true);
         return [this] { this->fleet.store().set_stalled_watches(false); };
       }},
      {"model servers fail", false,
       [this] { return this->set_behaviors(this->fleet.engine_behaviors); }},
      {"application servers fail", false,
       [this] { return this->set_behaviors(this->fleet.app_behaviors); }},
  };
}

std::vector<soak_faults::fault_kind> soak_faults::planned_maintenance() {
  return {
      {"stop a front host", true,
       [this] {
         this->fleet.stop(this->pick_host(this->fleet.fronts), this->random_duration(50, 1000));
         return no_undo();
       }},
      {"stop two front hosts", true,
       [this] {
         const std::size_t first = this->random_index(this->fleet.fronts.size());
         const std::size_t second = (first + 1) % this->fleet.fronts.size();
         this->fleet.stop(this->fleet.fronts[first], 100ms);
         this->fleet.stop(this->fleet.fronts[second], 100ms);
         return no_undo();
       }},
      {"reload the settings", true,
       [this] {
         this->pick_host(this->fleet.fronts).process->signal(SIGHUP);
         return no_undo();
       }},
      {"change the configuration", true,
       [this] {
         this->fleet.configure();
         return no_undo();
       }},
      {"change the configuration three times", true,
       [this] {
         this->fleet.configure();
         this->fleet.configure();
         this->fleet.configure();
         return no_undo();
       }},
      {"replace a backend server", true,
       [this] {
         this->fleet.replace_backend(
             this->fleet.backends[this->random_index(this->fleet.backends.size())]);
         return no_undo();
       }},
  };
}

void soak_faults::note(net::steady_time now, const std::string& what) {
  const std::chrono::duration<double> since = now - this->began;
  this->lines.push_back(fmt::format("{:6.2f} s {}", since.count(), what));
}

void soak_faults::grow(net::steady_time now) {
  if (now < this->next_growth) {
    return;
  }
  constexpr int last_step = 8;
  const auto random_index = [this](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->growth_random);
  };
  // Each step replaces a server; every second step changes the configuration.
  ++this->growth_step;
  if (this->growth_step % 2 == 0) {
    this->fleet.grow(static_cast<double>(this->growth_step) / last_step);
  }
  this->fleet.replace_backend(this->fleet.backends[random_index(this->fleet.backends.size())]);
  if (this->growth_step == 1) {
    ++this->begun["the configuration grows"];
    this->note(now, "the configuration grows");
  }
  this->next_growth = now + 500ms;
  if (this->growth_step == last_step) {
    this->growth_step = 0;
    this->next_growth += std::chrono::milliseconds(random_index(4000));
  }
}

void soak_faults::take_disks_in_turn(net::steady_time now) {
  if (now < this->next_disk) {
    return;
  }
  const auto between = [this](int min_ms, int max_ms) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(this->disk_random));
  };
  const bool first = this->next_disk == net::steady_time{};
  this->next_disk = now + between(2000, 4500);
  if (first) {
    return;
  }
  soak_host& disk = this->fleet.disks[this->disks_taken++ % this->fleet.disks.size()];
  const auto away = between(400, 2200);
  const int kind = std::uniform_int_distribution<int>(0, 2)(this->disk_random);
  switch (this->plays_all() ? kind : 0) {
    case 0:
      this->fleet.stop(disk, away);
      this->note(now, fmt::format("stop {} in turn ({} ms)", disk.name, away.count()));
      break;
    case 1:
      this->active.push_back(
          {"freeze in turn", false, now + away, this->pause_process(disk), true, false});
      this->note(now, fmt::format("freeze {} in turn ({} ms)", disk.name, away.count()));
      break;
    default: {
      fault_proxy& link = *disk.peers;
      link_fault cut;
      cut.hold_forward = true;
      cut.hold_back = true;
      link.set_fault(cut);
      this->active.push_back(
          {"cut in turn", false, now + away, [&link] { link.set_fault({}); }, true, false});
      this->note(now, fmt::format("cut off {} in turn ({} ms)", disk.name, away.count()));
      break;
    }
  }
  ++this->begun["disk hosts leave in turn"];
}

void soak_faults::send_fatal_requests(net::steady_time now) {
  if (now < this->next_fatal) {
    return;
  }
  const bool first = this->next_fatal == net::steady_time{};
  this->next_fatal = now + std::chrono::milliseconds(
                               std::uniform_int_distribution<int>(1500, 4000)(this->fatal_random));
  if (first || !this->plays_all() || this->maintenance_only) {
    return;
  }
  ++this->begun["requests that end servers"];
  this->note(now, "a request that ends servers");
  this->start_fatal_request(this->fatal_random());
}

void soak_faults::start_fault(net::steady_time now) {
  std::vector<const fault_kind*> choice;
  for (const fault_kind& kind : this->kinds) {
    const bool fits = kind.planned || !this->maintenance_only;
    const bool running = std::any_of(this->active.begin(), this->active.end(), [&](auto& item) {
      return std::string_view(item.name) == kind.name;
    });
    if (fits && !running) {
      choice.push_back(&kind);
    }
  }
  const fault_kind& kind = *choice[this->random_index(choice.size())];
  const auto fault_duration =
      kind.planned ? std::chrono::milliseconds(grace) : this->random_duration(200, 5000);
  this->note(now, fmt::format("{} ({} ms)", kind.name, fault_duration.count()));
  ++this->begun[kind.name];
  this->active.push_back(
      {kind.name, kind.planned, now + fault_duration, kind.begin(), false, false});
}

void soak_faults::end_expired(net::steady_time now) {
  for (auto item = this->active.begin(); item != this->active.end();) {
    if (item->until > now) {
      ++item;
      continue;
    }
    item->end();
    item = this->active.erase(item);
  }
}

void soak_faults::tick(net::steady_time now) {
  this->end_expired(now);
  const bool fault_active = std::any_of(this->active.begin(), this->active.end(),
                                        [](const active_fault& item) { return !item.planned; });
  if (fault_active) {
    this->fault_active_until = now;
  }
  const bool other_active =
      std::any_of(this->active.begin(), this->active.end(),
                  [](const active_fault& item) { return !item.planned && !item.is_endless; });
  if (other_active) {
    this->other_fault_until = now;
  }
  if (this->ended) {
    return;
  }
  if (this->fleet.grows()) {
    this->grow(now);
  }
  if (now >= this->next_release) {
    if (this->next_release != net::steady_time{}) {
      this->fleet.begin_release();
      ++this->begun["release of the model servers"];
      this->note(now, "release of the model servers");
    }
    this->next_release = now + std::chrono::milliseconds(std::uniform_int_distribution<int>(
                                   2000, 6000)(this->release_random));
  }
  this->take_disks_in_turn(now);
  this->send_fatal_requests(now);
  this->kill_servers(now);
  this->end_streams_early(now);
  this->send_endless_responses(now);
  this->send_invalid_responses(now);
  this->send_early_responses(now);
  this->send_crowds(now);
  if (now >= this->period_ends) {
    const bool no_faults = this->random_index(3) == 0;
    this->maintenance_only = !this->plays_all() || no_faults;
    this->period_ends = now + this->random_duration(4000, 9000);
  }
  const auto drawn = std::count_if(this->active.begin(), this->active.end(),
                                   [](const active_fault& item) { return !item.in_turn; });
  if (now >= this->next && drawn < max_active) {
    this->start_fault(now);
    this->next = now + this->random_duration(100, 1500);
  }
}

void soak_faults::record(const std::string& what) {
  this->note(steady::now(), what);
  this->fault_active_until = steady::now();
  this->other_fault_until = steady::now();
}

void soak_faults::end_all() {
  this->ended = true;
  this->fleet.cancel_kills();
  for (active_fault& item : this->active) {
    item.end();
  }
  this->active.clear();
  this->fault_active_until = steady::now();
  this->other_fault_until = steady::now();
}

bool soak_faults::only_endless_since(net::steady_time then) const {
  const bool other_active =
      std::any_of(this->active.begin(), this->active.end(),
                  [](const active_fault& item) { return !item.planned && !item.is_endless; });
  return !other_active && this->other_fault_until + reconnect_time < then;
}

bool soak_faults::calm_since(net::steady_time then) const {
  const bool fault_active = std::any_of(this->active.begin(), this->active.end(),
                                        [](const active_fault& item) { return !item.planned; });
  return !fault_active && this->fault_active_until + reconnect_time < then;
}

}  // namespace hawthornlane::scenarios
