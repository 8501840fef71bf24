// Finds a backend server for each call of a front host, at once or after queueing.
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

/// Weight of a new sample in the smoothed demand, which is taken every 100 ms. Hosts exchange
/// their demand about once a second, and a single call must not change the shares.
constexpr double demand_sample_weight = 0.3;

}  // namespace

/// A call that waits for a server.
struct server_wait::waiter {
  explicit waiter(asio::io_context& context) : signal(context) {}
  net::async_signal signal;
  std::optional<placement> chosen;
  bool left = false;
};

void server_wait::cancel() {
  this->left = true;
  this->place.cancel();
  if (this->waiting != nullptr) {
    this->waiting->left = true;
    this->waiting->signal.wake();
  }
}

call_placer::call_placer(asio::io_context& io, host_id name, availability_zone own_zone,
                         discovery::fleet_state& state, call_metrics& counters,
                         pool_rules given_rules)
    : context(io),
      own_host(std::move(name)),
      zone(std::move(own_zone)),
      fleet(state),
      metrics(counters),
      rules(given_rules) {}

call_placer::~call_placer() = default;

call_placer::service_pool& call_placer::pool_of(const service_name& name) {
  const auto found = this->pools.find(name);
  if (found != this->pools.end()) {
    return found->second;
  }
  service_pool& item =
      this->pools.try_emplace(name, server_pool(this->rules, this->own_host, this->zone))
          .first->second;
  item.pool.set_servers(this->fleet.usable_backends(name), discovery::scheduler_now());
  return item;
}

std::optional<software_version> call_placer::only_listed_version(const service_name& service) {
  const auto& versions = this->pool_of(service).pool.listed_versions();
  return versions.size() == 1 ? std::optional(versions.begin()->first) : std::nullopt;
}

bool call_placer::lists_version(const service_name& service, const software_version& version) {
  return this->pool_of(service).pool.listed_versions().contains(version);
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

bool call_placer::has_listed_servers(const service_name& service) {
  return !this->pool_of(service).pool.listed().empty();
}

void call_placer::refresh_servers() {
  const route_table_ptr& table = this->fleet.table();
  for (const service_name& name : this->fleet.services_with_backends()) {
    // Entries may name services that do not exist. These get no calls, so keep no pool for them.
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
      this->report_changes(item.pool);
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

void call_placer::log_unhealthy(const service_name& name, service_pool& item, timestamp now) {
  std::set<backend_server_id> now_unhealthy = item.pool.unhealthy(now);
  if (now_unhealthy == item.unhealthy) {
    return;
  }
  for (const backend_server_id& id : now_unhealthy) {
    if (!item.unhealthy.contains(id)) {
      log(event::backend_set_aside, {{"server", id.get()}, {"service", name.get()}});
    }
  }
  for (const backend_server_id& id : item.unhealthy) {
    if (!now_unhealthy.contains(id)) {
      log(event::backend_trusted, {{"server", id.get()}, {"service", name.get()}});
    }
  }
  item.unhealthy = std::move(now_unhealthy);
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
    this->export_speeds(name, item);
    const std::vector<server_load> loads = item.pool.own_loads();
    update.loads.insert(update.loads.end(), loads.begin(), loads.end());
  }
  if (this->exchange != nullptr && !update.empty()) {
    this->exchange->report(update);
  }
}

void call_placer::set_speed_gauges(const service_name& name, double fastest, double slowest) {
  this->metrics.set(fmt::format("fastest_server_factor_{}", name.get()), fastest);
  this->metrics.set(fmt::format("slowest_server_factor_{}", name.get()), slowest);
}

void call_placer::export_speeds(const service_name& name, service_pool& item) {
  // Hysteresis: slow from `slow_from` on, and until the factor drops below `slow_until`.
  constexpr double slow_from = 1.5;
  constexpr double slow_until = 1.25;
  // Log lines per service and call of this function, which is called once a second.
  constexpr std::size_t max_log_lines = 4;
  const std::vector<server_slowdown> slowdowns = item.pool.slowdowns(discovery::scheduler_now());
  if (slowdowns.empty()) {
    if (item.exports_speeds) {
      this->set_speed_gauges(name, 1, 1);
      item.slow.clear();
      item.exports_speeds = false;
    }
    return;
  }
  item.exports_speeds = true;
  const auto by_factor = [](const server_slowdown& a, const server_slowdown& b) {
    return a.factor < b.factor;
  };
  const auto [fastest, slowest] =
      std::minmax_element(slowdowns.begin(), slowdowns.end(), by_factor);
  this->set_speed_gauges(name, fastest->factor, slowest->factor);
  std::set<backend_server_id> still_slow;
  std::size_t lines = 0;
  for (const server_slowdown& slowdown : slowdowns) {
    const bool was_slow = item.slow.contains(slowdown.id);
    const bool turned_slow = !was_slow && slowdown.factor >= slow_from && lines < max_log_lines;
    if (turned_slow) {
      ++lines;
      log(event::backend_slow, {{"server", slowdown.id.get()},
                                {"service", name.get()},
                                {"factor", fmt::format("{:.2f}", slowdown.factor)},
                                {"weight", fmt::format("{:.0f}", slowdown.weight)}});
    }
    if (turned_slow || (was_slow && slowdown.factor >= slow_until)) {
      still_slow.insert(slowdown.id);
    }
  }
  item.slow = std::move(still_slow);
}

void call_placer::report_changes(server_pool& pool) {
  directory_update update = pool.take_update();
  pool.add_speeds(update, discovery::scheduler_now());
  if (this->exchange != nullptr && !update.empty()) {
    this->exchange->report(update);
  }
}

asio::awaitable<void> call_placer::query_directory(const server_pool& pool,
                                                   const placement_request& request) {
  if (this->exchange == nullptr) {
    co_return;
  }
  const directory_request lookup = pool.directory_request_for(request, discovery::scheduler_now());
  if (!lookup.empty()) {
    co_await this->exchange->query(lookup);
  }
}

asio::awaitable<bool> call_placer::claim(server_pool& pool, const placement_request& request,
                                         server_wait& wait, acquired_server& acquired) {
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
    acquired.waited = std::chrono::duration_cast<duration>(steady::now() - began);
    acquired.caller_left = result.outcome == claim_result::kind::caller_left;
    acquired.retry_in = result.wait;
    if (result.outcome != claim_result::kind::granted) {
      co_return result.outcome != claim_result::kind::unknown;
    }
    server = result.server;
    granted = result.key;
  }
  const auto placed = pool.place_at(request, server, discovery::scheduler_now());
  if (!placed) {
    if (granted) {
      this->places->return_place(request.id, *granted);
    }
    co_return false;
  }
  acquired.server = placed->server;
  acquired.basis = placed->basis;
  this->report_changes(pool);
  co_return true;
}

void call_placer::apply_demand(const std::vector<service_demand>& others) {
  const timestamp now = discovery::scheduler_now();
  for (auto& [name, item] : this->pools) {
    this->deliver(item.pool.tick(now));
    this->log_unhealthy(name, item, now);
    this->share_places(name, item, others, now);
  }
}

void call_placer::share_places(const service_name& name, service_pool& item,
                               const std::vector<service_demand>& others, timestamp now) {
  item.demand += demand_sample_weight * (static_cast<double>(item.pool.demand()) - item.demand);
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
                                                      server_wait& wait) {
  acquired_server acquired;
  this->last_placement = this->last_placement.next();
  acquired.id = this->last_placement;
  request.id = acquired.id;
  server_pool& pool = this->pool_of(service).pool;
  co_await this->query_directory(pool, request);
  if (wait.left) {
    acquired.caller_left = true;
    co_return acquired;
  }
  const bool claimed = co_await this->claim(pool, request, wait, acquired);
  if (claimed) {
    co_return acquired;
  }
  std::vector<placement> placed;
  const submit_outcome outcome = pool.submit(request, discovery::scheduler_now(), placed);
  if (outcome == submit_outcome::refused) {
    co_return acquired;
  }
  if (outcome == submit_outcome::placed) {
    acquired.server = placed.front().server;
    acquired.basis = placed.front().basis;
    this->report_changes(pool);
    co_return acquired;
  }
  const auto began = steady::now();
  server_wait::waiter waiting(this->context);
  this->waiters.emplace(acquired.id, &waiting);
  wait.waiting = &waiting;
  co_await waiting.signal.wait();
  wait.waiting = nullptr;
  this->waiters.erase(acquired.id);
  const auto queued = std::chrono::duration_cast<duration>(steady::now() - began);
  acquired.waited += queued;
  this->metrics.record("queue_wait", queued);
  acquired.caller_left = waiting.left;
  if (waiting.left) {
    pool.cancel(acquired.id);
    this->finished(service, acquired.id, server_outcome::caller_left);
    co_return acquired;
  }
  if (waiting.chosen) {
    acquired.server = waiting.chosen->server;
    acquired.basis = waiting.chosen->basis;
  }
  co_return acquired;
}

void call_placer::finished(const service_name& service, placement_id id, server_outcome outcome) {
  server_pool& pool = this->pool_of(service).pool;
  this->deliver(pool.finished(id, outcome, discovery::scheduler_now()));
  this->report_changes(pool);
}

void call_placer::started(const service_name& service, placement_id id) {
  this->pool_of(service).pool.started(id, discovery::scheduler_now());
}

}  // namespace hawthornlane::front
