// Many hosts that take and give copies by the rules of copy_intake and copy_outlet, in virtual
// time: over links of a real rate that lose messages and are cut, and beside hosts that restart.
//
// The story. When each host took a large configuration from every host that was ahead of it,
// links and memory filled with copies that nobody needed; hosts served an older configuration
// 20 s later. Since then a host asks one other at a time, and a host gives two copies at a time
// and names others that have theirs. Where some pairs of hosts cannot reach each other, such a
// name led to a host that never answers, which took a second, and the next name again: a change
// of 100 KB needed 3.6 s to reach 60 hosts of which a fifth of the pairs was cut in one
// direction, and 2.6 s with half of the pairs cut in both.
//
// The cause. A question was put to whoever counted as ahead, also by what a third host said or
// by messages that came from there alone; nothing asked whether that host answers this one.
//
// What holds in each history here: once faults have ended, every host has the newest state within
// the time in which an accepted configuration has to be in force, each host is given few copies
// of each state, and no link ever holds more than a few.
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "hawthornlane/front/copy_fetch_scheduler.h"
#include "hawthornlane/front/copy_send_limiter.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

constexpr auto kind = copy_kind::configuration;
/// Of a small host's link: 30 Mbit/s.
constexpr double link_bytes_per_us = 30.0 / 8;
constexpr duration way = 2ms;
/// Of the host's pass over what is due.
constexpr duration tick_pause = 10ms;
constexpr duration read_pause = 850ms;
/// Between two moments at which hosts may restart.
constexpr duration fault_pause = 100ms;
/// In which hosts hear each other and take their first state.
constexpr duration warm_up = 20s;
constexpr duration copy_limit = 1s;
constexpr duration probe_limit = 600ms;
constexpr std::size_t small_message = 200;
/// An accepted configuration is in force everywhere within this time.
constexpr duration spread_limit = 3s;

using state_version = std::uint64_t;

/// Events in the order of their moments.
class virtual_clock {
public:
  [[nodiscard]] timestamp now() const { return this->moment; }
  void at(timestamp when, std::function<void()> what) {
    this->events.push({when, this->next++, std::move(what)});
  }
  void run_until(timestamp end) {
    while (!this->events.empty() && this->events.top().when <= end) {
      const event first = this->events.top();
      this->events.pop();
      this->moment = first.when;
      first.what();
    }
    this->moment = end;
  }

private:
  struct event {
    timestamp when;
    std::uint64_t number = 0;
    std::function<void()> what;
    bool operator<(const event& other) const {
      return std::tie(other.when, other.number) < std::tie(this->when, this->number);
    }
  };
  std::priority_queue<event> events;
  std::uint64_t next = 0;
  timestamp moment{1h};
};

/// What a host tells and asks of another; `digest` is answered by the other's.
enum class message_kind { digest, copy, taken };

struct message {
  message_kind what = message_kind::digest;
  state_version version = 0;
  /// The sender has just read the store.
  bool prompt = false;
};

struct reply {
  state_version version = 0;
  bool whole = false;
  std::vector<host_id> holders;
};

/// A host as far as copies go. A new one after each restart.
struct member {
  member(const host_id& name, copy_fetch_scheduler::reaches_hook reaches)
      : intake(name, std::move(reaches)) {}
  copy_fetch_scheduler intake;
  copy_send_limiter outlet;
  state_version version = 0;
  struct word {
    state_version version = 0;
    timestamp at;
    /// When it last answered this host, unless a question failed since.
    timestamp answered{};
  };
  std::map<std::size_t, word> heard;
};

struct history {
  const char* what;
  std::size_t hosts;
  std::size_t bytes;
  int changes;
  duration between;
  /// Chance of each message, while faults last.
  double loss = 0;
  /// Chance that messages of a pair get through one way only, or not at all, for as long as
  /// the history lasts. The reader of the store reaches all.
  double one_way_cuts = 0;
  double cuts = 0;
  /// Chance of each host in a second, while faults last; not of the reader.
  double restarts = 0;
};

class network {
public:
  network(const history& told, unsigned seed) : plan(told), random(seed) {
    this->members.resize(this->plan.hosts);
    this->free_at.resize(this->plan.hosts);
    this->waiting.resize(this->plan.hosts);
    for (std::size_t host = 0; host < this->plan.hosts; ++host) {
      this->start(host);
    }
    this->cut_some();
    for (std::size_t host = 0; host < this->plan.hosts; ++host) {
      this->broadcast_state(host, false);
      this->probe_later(host, this->part_of(this->probe_pause()));
      this->tick_later(host, this->part_of(tick_pause));
    }
    this->read_later();
  }

  /// A state more in the store.
  void change() { ++this->store; }

  void run_with_faults() {
    this->faults = true;
    for (int change = 0; change < this->plan.changes; ++change) {
      this->change();
      const timestamp until = this->clock.now() + this->plan.between;
      while (this->clock.now() < until) {
        this->clock.run_until(this->clock.now() + fault_pause);
        this->restart_some();
      }
    }
    this->faults = false;
  }

  /// How long the newest state takes to be everywhere from now on; nothing when too long.
  std::optional<duration> settle(duration limit) {
    const timestamp began = this->clock.now();
    while (this->clock.now() < began + limit) {
      if (this->all_have_newest()) {
        return this->clock.now() - began;
      }
      this->clock.run_until(this->clock.now() + 5ms);
    }
    return std::nullopt;
  }

  /// Copies given, and starts of hosts that need one each.
  std::uint64_t copies = 0;
  std::uint64_t starts = 0;
  /// Bytes before one link.
  std::size_t most_waiting = 0;
  /// To one host within one second.
  std::size_t most_questions = 0;

private:
  static inline const std::string name_start = "front-";
  using done_hook = std::function<void(const std::optional<reply>&)>;

  static host_id name_of(std::size_t host) { return host_id(name_start + std::to_string(host)); }
  static std::size_t number_of(const host_id& name) {
    return std::stoul(name.get().substr(name_start.size()));
  }
  bool happens(double chance) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < chance;
  }
  duration part_of(duration whole) {
    return duration(std::uniform_int_distribution<std::int64_t>(0, whole.count())(this->random));
  }
  [[nodiscard]] duration probe_pause() const {
    return std::max<duration>(400ms, 16ms * static_cast<int>(this->plan.hosts));
  }
  [[nodiscard]] bool all_have_newest() const {
    return std::all_of(this->members.begin(), this->members.end(),
                       [this](const auto& one) { return one->version == this->store; });
  }

  void start(std::size_t host) {
    ++this->starts;
    this->members[host] =
        std::make_shared<member>(name_of(host), [this, host](const host_id& other) {
          const auto& heard = this->members[host]->heard;
          const auto word = heard.find(number_of(other));
          return word != heard.end() && this->is_recent(word->second.answered);
        });
    this->members[host]->intake.count_hosts(this->plan.hosts);
  }

  void cut_some() {
    for (std::size_t from = 1; from < this->plan.hosts; ++from) {
      for (std::size_t to = 1; to < this->plan.hosts; ++to) {
        if (this->happens(this->plan.one_way_cuts)) {
          this->cuts.emplace(from, to);
        }
        if (from < to && this->happens(this->plan.cuts)) {
          this->cuts.emplace(from, to);
          this->cuts.emplace(to, from);
        }
      }
    }
  }

  void restart_some() {
    const double seconds = std::chrono::duration<double>(fault_pause).count();
    for (std::size_t host = 1; host < this->plan.hosts; ++host) {
      if (this->happens(this->plan.restarts * seconds)) {
        this->start(host);
        this->broadcast_state(host, false);
      }
    }
  }

  /// Puts a message on its sender's link; it arrives, or not.
  void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> arrives) {
    const bool lost =
        this->cuts.contains({from, to}) || (this->faults && this->happens(this->plan.loss));
    const duration takes(static_cast<std::int64_t>(static_cast<double>(bytes) / link_bytes_per_us));
    timestamp& free = this->free_at[from];
    free = std::max(free, this->clock.now()) + takes;
    this->waiting[from] += bytes;
    this->most_waiting = std::max(this->most_waiting, this->waiting[from]);
    this->clock.at(free, [this, from, bytes] { this->waiting[from] -= bytes; });
    if (!lost) {
      this->clock.at(free + way, std::move(arrives));
    }
  }

  /// Ends once: with the answer, or with nothing at the limit. Nobody hears of it when the
  /// caller has restarted.
  void call(std::size_t from, std::size_t to, const message& told, duration limit, done_hook done) {
    const auto open = std::make_shared<done_hook>(std::move(done));
    const auto finish =
        [open, caller = std::weak_ptr(this->members[from])](const std::optional<reply>& answer) {
          const done_hook hook = std::exchange(*open, nullptr);
          if (hook && !caller.expired()) {
            hook(answer);
          }
        };
    this->clock.at(this->clock.now() + limit, [finish] { finish(std::nullopt); });
    this->send(from, to, small_message,
               [this, from, to, told, finish, asked = std::weak_ptr(this->members[to])] {
                 if (asked.expired()) {
                   return;
                 }
                 const reply answer = this->serve(from, to, told);
                 this->send(to, from, answer.whole ? this->plan.bytes : small_message,
                            [finish, answer] { finish(answer); });
               });
  }

  reply serve(std::size_t from, std::size_t to, const message& told) {
    member& one = *this->members[to];
    reply answer;
    answer.version = one.version;
    switch (told.what) {
      case message_kind::digest:
        this->hear(to, from, told.version, told.prompt);
        break;
      case message_kind::copy:
        this->count_question(to);
        if (one.version > 0 &&
            one.outlet.begin(kind, name_of(from), this->plan.bytes, this->clock.now())) {
          ++this->copies;
          answer.whole = true;
        } else {
          answer.holders = one.outlet.holders(kind);
        }
        break;
      case message_kind::taken:
        one.outlet.taken(kind, name_of(from));
        break;
    }
    return answer;
  }

  void count_question(std::size_t host) {
    std::deque<timestamp>& times = this->asked_at[host];
    times.push_back(this->clock.now());
    while (this->clock.now() - times.front() > 1s) {
      times.pop_front();
    }
    this->most_questions = std::max(this->most_questions, times.size());
  }

  void hear(std::size_t host, std::size_t other, state_version version, bool prompt) {
    member& one = *this->members[host];
    one.heard[other].version = version;
    one.heard[other].at = this->clock.now();
    one.intake.heard(kind, name_of(other), version > one.version, prompt, this->clock.now());
    this->ask_due(host);
  }

  void hear_again(std::size_t host) {
    member& one = *this->members[host];
    one.intake.renew(kind);
    for (const auto& [other, word] : one.heard) {
      const bool ahead = this->is_recent(word.at) && word.version > one.version;
      one.intake.heard(kind, name_of(other), ahead, false, this->clock.now());
    }
  }

  void take(std::size_t host, state_version version) {
    member& one = *this->members[host];
    if (version > one.version) {
      one.version = version;
      one.outlet.renew(kind);
      this->hear_again(host);
    }
  }

  void ask_due(std::size_t host) {
    member& one = *this->members[host];
    const auto from = one.intake.next(kind, one.version == 0, this->clock.now());
    if (!from) {
      return;
    }
    const std::size_t source = this->number_of(*from);
    this->call(host, source, {message_kind::copy, one.version, false}, copy_limit,
               [this, host, source](const std::optional<reply>& answer) {
                 this->take_answer(host, source, answer);
               });
  }

  void take_answer(std::size_t host, std::size_t source, const std::optional<reply>& answer) {
    member& one = *this->members[host];
    one.heard[source].answered = answer ? this->clock.now() : timestamp{};
    if (!answer || (!answer->whole && answer->version == 0)) {
      one.intake.failed(kind, this->clock.now());
      return;
    }
    if (!answer->whole) {
      one.intake.busy(kind, answer->holders, this->clock.now());
      return;
    }
    this->take(host, answer->version);
    one.intake.taken(kind);
    this->hear_again(host);
    this->call(host, source, {message_kind::taken, 0, false}, probe_limit,
               [](const std::optional<reply>&) {});
    this->ask_due(host);
  }

  /// Hosts that were not heard for longer count as gone.
  [[nodiscard]] bool is_recent(timestamp moment) const {
    return this->clock.now() - moment < this->probe_pause() * 3 + 100ms;
  }

  void broadcast_state(std::size_t host, bool prompt) {
    for (const auto& [other, word] : this->members[host]->heard) {
      if (!this->is_recent(word.at)) {
        this->members[host]->intake.forget(name_of(other));
      }
    }
    for (std::size_t other = 0; other < this->plan.hosts; ++other) {
      if (other == host) {
        continue;
      }
      this->call(host, other, {message_kind::digest, this->members[host]->version, prompt},
                 probe_limit, [this, host, other](const std::optional<reply>& answer) {
                   if (answer) {
                     this->members[host]->heard[other].answered = this->clock.now();
                     this->hear(host, other, answer->version, false);
                   }
                 });
    }
  }

  void probe_later(std::size_t host, duration pause) {
    this->clock.at(this->clock.now() + pause, [this, host] {
      this->broadcast_state(host, false);
      this->probe_later(host, this->probe_pause());
    });
  }

  void tick_later(std::size_t host, duration pause) {
    this->clock.at(this->clock.now() + pause, [this, host] {
      this->ask_due(host);
      this->tick_later(host, tick_pause);
    });
  }

  /// The first host reads the store for all.
  void read_later() {
    this->clock.at(this->clock.now() + read_pause, [this] {
      this->take(0, this->store);
      this->broadcast_state(0, true);
      this->read_later();
    });
  }

  history plan;
  std::mt19937 random;
  virtual_clock clock;
  std::vector<std::shared_ptr<member>> members;
  std::vector<timestamp> free_at;
  std::vector<std::size_t> waiting;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::map<std::size_t, std::deque<timestamp>> asked_at;
  state_version store = 0;
  bool faults = false;
};

}  // namespace

TEST_CASE("every host gets the newest state in time, by few copies, whatever befalls the others") {
  const history rows[] = {
      {"some hosts", 9, 700'000, 1, 0ms},
      {"a registry's bytes", 60, 30'000, 1, 0ms},
      {"a text that does not pack", 60, 400'000, 1, 0ms},
      {"the largest deployment", 340, 60'000, 1, 0ms},
      {"the largest deployment, more bytes", 340, 200'000, 1, 0ms},
      {"changes in quick succession", 60, 400'000, 5, 300ms},
      {"messages get lost", 60, 100'000, 5, 1s, 0.05},
      {"pairs hear each other one way only", 60, 100'000, 1, 0ms, 0, 0.2},
      {"some pairs are cut", 60, 100'000, 1, 0ms, 0, 0, 0.2},
      {"half of the pairs are cut", 60, 100'000, 1, 0ms, 0, 0, 0.5},
      {"pairs are cut in the largest deployment", 340, 60'000, 1, 0ms, 0, 0, 0.3},
      {"hosts restart", 60, 100'000, 5, 1s, 0, 0, 0, 0.2},
      {"all of it, some hosts", 9, 100'000, 8, 1s, 0.05, 0.1, 0.1, 0.2},
      {"all of it", 60, 100'000, 8, 1s, 0.05, 0.1, 0.1, 0.2},
      {"all of it, the largest deployment", 340, 60'000, 4, 1s, 0.02, 0.05, 0.05, 0.05},
  };
  constexpr unsigned seeds = 2;
  for (const history& item : rows) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      INFO(item.what << ", seed " << seed);
      network all(item, seed);
      all.change();
      REQUIRE(all.settle(warm_up));
      all.run_with_faults();
      all.change();
      CHECK(all.settle(spread_limit));
      // The first state, each change with faults, and the last one; lost copies are given again.
      const std::uint64_t states = static_cast<std::uint64_t>(item.changes) + 2;
      CHECK(all.copies <= (item.hosts * states + all.starts) * 3 / 2);
      CHECK(all.most_waiting <= 3 * item.bytes + 2 * item.hosts * small_message);
      CHECK(all.most_questions <= 5 * item.hosts);
      // Pauses between questions grow with the hosts: 1,450 came to one host without that.
      CHECK(all.most_questions <= 600 + item.hosts * 3 / 2);
    }
  }
}
