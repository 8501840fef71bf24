// Finds a backend server for each call of a front host, now or after a wait.
#include "hawthornlane/front/call_placer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "hawthornlane/placement/in_flight_limit.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Part of a new count in the smoothed demand, each 100 ms: hosts hear each other's
/// demand about once a second, and single calls must not move the shares.
constexpr double newest_part = 0.3;

}  // namespace

/// A call that waits for a server.
struct placement_wait::waiter {
  explicit waiter(asio::io_context& context) : signal(context) {}
  net::async_signal signal;
  std::optional<placement> chosen;
  bool left = false;
};

void placement_wait::leave() {
  this->left = true;
  this->place.leave();
  if (this->waiting != nullptr) {
    this->waiting->left = true;
    this->waiting->signal.wake();
  }
}

call_placer::call_placer(asio::io_context& io, host_id name, availability_zone here,
                         discovery::fleet_state& state, call_metrics& counters, pool_rules with)
    : context(io),
      own(std::move(name)),
      zone(std::move(here)),
      fleet(state),
      metrics(counters),
      rules(with) {}

call_placer::~call_placer() = default;

call_placer::service_pool& call_placer::pool_of(const service_name& name) {
  const auto found = this->pools.find(name);
  if (found != this->pools.end()) {
    return found->second;
  }
  service_pool& item =
      this->pools.try_emplace(name, server_pool(this->rules, this->own, this->zone)).first->second;
  item.pool.set_servers(this->fleet.usable_backends(name), discovery::scheduler_now());
  return item;
}

void call_placer::deliver(const std::vector<placement>& placed) {
  for (const placement& item : placed) {
    const auto found = this->waiters.find(item.id);
    if (found == this->waiters.end()) {
      continue;
    }
    found->second->chosen = item;
    found->second->signal.wake();
  }
}

bool call_placer::lists_servers(const service_name& service) {
  return !this->pool_of(service).pool.listed().empty();
}

void call_placer::refresh_servers() {
  const route_table_ptr& table = this->fleet.table();
  for (const service_name& name : this->fleet.services_with_backends()) {
    // Entries may name services that there are not; they get no calls, and no memory here.
    if (table && table->find_service(name) != nullptr) {
      this->pool_of(name);
    }
  }
  for (auto& [name, item] : this->pools) {
    const std::vector<backend_entry> servers = this->fleet.usable_backends(name);
    this->deliver(item.pool.set_servers(servers, discovery::scheduler_now()));
  }
}

void call_placer::tick() {
  const timestamp now = discovery::scheduler_now();
  for (auto& [name, item] : this->pools) {
    if (item.pool.flush_ended_calls(now)) {
      this->tell_changes(item.pool);
    }
    if (item.pool.waiting() == 0) {
      continue;
    }
    this->deliver(item.pool.tick(now));
    for (const placement_id& id : item.pool.expire(now)) {
      const auto found = this->waiters.find(id);
      if (found != this->waiters.end()) {
        found->second->signal.wake();
      }
    }
  }
}

void call_placer::log_set_aside(const service_name& name, service_pool& item, timestamp now) {
  std::set<backend_server_id> aside = item.pool.unhealthy(now);
  if (aside == item.unhealthy) {
    return;
  }
  for (const backend_server_id& id : aside) {
    if (!item.unhealthy.contains(id)) {
      log(event::backend_set_aside, {{"server", id.get()}, {"service", name.get()}});
    }
  }
  for (const backend_server_id& id : item.unhealthy) {
    if (!aside.contains(id)) {
      log(event::backend_trusted, {{"server", id.get()}, {"service", name.get()}});
    }
  }
  item.unhealthy = std::move(aside);
}

std::vector<service_demand> call_placer::demand() const {
  std::vector<service_demand> all;
  for (const auto& [name, item] : this->pools) {
    const auto calls = static_cast<std::uint32_t>(std::lround(item.demand));
    if (calls > 0) {
      all.push_back({name, calls});
    }
  }
  return all;
}

void call_placer::apply_directory_response(const directory_response& answer) {
  const timestamp now = discovery::scheduler_now();
  for (auto& [name, item] : this->pools) {
    for (const server_load& load : answer.loads) {
      item.pool.set_remote_load(load, now);
    }
    for (const part_location& location : answer.locations) {
      item.pool.add_prompt_location(location);
    }
    for (const speed_report& speed : answer.speeds) {
      item.pool.set_remote_speed(speed, now);
    }
  }
}

void call_placer::report_loads() {
  directory_update update;
  for (auto& [name, item] : this->pools) {
    this->show_speeds(name, item);
    const std::vector<server_load> loads = item.pool.own_loads();
    update.loads.insert(update.loads.end(), loads.begin(), loads.end());
  }
  if (this->exchange != nullptr && !update.empty()) {
    this->exchange->tell(update);
  }
}

void call_placer::set_speed_gauges(const service_name& name, double fastest, double slowest) {
  this->metrics.set(fmt::format("fastest_server_factor_{}", name.get()), fastest);
  this->metrics.set(fmt::format("slowest_server_factor_{}", name.get()), slowest);
}

void call_placer::show_speeds(const service_name& name, service_pool& item) {
  // A server is called slow from here on, and until it is nearly as others again.
  constexpr double slow_from = 1.5;
  constexpr double slow_until = 1.25;
  // Lines a service in one look, once a second.
  constexpr std::size_t most_lines = 4;
  const std::vector<server_slowdown> slowdowns = item.pool.slowdowns(discovery::scheduler_now());
  if (slowdowns.empty()) {
    if (item.shows_speeds) {
      this->set_speed_gauges(name, 1, 1);
      item.slow.clear();
      item.shows_speeds = false;
    }
    return;
  }
  item.shows_speeds = true;
  const auto by_factor = [](const server_slowdown& a, const server_slowdown& b) {
    return a.factor < b.factor;
  };
  const auto [fastest, slowest] =
      std::minmax_element(slowdowns.begin(), slowdowns.end(), by_factor);
  this->set_speed_gauges(name, fastest->factor, slowest->factor);
  std::set<backend_server_id> still_slow;
  std::size_t lines = 0;
  for (const server_slowdown& pace : slowdowns) {
    const bool was_slow = item.slow.contains(pace.id);
    const bool turned_slow = !was_slow && pace.factor >= slow_from && lines < most_lines;
    if (turned_slow) {
      ++lines;
      log(event::backend_slow, {{"server", pace.id.get()},
                                {"service", name.get()},
                                {"factor", fmt::format("{:.2f}", pace.factor)},
                                {"weight", fmt::format("{:.0f}", pace.weight)}});
    }
    if (turned_slow || (was_slow && pace.factor >= slow_until)) {
      still_slow.insert(pace.id);
    }
  }
  item.slow = std::move(still_slow);
}

void call_placer::tell_changes(server_pool& pool) {
  directory_update update = pool.take_update();
  pool.add_speeds(update, discovery::scheduler_now());
  if (this->exchange != nullptr && !update.empty()) {
    this->exchange->tell(update);
  }
}

asio::awaitable<void> call_placer::ask_others(const server_pool& pool,
                                              const placement_request& request) {
  if (this->exchange == nullptr) {
    co_return;
  }
  const directory_request question =
      pool.directory_request_for(request, discovery::scheduler_now());
  if (!question.empty()) {
    co_await this->exchange->ask(question);
  }
}

asio::awaitable<bool> call_placer::claim(server_pool& pool, const placement_request& request,
                                         placement_wait& wait, acquired_server& got) {
  if (this->places == nullptr) {
    co_return false;
  }
  std::vector<place_target> targets = pool.claim_targets(request, discovery::scheduler_now());
  if (targets.empty()) {
    co_return false;
  }
  backend_server_id server = targets.front().server;
  std::optional<server_key> granted;
  if (targets.front().full) {
    const auto began = steady::now();
    const claim_result result =
        co_await this->places->claim(request, std::move(targets), wait.place);
    got.waited = std::chrono::duration_cast<duration>(steady::now() - began);
    got.caller_left = result.outcome == claim_result::kind::caller_left;
    got.retry_in = result.wait;
    if (result.outcome != claim_result::kind::granted) {
      co_return result.outcome != claim_result::kind::unknown;
    }
    server = result.server;
    granted = result.key;
  }
  const auto placed = pool.place_at(request, server, discovery::scheduler_now());
  if (!placed) {
    if (granted) {
      this->places->give_back(request.id, *granted);
    }
    co_return false;
  }
  got.server = placed->server;
  got.basis = placed->basis;
  this->tell_changes(pool);
  co_return true;
}

void call_placer::apply_demand(const std::vector<service_demand>& others) {
  const timestamp now = discovery::scheduler_now();
  for (auto& [name, item] : this->pools) {
    this->deliver(item.pool.tick(now));
    this->log_set_aside(name, item, now);
    this->share_places(name, item, others, now);
  }
}

void call_placer::share_places(const service_name& name, service_pool& item,
                               const std::vector<service_demand>& others, timestamp now) {
  item.demand += newest_part * (static_cast<double>(item.pool.demand()) - item.demand);
  service_load load;
  load.places = item.pool.healthy_places(now);
  load.own_calls = item.demand;
  for (const service_demand& other : others) {
    load.other_calls += other.service == name ? other.calls : 0;
  }
  const double calls = load.own_calls + load.other_calls;
  item.pool.set_utilization(load.places > 0 ? calls / load.places : 0);
  const std::optional<std::uint32_t> window = compute_in_flight_limit(load);
  if (window.has_value() != item.scarce) {
    item.scarce = window.has_value();
    log(event::places_shared, {{"service", name.get()},
                               {"shared", item.scarce ? "yes" : "no"},
                               {"places", fmt::format("{:.0f}", load.places)},
                               {"own_calls", fmt::format("{:.0f}", load.own_calls)},
                               {"other_calls", fmt::format("{:.0f}", load.other_calls)},
                               {"demands_heard", std::to_string(others.size())}});
  }
  this->deliver(item.pool.set_in_flight_limit(window, now));
}

asio::awaitable<acquired_server> call_placer::acquire(const service_name& service,
                                                      placement_request request,
                                                      placement_wait& wait) {
  acquired_server got;
  this->last_placement = this->last_placement.next();
  got.id = this->last_placement;
  request.id = got.id;
  server_pool& pool = this->pool_of(service).pool;
  co_await this->ask_others(pool, request);
  if (wait.left) {
    got.caller_left = true;
    co_return got;
  }
  const bool claimed = co_await this->claim(pool, request, wait, got);
  if (claimed) {
    co_return got;
  }
  std::vector<placement> placed;
  const submit_outcome outcome = pool.submit(request, discovery::scheduler_now(), placed);
  if (outcome == submit_outcome::refused) {
    co_return got;
  }
  if (outcome == submit_outcome::placed) {
    got.server = placed.front().server;
    got.basis = placed.front().basis;
    this->tell_changes(pool);
    co_return got;
  }
  const auto began = steady::now();
  placement_wait::waiter waiting(this->context);
  this->waiters.emplace(got.id, &waiting);
  wait.waiting = &waiting;
  co_await waiting.signal.wait();
  wait.waiting = nullptr;
  this->waiters.erase(got.id);
  const auto queued = std::chrono::duration_cast<duration>(steady::now() - began);
  got.waited += queued;
  this->metrics.record("queue_wait", queued);
  got.caller_left = waiting.left;
  if (waiting.left) {
    pool.cancel(got.id);
    this->finished(service, got.id, server_outcome::caller_left);
    co_return got;
  }
  if (waiting.chosen) {
    got.server = waiting.chosen->server;
    got.basis = waiting.chosen->basis;
  }
  co_return got;
}

void call_placer::finished(const service_name& service, placement_id id, server_outcome outcome) {
  server_pool& pool = this->pool_of(service).pool;
  this->deliver(pool.finished(id, outcome, discovery::scheduler_now()));
  this->tell_changes(pool);
}

void call_placer::started(const service_name& service, placement_id id) {
  this->pool_of(service).pool.started(id, discovery::scheduler_now());
}

}  // namespace hawthornlane::front
