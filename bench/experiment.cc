// Event loop of one run.
#include "experiment.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "engine_model.h"

namespace hawthornlane::bench {
namespace {

constexpr double report_period = 0.5;
constexpr double late_report = 2.0;
constexpr double tick_period = 1.0;
constexpr double fault_from = 0.4;
constexpr double fault_until = 0.7;
/// A caller whose call is lost sends it again after this long.
constexpr double lost_call_wait = 1.0;
/// Timeout of a call at a hung server if the policy does not detect the failure.
constexpr double call_timeout = 60.0;

struct live_program {
  const program_shape* shape = nullptr;
  std::size_t turn = 0;
  std::int64_t history = 0;
  double attained = 0;
  double latency = 0;
};

struct live_call {
  std::uint64_t program = 0;
  std::int64_t prompt = 0;
  std::int64_t history = 0;
  std::int64_t answer = 0;
  double asked = 0;
  double sent = 0;
  double first = 0;
  std::size_t server = 0;
  bool at_server = false;
};

class simulation {
public:
  explicit simulation(const run_parameters& with)
      : parameters(with),
        programs(make_programs(with.workload)),
        compared_policy(make_policy(with.policy, with.workload.servers)) {
    for (std::size_t server = 0; server < with.workload.servers; ++server) {
      this->engines.push_back(std::make_unique<engine_model>(engine_parameters{}));
    }
    this->stepping.assign(with.workload.servers, false);
    this->available.assign(with.workload.servers, true);
  }

  run_figures run() {
    for (std::size_t number = 0; number < this->programs.size(); ++number) {
      this->at(this->programs[number].arrival, [this, number] { this->begin(number); });
    }
    this->at(report_period, [this] { this->report(); });
    this->at(tick_period, [this] { this->tick(); });
    this->plan_fault();
    // All programs are served to their end, at most for this virtual time.
    const double longest = this->parameters.workload.seconds * 6;
    while (!this->events.empty() && this->finished < this->programs.size()) {
      const event next = this->events.top();
      this->events.pop();
      this->now = next.when;
      if (this->now > longest) {
        break;
      }
      next.act();
    }
    return this->figures();
  }

private:
  struct event {
    double when = 0;
    std::uint64_t order = 0;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return this->when != other.when ? this->when > other.when : this->order > other.order;
    }
  };

  void at(double when, std::function<void()> act) {
    this->events.push({when, this->next_order++, std::move(act)});
  }

  void begin(std::uint64_t number) {
    live_program program;
    program.shape = &this->programs[number];
    this->live[number] = program;
    this->ask(number);
  }

  void ask(std::uint64_t number) {
    live_program& program = this->live.at(number);
    const turn_shape& turn = program.shape->turns[program.turn];
    live_call call;
    call.program = number;
    call.history = program.history;
    call.prompt = program.history + turn.new_tokens;
    call.answer = turn.answer;
    call.asked = this->now;
    const std::uint64_t id = this->next_call++;
    this->calls[id] = call;
    this->submit_call(id);
  }

  void submit_call(std::uint64_t id) {
    const live_call& call = this->calls.at(id);
    const live_program& program = this->live.at(call.program);
    bench_call seen{id,           call.program,     program.shape->account, call.prompt,
                    call.history, program.attained, program.shape->arrival, this->now};
    this->decide([&] { return this->compared_policy->submit(seen); });
  }

  template <class Ask>
  void decide(Ask ask) {
    const auto began = std::chrono::steady_clock::now();
    const std::vector<bench_decision> decisions = ask();
    this->decision_time += std::chrono::steady_clock::now() - began;
    ++this->decision_count;
    for (const bench_decision& decision : decisions) {
      this->send(decision);
    }
  }

  void send(const bench_decision& decision) {
    live_call& call = this->calls.at(decision.id);
    call.sent = this->now;
    call.server = decision.server;
    call.at_server = true;
    if (!this->available[decision.server]) {
      // The connection is refused.
      const std::uint64_t id = decision.id;
      this->at(this->now + 0.01, [this, id] { this->resend_lost_call(id); });
      return;
    }
    this->engines[decision.server]->submit(
        {decision.id, call.program, call.prompt, call.history, call.answer});
    const std::uint64_t id = decision.id;
    const double sent = this->now;
    if (this->parameters.with == fault::hung_server) {
      this->at(this->now + call_timeout, [this, id, sent] {
        const auto found = this->calls.find(id);
        const bool stuck = found != this->calls.end() && found->second.at_server &&
                           found->second.sent == sent && found->second.first == 0;
        if (stuck) {
          this->engines[found->second.server]->cancel(id);
          this->resend_lost_call(id);
        }
      });
    }
    this->wake(decision.server);
  }

  void wake(std::size_t server) {
    if (this->stepping[server]) {
      return;
    }
    this->stepping[server] = true;
    this->step(server);
  }

  void step(std::size_t server) {
    std::vector<engine_event> happened;
    const double took = this->engines[server]->step(happened);
    if (took <= 0) {
      this->stepping[server] = false;
      return;
    }
    this->at(this->now + took, [this, server, happened] {
      for (const engine_event& item : happened) {
        this->take(item);
      }
      this->step(server);
    });
  }

  void take(const engine_event& item) {
    const auto found = this->calls.find(item.id);
    if (found == this->calls.end()) {
      return;
    }
    live_call& call = found->second;
    if (item.what == engine_event::kind::first_token) {
      call.first = this->now;
      this->compared_policy->first_token(item.id);
      return;
    }
    const live_call ended = call;
    this->calls.erase(found);
    this->reprefilled += static_cast<double>(item.reprefilled);
    bench_outcome outcome{
        item.id, item.prefilled, ended.answer, ended.first - ended.sent, this->now - ended.sent,
        false};
    this->decide([&] { return this->compared_policy->finished(outcome, this->now); });
    this->end_turn(ended);
  }

  void end_turn(const live_call& call) {
    live_program& program = this->live.at(call.program);
    program.latency += this->now - call.asked;
    program.attained += this->now - call.sent;
    program.history = call.prompt + call.answer;
    const double pause = program.shape->turns[program.turn].pause;
    ++program.turn;
    const std::uint64_t number = call.program;
    if (program.turn < program.shape->turns.size()) {
      this->at(this->now + pause, [this, number] { this->ask(number); });
      return;
    }
    ++this->finished;
    this->latencies.push_back({program.latency, program.shape->account, program.shape->deadline});
    this->ended.insert(number);
    for (const std::size_t server : this->compared_policy->ended(number)) {
      this->engines[server]->release(number);
    }
    this->live.erase(number);
  }

  /// The call's server has failed or did not answer: the caller sends the call again.
  void resend_lost_call(std::uint64_t id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    bench_outcome outcome;
    outcome.id = id;
    outcome.failed = true;
    live_call call = found->second;
    this->calls.erase(found);
    this->decide([&] { return this->compared_policy->finished(outcome, this->now); });
    call.at_server = false;
    call.first = 0;
    const std::uint64_t again = this->next_call++;
    this->calls[again] = call;
    this->at(this->now + lost_call_wait, [this, again] { this->submit_call(again); });
  }

  void tick() {
    this->decide([&] { return this->compared_policy->tick(this->now); });
    for (const std::uint64_t id : this->compared_policy->take_given_up()) {
      const auto found = this->calls.find(id);
      if (found != this->calls.end()) {
        this->engines[found->second.server]->cancel(id);
        this->resend_lost_call(id);
      }
    }
    for (const auto& engine : this->engines) {
      for (const auto& prefix : engine->cache()) {
        if (this->ended.contains(prefix.program)) {
          this->dead_held += static_cast<double>(prefix.tokens) * tick_period;
        }
      }
    }
    this->at(this->now + tick_period, [this] { this->tick(); });
  }

  void report() {
    const double lag = this->parameters.with == fault::late_reports ? late_report : report_period;
    for (std::size_t server = 0; server < this->engines.size(); ++server) {
      const std::size_t load = this->engines[server]->load();
      this->at(this->now + lag,
               [this, server, load] { this->compared_policy->report(server, load); });
    }
    this->at(this->now + report_period, [this] { this->report(); });
  }

  void plan_fault() {
    const double from = this->parameters.workload.seconds * fault_from;
    const double until = this->parameters.workload.seconds * fault_until;
    switch (this->parameters.with) {
      case fault::none:
      case fault::late_reports:
        break;
      case fault::slow_server:
        this->at(from, [this] { this->engines[0]->set_slowdown(3); });
        this->at(until, [this] { this->engines[0]->set_slowdown(1); });
        break;
      case fault::hung_server:
        this->at(from, [this] { this->engines[0]->set_hung(true); });
        this->at(until, [this] {
          this->engines[0]->set_hung(false);
          this->wake(0);
        });
        break;
      case fault::zone_lost:
        this->at(from, [this] { this->set_zone(false); });
        this->at(until, [this] { this->set_zone(true); });
        break;
      case fault::restart:
        this->at(from, [this] { this->compared_policy->restart(); });
        break;
    }
  }

  void set_zone(bool there) {
    constexpr std::size_t zones = 3;
    // The list of live servers is updated this many seconds after a change.
    constexpr double list_lag = 5;
    for (std::size_t server = 0; server < this->engines.size(); server += zones) {
      this->available[server] = there;
      if (!there) {
        for (const engine_call& call : this->engines[server]->crash()) {
          const std::uint64_t id = call.id;
          this->at(this->now + 0.01, [this, id] { this->resend_lost_call(id); });
        }
      }
      this->at(this->now + list_lag, [this, server, there] {
        this->compared_policy->server_listed(server, there, this->now);
        this->decide([&] { return this->compared_policy->tick(this->now); });
      });
    }
  }

  run_figures figures() const {
    struct sums {
      double total = 0;
      double count = 0;
    };
    run_figures out;
    std::vector<double> sorted;
    std::array<sums, account_count> accounts{};
    double hits = 0;
    for (const auto& item : this->latencies) {
      sorted.push_back(item.seconds);
      accounts.at(item.account).total += item.seconds;
      accounts.at(item.account).count += 1;
      hits += item.deadline == 0 || item.seconds <= item.deadline ? 1 : 0;
    }
    std::sort(sorted.begin(), sorted.end());
    out.programs = sorted.size();
    if (sorted.empty()) {
      return out;
    }
    const auto rank = [&sorted](double share) {
      return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    };
    sums all;
    sums quiet;
    double worst = 0;
    double best = 1e18;
    for (std::size_t account = 0; account < accounts.size(); ++account) {
      all.total += accounts.at(account).total;
      all.count += accounts.at(account).count;
      if (account == 0 || accounts.at(account).count == 0) {
        continue;
      }
      quiet.total += accounts.at(account).total;
      quiet.count += accounts.at(account).count;
      const double mean = accounts.at(account).total / accounts.at(account).count;
      worst = std::max(worst, mean);
      best = std::min(best, mean);
    }
    out.mean = all.total / all.count;
    out.quiet_mean = quiet.total / std::max(1.0, quiet.count);
    out.p50 = rank(0.50);
    out.p95 = rank(0.95);
    out.p99 = rank(0.99);
    out.deadline_hits = hits / static_cast<double>(sorted.size());
    out.reprefilled_million = this->reprefilled / 1e6;
    out.dead_held_million = this->dead_held / 1e6;
    out.account_spread = worst / best;
    out.decisions_per_second = static_cast<double>(this->decision_count) /
                               std::chrono::duration<double>(this->decision_time).count();
    return out;
  }

  struct latency {
    double seconds = 0;
    std::uint32_t account = 0;
    double deadline = 0;
  };

  run_parameters parameters;
  std::vector<program_shape> programs;
  std::unique_ptr<policy> compared_policy;
  std::vector<std::unique_ptr<engine_model>> engines;
  std::vector<bool> stepping;
  std::vector<bool> available;
  std::priority_queue<event> events;
  std::uint64_t next_order = 0;
  std::uint64_t next_call = 1;
  double now = 0;
  std::map<std::uint64_t, live_program> live;
  std::map<std::uint64_t, live_call> calls;
  std::set<std::uint64_t> ended;
  std::vector<latency> latencies;
  std::size_t finished = 0;
  double reprefilled = 0;
  double dead_held = 0;
  std::uint64_t decision_count = 0;
  std::chrono::steady_clock::duration decision_time{};
};

}  // namespace

std::string fault_name(fault with) {
  static const std::array<const char*, 6> names{"none",      "slow server",  "hung server",
                                                "zone lost", "late reports", "host restart"};
  return names.at(static_cast<std::size_t>(with));
}

run_figures run(const run_parameters& parameters) { return simulation(parameters).run(); }

}  // namespace hawthornlane::bench
