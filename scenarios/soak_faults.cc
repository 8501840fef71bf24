// Random faults and planned work against a soaked deployment.
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

/// Hosts that were harmed count as in touch again after this long.
constexpr auto settling = 3s;
/// Faults that are under way at once, at most.
constexpr std::size_t most_active = 4;
/// A planned stop takes up to the hosts' grace of 8 s.
constexpr auto grace = 8s;

/// For what ends by itself.
std::function<void()> nothing() {
  return [] {};
}

}  // namespace

soak_faults::soak_faults(soak_fleet& deployment, std::uint64_t seed)
    : fleet(deployment), random(seed), began(steady::now()), growth_random(seed) {
  const std::vector<fault_kind> groups[] = {this->process_faults(), this->link_faults(),
                                            this->outside_faults(), this->planned_work()};
  for (const std::vector<fault_kind>& group : groups) {
    this->kinds.insert(this->kinds.end(), group.begin(), group.end());
  }
}

std::size_t soak_faults::below(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

std::chrono::milliseconds soak_faults::between(int least_ms, int most_ms) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(least_ms, most_ms)(this->random));
}

soak_host& soak_faults::any(std::vector<soak_host>& hosts) {
  return hosts[this->below(hosts.size())];
}

soak_faults::undo soak_faults::freeze(soak_host& host) {
  host.process->signal(SIGSTOP);
  return [&host] { host.process->signal(SIGCONT); };
}

std::vector<soak_faults::fault_kind> soak_faults::process_faults() {
  const auto kill_all = [this](std::vector<soak_host>& hosts, bool power) {
    const auto down = this->between(100, 1500);
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
         this->fleet.kill(this->any(this->fleet.fronts), this->between(50, 2000));
         return nothing();
       }},
      {"kill a disk host", false,
       [this] {
         this->fleet.kill(this->any(this->fleet.disks), this->between(50, 2500));
         return nothing();
       }},
      {"cut the power of a disk host", false,
       [this] {
         this->fleet.cut_power(this->any(this->fleet.disks), this->between(50, 2500));
         return nothing();
       }},
      {"empty a disk", false,
       [this] {
         // One disk may be lost at a time: not before the set is whole again.
         if (this->fleet.set_is_settled()) {
           this->fleet.wipe(this->any(this->fleet.disks), this->between(50, 2000));
         }
         return nothing();
       }},
      {"freeze a front host", false,
       [this] { return this->freeze(this->any(this->fleet.fronts)); }},
      {"freeze a disk host", false, [this] { return this->freeze(this->any(this->fleet.disks)); }},
      {"kill all front hosts", false,
       [this, kill_all] {
         kill_all(this->fleet.fronts, false);
         return nothing();
       }},
      {"cut the power of all disk hosts", false,
       [this, kill_all] {
         kill_all(this->fleet.disks, true);
         return nothing();
       }},
  };
}

soak_faults::undo soak_faults::harm(fault_proxy& proxy) {
  constexpr std::size_t ways = 7;
  link_fault fault;
  switch (this->below(ways)) {
    case 0:
      fault.delay = this->between(20, 300);
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
      {"harm the way to a front host's peers port", false,
       [this] { return this->harm(*this->any(this->fleet.fronts).peers); }},
      {"harm the way to a disk host", false,
       [this] { return this->harm(*this->any(this->fleet.disks).peers); }},
      {"harm a front host's way to the store", false,
       [this] { return this->harm(*this->any(this->fleet.fronts).store); }},
      {"harm a disk host's way to the store", false,
       [this] { return this->harm(*this->any(this->fleet.disks).store); }},
      {"harm callers' way to a front host", false,
       [this] { return this->harm(*this->any(this->fleet.fronts).callers); }},
      {"harm the way to a backend server", false,
       [this] {
         const std::shared_ptr<fault_proxy> proxy =
             this->fleet.backends[this->below(this->fleet.backends.size())].proxy;
         const undo end = this->harm(*proxy);
         return [proxy, end] { end(); };
       }},
  };
}

soak_faults::undo soak_faults::script(const std::shared_ptr<stand_ins::behavior_script>& acts) {
  using enum backend_behavior;
  constexpr std::array harmful{
      shed,         drop_response, truncate,         respond_twice, respond_to_other_call_first,
      send_garbage, hang,          answer,           shed,          respond_without_length,
      answer,       drop_response, unsigned_response};
  std::vector<backend_behavior> order;
  constexpr std::size_t length = 60;
  const backend_behavior most_of_all = harmful[this->below(harmful.size())];
  for (std::size_t number = 0; number < length; ++number) {
    const bool harm = this->below(3) == 0;
    const bool same = this->below(2) == 0;
    const backend_behavior other = harmful[this->below(harmful.size())];
    order.push_back(!harm ? answer : same ? most_of_all : other);
  }
  order.push_back(answer);
  acts->set(order);
  return [acts] { acts->set({answer}); };
}

std::vector<soak_faults::fault_kind> soak_faults::outside_faults() {
  const auto mood = [this](store_behavior how) {
    this->fleet.store().set_behavior(how);
    return [this] { this->fleet.store().set_behavior(store_behavior::serving); };
  };
  return {
      {"the store is busy", false, [mood] { return mood(store_behavior::busy); }},
      {"the store is silent", false, [mood] { return mood(store_behavior::silent); }},
      {"the store loses answers", false,
       [mood] { return mood(store_behavior::dropping_responses); }},
      {"the store drops its history", false,
       [this] {
         this->fleet.store().set_stalled_watches(true);
         return [this] { this->fleet.store().set_stalled_watches(false); };
       }},
      {"model servers fail", false, [this] { return this->script(this->fleet.engine_acts); }},
      {"application servers fail", false, [this] { return this->script(this->fleet.app_acts); }},
  };
}

std::vector<soak_faults::fault_kind> soak_faults::planned_work() {
  return {
      {"stop a front host", true,
       [this] {
         this->fleet.stop(this->any(this->fleet.fronts), this->between(50, 1000));
         return nothing();
       }},
      {"stop two front hosts", true,
       [this] {
         const std::size_t first = this->below(this->fleet.fronts.size());
         const std::size_t second = (first + 1) % this->fleet.fronts.size();
         this->fleet.stop(this->fleet.fronts[first], 100ms);
         this->fleet.stop(this->fleet.fronts[second], 100ms);
         return nothing();
       }},
      {"read settings again", true,
       [this] {
         this->any(this->fleet.fronts).process->signal(SIGHUP);
         return nothing();
       }},
      {"change the configuration", true,
       [this] {
         this->fleet.configure();
         return nothing();
       }},
      {"change the configuration three times", true,
       [this] {
         this->fleet.configure();
         this->fleet.configure();
         this->fleet.configure();
         return nothing();
       }},
      {"replace a backend server", true,
       [this] {
         this->fleet.replace_backend(
             this->fleet.backends[this->below(this->fleet.backends.size())]);
         return nothing();
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
  const auto below = [this](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->growth_random);
  };
  // A server leaves at each step; the configuration changes at each second one.
  ++this->growth_step;
  if (this->growth_step % 2 == 0) {
    this->fleet.grow(static_cast<double>(this->growth_step) / last_step);
  }
  this->fleet.replace_backend(this->fleet.backends[below(this->fleet.backends.size())]);
  if (this->growth_step == 1) {
    ++this->begun["the configuration grows"];
    this->note(now, "the configuration grows");
  }
  this->next_growth = now + 500ms;
  if (this->growth_step == last_step) {
    this->growth_step = 0;
    this->next_growth += std::chrono::milliseconds(below(4000));
  }
}

void soak_faults::begin_one(net::steady_time now) {
  std::vector<const fault_kind*> choice;
  for (const fault_kind& kind : this->kinds) {
    const bool fits = kind.planned || !this->planned_spell;
    const bool running = std::any_of(this->active.begin(), this->active.end(), [&](auto& item) {
      return std::string_view(item.name) == kind.name;
    });
    if (fits && !running) {
      choice.push_back(&kind);
    }
  }
  const fault_kind& kind = *choice[this->below(choice.size())];
  const auto lasts = kind.planned ? std::chrono::milliseconds(grace) : this->between(200, 5000);
  this->note(now, fmt::format("{} ({} ms)", kind.name, lasts.count()));
  ++this->begun[kind.name];
  this->active.push_back({kind.name, kind.planned, now + lasts, kind.begin()});
}

void soak_faults::end_due(net::steady_time now) {
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
  this->end_due(now);
  const bool harming = std::any_of(this->active.begin(), this->active.end(),
                                   [](const under_way& item) { return !item.planned; });
  if (harming) {
    this->harmed_until = now;
  }
  if (this->ended) {
    return;
  }
  if (this->fleet.grows()) {
    this->grow(now);
  }
  if (now >= this->spell_ends) {
    this->planned_spell = this->below(3) == 0;
    this->spell_ends = now + this->between(4000, 9000);
  }
  if (now >= this->next && this->active.size() < most_active) {
    this->begin_one(now);
    this->next = now + this->between(100, 1500);
  }
}

void soak_faults::end_all() {
  this->ended = true;
  for (under_way& item : this->active) {
    item.end();
  }
  this->active.clear();
  this->harmed_until = steady::now();
}

bool soak_faults::calm_since(net::steady_time then) const {
  const bool harming = std::any_of(this->active.begin(), this->active.end(),
                                   [](const under_way& item) { return !item.planned; });
  return !harming && this->harmed_until + settling < then;
}

}  // namespace hawthornlane::scenarios
