// Plays programs of turns, with helpers, against model engines that several hosts share,
// and checks what their callers get: in a burst, after it, and what is read in vain.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/placement/server_pool.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 5ms;
constexpr double step_ms = 5;
/// An engine reads prompts first, then makes one token a step of its own for each call.
constexpr double read_tokens_per_ms = 83;
constexpr double token_ms = 2.5;
constexpr double turn_tokens = 70;
constexpr std::int64_t shared_tokens = 500;
constexpr std::int64_t new_tokens = 450;
constexpr int turns = 6;
constexpr int helpers = 3;
constexpr int helper_turns = 2;
/// Tool calls between two turns, and the way from caller to host and back.
constexpr duration pause = 120ms;
/// An idle engine's time of one turn: reading, tokens, and the pause.
constexpr double idle_turn_ms = 1000 / read_tokens_per_ms + turn_tokens * token_ms + 120;
constexpr duration burst_from = 6s;
constexpr duration burst_to = 10s;
constexpr duration arrivals_end = 24s;

struct load_plan {
  int hosts = 7;
  int servers = 8;
  std::uint32_t slots = 16;
  /// Programs a second, and in the burst.
  double usual = 24;
  double burst = 60;
  /// Hosts tell each other of loads and lines.
  bool share = true;
  /// Every third server is slow, and each is slower still for a seventh of the time.
  bool unequal = false;
  bool learns_speed = false;
  /// What hosts tell of loads and speeds arrives so much later.
  duration view_age{};
};

/// Of servers that differ.
constexpr double fast_factor = 0.7;
constexpr double slow_factor = 1.7;
constexpr double spell_factor = 2.5;
constexpr duration spell = 600ms;
constexpr duration between_spells = 3400ms;
constexpr duration tick_pause = 100ms;

struct load_result {
  int began = 0;
  int in_time = 0;
  int began_after = 0;
  int in_time_after = 0;
  double read = 0;
  double unavoidable = 0;
};

/// One line of turns: a program's own, or a helper's.
struct line {
  int program = 0;
  bool is_helper = false;
  int left = 0;
  std::vector<prompt_piece> prompt;
};

struct program {
  duration began{};
  int open_lines = 1;
};

/// A turn that waits for a server, or is at one.
struct turn {
  line from;
  int host = 0;
  double to_read = 0;
  double to_make = turn_tokens;
  bool first_event = false;
};

struct engine {
  backend_entry entry;
  /// How many times longer it takes than others, and when its spells begin.
  double factor = 1;
  duration spell_phase{};
  std::vector<placement_id> running;
  std::deque<placement_id> queue;
  prefix_cache_view cache;
};

class played_turns {
public:
  explicit played_turns(load_plan with) : plan(with) {
    std::vector<backend_entry> entries;
    for (int number = 0; number < this->plan.servers; ++number) {
      engine item;
      item.entry.id = backend_server_id("s" + std::to_string(number));
      item.entry.zone = availability_zone("z" + std::to_string(number % 4));
      item.entry.slots = this->plan.slots;
      entries.push_back(item.entry);
      if (this->plan.unequal) {
        item.factor = number % 3 == 2 ? slow_factor : fast_factor;
        item.spell_phase = 731ms * number;
      }
      this->engines.emplace(item.entry.id, std::move(item));
    }
    pool_rules rules;
    rules.learns_speed = this->plan.learns_speed;
    for (int number = 0; number < this->plan.hosts; ++number) {
      this->pools.emplace_back(rules, name_of(number),
                               availability_zone("z" + std::to_string(number % 4)));
      this->pools.back().set_servers(entries, timestamp{});
    }
  }

  load_result play() {
    constexpr duration patience = 20s;
    while (this->now < arrivals_end + patience) {
      this->arrive();
      this->wake();
      this->deliver_told();
      if (this->plan.unequal && this->now % tick_pause == 0ms) {
        this->tick();
      }
      for (auto& [id, server] : this->engines) {
        this->run(server);
      }
      this->now += step;
    }
    return this->result;
  }

private:
  static host_id name_of(int number) { return host_id("h" + std::to_string(number)); }
  [[nodiscard]] timestamp moment() const { return timestamp(this->now); }

  void arrive() {
    if (this->now >= arrivals_end) {
      return;
    }
    const bool in_burst = this->now >= burst_from && this->now < burst_to;
    const double rate = in_burst ? this->plan.burst : this->plan.usual;
    std::poisson_distribution<int> count(rate * step_ms / 1000);
    for (int left = count(this->random); left > 0; --left) {
      line first;
      first.program = static_cast<int>(this->programs.size());
      first.left = turns;
      first.prompt = {{prompt_part_key(1), token_count(shared_tokens)},
                      {this->next_part(), token_count(0)}};
      this->programs.push_back({this->now, 1});
      ++this->result.began;
      this->result.began_after += this->is_after() ? 1 : 0;
      this->sleepers.push_back({this->now, first});
    }
  }
  prompt_part_key next_part() { return prompt_part_key(++this->parts * 7919 + 1); }
  /// Begun when the backlog of the burst must be gone: 4 s x 60 programs of 12 turns came,
  /// of which the engines do 490 a second. 900 turns are left, for which there is room for
  /// 200 a second beside the usual 290: 4.5 s.
  [[nodiscard]] bool is_after() const { return this->now >= burst_to + 5s; }

  void wake() {
    std::vector<line> due;
    std::erase_if(this->sleepers, [&](const auto& item) {
      if (item.first > this->now) {
        return false;
      }
      due.push_back(item.second);
      return true;
    });
    for (line& item : due) {
      this->submit(std::move(item));
    }
  }

  void submit(line from) {
    from.prompt.back().tokens = token_count(from.prompt.back().tokens.get() + new_tokens);
    this->result.unavoidable += new_tokens;
    turn item{std::move(from)};
    // A program's callers keep to two hosts; helpers come by way of any.
    const int spread = item.from.is_helper ? this->plan.hosts : 2;
    item.host =
        (item.from.program + std::uniform_int_distribution<int>(0, spread - 1)(this->random)) %
        this->plan.hosts;
    placement_request request;
    request.id = placement_id(++this->calls);
    request.affinity = static_cast<std::uint64_t>(item.from.program) * 104'729 + 1;
    request.prompt = item.from.prompt;
    request.begun = item.from.left < turns || item.from.is_helper;
    request.wanted_by = this->moment() + 3s;
    request.give_up_at = this->moment() + 20s;
    server_pool& pool = this->pools[item.host];
    if (this->plan.share) {
      this->ask(pool, request, name_of(item.host));
    }
    const int host = item.host;
    this->turns_under_way.emplace(request.id, std::move(item));
    std::vector<placement> placed;
    pool.submit(request, this->moment(), placed);
    this->send(placed);
    this->tell(host);
  }

  void ask(server_pool& pool, const placement_request& request, const host_id& asker) {
    const directory_question question = pool.question_for(request, this->moment());
    for (const server_key& server : question.servers) {
      const auto calls = this->directory.load_of_others(server, asker, this->moment());
      pool.note_load({server, calls}, this->moment());
      if (const auto speed = this->directory.speed_of_others(server, asker, this->moment())) {
        pool.note_speed(*speed, this->moment());
      }
    }
    for (const prompt_part_key& part : question.parts) {
      if (const auto location = this->directory.find(part)) {
        pool.note_location(*location);
      }
    }
  }

  void tell(int host) {
    directory_update update = this->pools[host].take_update();
    this->pools[host].add_speeds(update, this->moment());
    this->told.push_back({this->now + this->plan.view_age, host, update});
    this->deliver_told();
    for (const part_location& location : update.locations) {
      this->directory.set_location(location);
    }
  }

  void deliver_told() {
    while (!this->told.empty() && this->told.front().arrives <= this->now) {
      const told_update& item = this->told.front();
      for (const server_load& load : item.update.loads) {
        this->directory.set_load(name_of(item.host), load, this->moment());
      }
      for (const told_speed& speed : item.update.speeds) {
        this->directory.set_speed(name_of(item.host), speed, this->moment());
      }
      this->told.pop_front();
    }
  }

  void tick() {
    for (server_pool& pool : this->pools) {
      this->send(pool.tick(this->moment()));
    }
  }

  void send(const std::vector<placement>& placed) {
    for (const placement& item : placed) {
      engine& server = this->engines.at(item.server.id);
      server.queue.push_back(item.id);
    }
  }

  void run(engine& server) {
    while (!server.queue.empty() && server.running.size() < this->plan.slots) {
      turn& next = this->turns_under_way.at(server.queue.front());
      next.to_read = missing(server, next.from.prompt);
      this->result.read += next.to_read;
      server.cache.note(next.from.prompt, server.entry.id);
      server.running.push_back(server.queue.front());
      server.queue.pop_front();
    }
    double left_ms = step_ms / this->factor_of(server);
    for (const placement_id& id : server.running) {
      turn& item = this->turns_under_way.at(id);
      const double part = std::min(item.to_read, left_ms * read_tokens_per_ms);
      item.to_read -= part;
      left_ms -= part / read_tokens_per_ms;
    }
    std::vector<placement_id> ended;
    for (const placement_id& id : server.running) {
      turn& item = this->turns_under_way.at(id);
      if (item.to_read > 0) {
        continue;
      }
      item.to_make -= left_ms / token_ms;
      if (!item.first_event) {
        item.first_event = true;
        this->pools[item.host].started(id, this->moment());
      }
      if (item.to_make <= 0) {
        ended.push_back(id);
      }
    }
    for (const placement_id& id : ended) {
      std::erase(server.running, id);
      this->finish(id);
    }
  }

  [[nodiscard]] double factor_of(const engine& server) const {
    const duration in_turn = (this->now + server.spell_phase) % (spell + between_spells);
    return this->plan.unequal && in_turn < spell ? server.factor * spell_factor : server.factor;
  }

  static double missing(const engine& server, const std::vector<prompt_piece>& prompt) {
    double all = 0;
    for (const prompt_piece& piece : prompt) {
      all += static_cast<double>(piece.tokens.get());
    }
    return all - static_cast<double>(server.cache.held(prompt, server.entry.id).get());
  }

  void finish(placement_id id) {
    turn item = std::move(this->turns_under_way.at(id));
    this->turns_under_way.erase(id);
    this->send(this->pools[item.host].finished(id, server_outcome::answered, this->moment()));
    this->tell(item.host);
    line& from = item.from;
    --from.left;
    program& owner = this->programs[from.program];
    if (!from.is_helper && from.left == turns - 1) {
      for (int number = 0; number < helpers; ++number) {
        line helper = from;
        helper.is_helper = true;
        helper.left = helper_turns;
        helper.prompt.push_back({this->next_part(), token_count(0)});
        ++owner.open_lines;
        this->sleepers.push_back({this->now + pause, helper});
      }
    }
    if (from.left > 0) {
      this->sleepers.push_back({this->now + pause, from});
      return;
    }
    if (--owner.open_lines > 0) {
      return;
    }
    constexpr double slack = 1.5;
    const double took_ms = to_seconds(this->now - owner.began) * 1000;
    const bool in_time = took_ms <= slack * idle_turn_ms * turns + 250;
    this->result.in_time += in_time ? 1 : 0;
    this->result.in_time_after += in_time && owner.began >= burst_to + 5s ? 1 : 0;
  }

  struct told_update {
    duration arrives;
    int host;
    directory_update update;
  };

  load_plan plan;
  duration now{};
  std::deque<told_update> told;
  std::mt19937 random{42};
  std::map<backend_server_id, engine> engines;
  std::vector<server_pool> pools;
  placement_directory directory;
  std::vector<program> programs;
  std::vector<std::pair<duration, line>> sleepers;
  std::map<placement_id, turn> turns_under_way;
  std::uint64_t parts = 0;
  std::uint64_t calls = 0;
  load_result result;
};

double share(int part, int whole) { return static_cast<double>(part) / whole; }

}  // namespace

TEST_CASE("programs are in time again soon after a burst, and prompts are read once") {
  // The burst asks for 1.5 times what the engines can do, so that some are late in any
  // case. Means of eight plays: 0.57 and 0.83 in time, 1.18 and 1.34 times the new tokens
  // read; without the directory 0.70 in time at the small servers, and 1.85 times.
  struct row {
    const char* what;
    load_plan plan;
    double in_time;
    double read_factor;
  };
  load_plan small_servers;
  small_servers.hosts = 24;
  small_servers.servers = 20;
  small_servers.slots = 6;
  const row rows[] = {
      {"7 hosts, 8 servers of 16 places", load_plan{}, 0.5, 1.25},
      {"24 hosts, 20 servers of 6 places", small_servers, 0.75, 1.45},
  };
  for (const row& item : rows) {
    const load_result result = played_turns(item.plan).play();
    const double again = share(result.in_time_after, result.began_after);
    INFO(item.what << ": in time " << share(result.in_time, result.began) << ", after the burst "
                   << again << ", read " << result.read / result.unavoidable);
    CHECK(share(result.in_time, result.began) > item.in_time);
    CHECK(again > 0.9);
    CHECK(result.read < item.read_factor * result.unavoidable);
  }
}

TEST_CASE("what hosts tell each other gains service in a burst") {
  load_plan plan;
  plan.hosts = 24;
  plan.servers = 20;
  plan.slots = 6;
  const load_result shared = played_turns(plan).play();
  plan.share = false;
  const load_result alone = played_turns(plan).play();
  INFO("in time " << share(alone.in_time, alone.began) << " -> "
                  << share(shared.in_time, shared.began) << ", read "
                  << alone.read / alone.unavoidable << " -> " << shared.read / shared.unavoidable);
  CHECK(share(shared.in_time, shared.began) > share(alone.in_time, alone.began) + 0.05);
}

TEST_CASE("programs are in time at servers of unequal speed") {
  // 0.7 of what the servers can do: 45 servers of 8 places, of which a place does 3.8 turns a
  // second at factor 1; a program has twelve.
  load_plan plan;
  plan.hosts = 66;
  plan.servers = 45;
  plan.slots = 8;
  plan.usual = 84;
  plan.burst = 84;
  plan.unequal = true;
  struct row {
    const char* what;
    duration view_age;
    /// Of the programs that are late without learning, as many may be with it.
    double late_part;
  };
  const row rows[] = {
      {"loads of now", 0ms, 0.5},
      {"loads of 50 ms ago", 50ms, 0.5},
      {"loads of 500 ms ago", 500ms, 1},
  };
  for (const row& item : rows) {
    plan.view_age = item.view_age;
    plan.learns_speed = false;
    const load_result before = played_turns(plan).play();
    plan.learns_speed = true;
    const load_result after = played_turns(plan).play();
    const double in_time_before = share(before.in_time, before.began);
    const double in_time = share(after.in_time, after.began);
    INFO(item.what << ": in time " << in_time_before << " -> " << in_time << ", read "
                   << before.read / before.unavoidable << " -> " << after.read / after.unavoidable);
    CHECK(1 - in_time < item.late_part * (1 - in_time_before));
  }
}
