// Programs of turns, with helpers, played against model engines that several hosts share.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "hawthornlane/placement/in_flight_limit.h"
#include "hawthornlane/placement/place_queue.h"
#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/placement/server_pool.h"
#include "turn_plan.h"

namespace hawthornlane::play {

/// Hosts, engines and callers on virtual time. Messages between hosts take no time, but for
/// grants, which arrive a step later.
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
    for (int number = 0; number < this->plan.hosts; ++number) {
      pool_rules rules;
      rules.claims_places = this->plan.claims;
      rules.learns_speed = this->plan.learns_speed;
      this->pools.emplace_back(rules, name_of(number),
                               availability_zone("z" + std::to_string(number % 4)));
      this->pools.back().set_servers(entries, timestamp{});
    }
  }

  load_result play() {
    constexpr duration patience = 20s;
    while (this->now < arrivals_end + patience) {
      this->share_places();
      this->arrive();
      this->wake();
      this->deliver_told();
      if (this->plan.unequal && this->now % tick_pause == 0ms) {
        this->tick();
      }
      this->repeat_claims();
      this->take_grants();
      for (auto& [id, server] : this->engines) {
        this->run(server);
        const bool in_burst = this->now >= this->plan.burst_from && this->now < this->plan.burst_to;
        this->result.worked_on += in_burst ? static_cast<double>(server.running.size()) : 0;
        this->result.workable += in_burst ? this->plan.slots : 0;
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
    const bool in_burst = this->now >= this->plan.burst_from && this->now < this->plan.burst_to;
    const double rate = in_burst ? this->plan.burst : this->plan.usual;
    for (const account_plan& account : this->plan.accounts) {
      const double surge = in_burst ? account.surge : 1;
      this->arrive(account, rate * account.part * surge);
    }
  }

  void arrive(const account_plan& account, double rate) {
    std::poisson_distribution<int> count(rate * step_ms / 1000);
    for (int left = count(this->random); left > 0; --left) {
      line first;
      first.program = static_cast<int>(this->programs.size());
      first.left = turns;
      first.prompt = {{prompt_part_key(1), token_count(shared_tokens)},
                      {this->next_part(), token_count(0)}};
      const std::size_t kind = this->programs.size() % this->plan.priorities.size();
      this->programs.push_back({this->now, 1, this->plan.priorities[kind], account.name});
      const program& item = this->programs.back();
      if (this->now >= this->plan.burst_from && this->now < this->plan.burst_to) {
        ++this->result.by_priority[item.priority].began;
        ++this->result.by_account[item.account].began;
      }
      if (this->now >= this->plan.burst_to) {
        ++this->result.by_priority_after[item.priority].began;
      }
      ++this->result.began;
      this->result.began_after += this->is_after() ? 1 : 0;
      this->sleepers.push_back({this->now, first});
    }
  }
  prompt_part_key next_part() { return prompt_part_key(++this->parts * 7919 + 1); }
  /// Begun when the backlog of the burst must be gone: 4 s x 60 programs of 12 turns came,
  /// of which the engines do 490 a second. 900 turns are left, for which there is room for
  /// 200 a second beside the usual 290: 4.5 s.
  [[nodiscard]] bool is_after() const { return this->now >= this->plan.burst_to + 5s; }

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
    turn item;
    item.from = std::move(from);
    // A program's callers keep to two hosts; helpers come by way of any.
    const int spread = item.from.is_helper ? this->plan.hosts : 2;
    item.host =
        (item.from.program + std::uniform_int_distribution<int>(0, spread - 1)(this->random)) %
        this->plan.hosts;
    placement_request& request = item.request;
    const program& owner = this->programs[item.from.program];
    request.id = placement_id(++this->calls);
    request.affinity = static_cast<std::uint64_t>(item.from.program) * 104'729 + 1;
    request.prompt = item.from.prompt;
    request.begun = item.from.left < turns || item.from.is_helper;
    request.priority = owner.priority;
    request.account = owner.account;
    request.wanted_by =
        this->plan.claims || this->plan.windows ? timestamp(this->due(owner)) : this->moment() + 3s;
    request.give_up_at = this->moment() + 20s;
    server_pool& pool = this->pools[item.host];
    if (this->plan.share) {
      this->ask(pool, request, name_of(item.host));
    }
    const int host = item.host;
    const turn& kept = this->turns_under_way.emplace(request.id, std::move(item)).first->second;
    if (!this->claim(kept)) {
      this->submit_to_pool(kept);
    }
    this->tell(host);
  }

  void submit_to_pool(const turn& item) {
    std::vector<placement> placed;
    const auto outcome = this->pools[item.host].submit(item.request, this->moment(), placed);
    this->send(placed);
    if (outcome == submit_outcome::refused) {
      this->refuse(item, {});
    }
  }

  /// Its caller comes again.
  void refuse(const turn& item, duration wait) {
    ++this->result.refused;
    line again = item.from;
    again.prompt.back().tokens = token_count(again.prompt.back().tokens.get() - new_tokens);
    this->result.unavoidable -= new_tokens;
    this->sleepers.push_back({this->now + wait + 250ms, std::move(again)});
  }

  [[nodiscard]] place_claim claim_of(const turn& item, const place_target& target) const {
    place_claim claim;
    claim.from = {name_of(item.host), item.request.id.get()};
    claim.server = target.key;
    claim.places = target.places;
    claim.targets = static_cast<std::uint32_t>(this->waiting.at(item.request.id).targets.size());
    claim.priority = item.request.priority;
    claim.begun = item.request.begun;
    claim.account = item.request.account;
    claim.wanted_in = item.request.wanted_by - this->moment();
    claim.given_up_in = item.request.give_up_at - this->moment();
    return claim;
  }

  /// False: the call is placed without claims.
  bool claim(const turn& item) {
    const auto targets = this->pools[item.host].claim_targets(item.request, this->moment());
    if (targets.empty()) {
      return false;
    }
    if (!targets.front().full) {
      this->place(item, targets.front().server);
      return true;
    }
    const placement_id id = item.request.id;
    this->waiting[id] = {targets, this->now + place_queue::repeat_interval};
    return this->claim_at(id);
  }

  /// Claims at all targets, for the first time or again.
  bool claim_at(placement_id id) {
    const turn& item = this->turns_under_way.at(id);
    const std::vector<place_target> targets = this->waiting.at(id).targets;
    std::map<claim_outcome, int> outcomes;
    duration wait{};
    for (const place_target& target : targets) {
      const claim_response answer =
          this->places->claim(this->claim_of(item, target), this->moment());
      ++outcomes[answer.outcome];
      wait = std::max(wait, answer.wait);
      if (answer.outcome == claim_outcome::granted) {
        this->take(id, target);
        return true;
      }
    }
    if (outcomes[claim_outcome::waiting] > 0) {
      return true;
    }
    this->waiting.erase(id);
    if (outcomes[claim_outcome::unknown] > 0) {
      return false;
    }
    this->refuse(item, wait);
    this->turns_under_way.erase(id);
    return true;
  }

  void take(placement_id id, const place_target& granted) {
    const turn& item = this->turns_under_way.at(id);
    for (const place_target& target : this->waiting.at(id).targets) {
      if (target.key != granted.key) {
        this->places->withdraw({name_of(item.host), id.get()}, target.key, this->moment());
      }
    }
    this->waiting.erase(id);
    this->place(item, granted.server);
  }

  void place(const turn& item, const backend_server_id& server) {
    if (const auto placed = this->pools[item.host].place_at(item.request, server, this->moment())) {
      this->send({*placed});
    }
    this->tell(item.host);
  }

  void take_grants() {
    this->places->sweep(this->moment());
    for (const place_grant& grant : this->places->take_grants()) {
      const placement_id id(grant.to.call);
      const auto found = this->waiting.find(id);
      if (found == this->waiting.end()) {
        this->places->withdraw(grant.to, grant.server, this->moment());
        continue;
      }
      for (const place_target& target : std::vector(found->second.targets)) {
        if (target.key == grant.server) {
          this->take(id, target);
        }
      }
    }
  }

  void repeat_claims() {
    std::vector<placement_id> due;
    for (auto& [id, item] : this->waiting) {
      if (item.repeat_at <= this->now) {
        item.repeat_at = this->now + place_queue::repeat_interval;
        due.push_back(id);
      }
    }
    for (const placement_id& id : due) {
      if (this->waiting.contains(id) && !this->claim_at(id)) {
        this->submit_to_pool(this->turns_under_way.at(id));
      }
    }
  }

  /// Hosts hear each other's demand without delay, which is better than they do.
  void share_places() {
    if (!this->plan.windows || this->now % 100ms != 0ms) {
      return;
    }
    double all = 0;
    for (const server_pool& pool : this->pools) {
      all += static_cast<double>(pool.demand());
    }
    for (server_pool& pool : this->pools) {
      service_load load;
      load.places = this->plan.servers * this->plan.slots;
      load.own_calls = static_cast<double>(pool.demand());
      load.other_calls = all - load.own_calls;
      this->send(pool.set_in_flight_limit(compute_in_flight_limit(load), this->moment()));
    }
  }

  [[nodiscard]] duration due(const program& item) const {
    const double ms = this->plan.slack * idle_turn_ms * turns + 250;
    return item.began + from_seconds(ms / 1000);
  }

  void ask(server_pool& pool, const placement_request& request, const host_id& asker) {
    const directory_request question = pool.directory_request_for(request, this->moment());
    for (const server_key& server : question.servers) {
      const auto calls = this->directory.load_of_others(server, asker, this->moment());
      const auto claims = static_cast<std::uint32_t>(this->places->waiting(server));
      pool.set_remote_load({server, calls + claims}, this->moment());
      if (const auto speed = this->directory.speed_of_others(server, asker, this->moment())) {
        pool.set_remote_speed(*speed, this->moment());
      }
    }
    for (const prompt_part_key& part : question.parts) {
      if (const auto location = this->directory.find(part)) {
        pool.add_prompt_location(*location);
      }
    }
  }

  void tell(int host) {
    directory_update update = this->pools[host].take_update();
    this->pools[host].add_speeds(update, this->moment());
    for (const part_location& location : update.locations) {
      this->directory.set_location(location);
    }
    this->told.push_back({this->now + this->plan.view_age, host, std::move(update)});
    this->deliver_told();
  }

  void deliver_told() {
    while (!this->told.empty() && this->told.front().arrives <= this->now) {
      const told_update item = std::move(this->told.front());
      this->told.pop_front();
      const host_id host = name_of(item.host);
      for (const server_load& load : item.update.loads) {
        const auto before = this->directory.set_load(host, load, this->moment());
        this->places->count_changed(host, load, before, this->moment());
      }
      for (const speed_report& speed : item.update.speeds) {
        this->directory.set_speed(host, speed, this->moment());
      }
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
    const bool in_time = this->now <= this->due(owner);
    this->result.in_time += in_time ? 1 : 0;
    const bool after = owner.began >= this->plan.burst_to;
    this->result.in_time_after += in_time && owner.began >= this->plan.burst_to + 5s ? 1 : 0;
    if (in_time && after) {
      ++this->result.by_priority_after[owner.priority].in_time;
    }
    if (in_time && !after && owner.began >= this->plan.burst_from) {
      ++this->result.by_priority[owner.priority].in_time;
      ++this->result.by_account[owner.account].in_time;
    }
  }

  load_plan plan;
  duration now{};
  std::deque<told_update> told;
  std::mt19937 random{this->plan.seed};
  std::map<backend_server_id, engine> engines;
  std::vector<server_pool> pools;
  placement_directory directory;
  std::unique_ptr<place_queue> places = std::make_unique<place_queue>(this->directory);
  std::map<placement_id, waiting_turn> waiting;
  std::vector<program> programs;
  std::vector<std::pair<duration, line>> sleepers;
  std::map<placement_id, turn> turns_under_way;
  std::uint64_t parts = 0;
  std::uint64_t calls = 0;
  load_result result;
};

}  // namespace hawthornlane::play
