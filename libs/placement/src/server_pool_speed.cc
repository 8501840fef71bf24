// Learns and reports the speeds of a pool's servers, and uses them to place calls without a prompt.
#include <algorithm>
#include <bit>
#include <cmath>

#include "hawthornlane/placement/rendezvous.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane {
namespace {

/// Utilization (calls per slot) from which hosts report the ends of calls without a prompt, and
/// with them speed estimates. Below it a call finds a free slot at nearly every server.
constexpr double report_ends_from = 0.25;
/// Utilization from which hosts also report the starts of such calls. It is below
/// `request_loads_from`, so that counts are known when hosts start to request them.
constexpr double report_starts_from = 0.45;
/// Utilization from which hosts request loads before they place such a call: a server chosen by
/// hash is then full for one call in ten.
constexpr double request_loads_from = 0.5;
/// The reported load of such calls decays by a factor of e in this time towards the mean of all
/// servers: hosts that trusted the same old counts would all choose the same servers.
constexpr double promptless_decay_seconds = 0.1;
/// A load that was received less than this long ago is not requested again for calls without a
/// prompt: they take 50 to 200 ms.
constexpr duration fresh_promptless_load = std::chrono::milliseconds(100);
/// Ends are collected into a batch for this long, a fraction of the time of even short calls.
constexpr duration batch_time = std::chrono::milliseconds(50);
/// Exponent of a server's slowdown in the cost of a call. It is below 1 because slow servers are
/// also chosen as candidates less often.
constexpr double slowdown_exponent = 0.5;
/// Number of candidates for a call without a prompt.
constexpr std::size_t promptless_candidates = 3;
/// Calls with fewer tokens to read than this are of one kind; each doubling is a further kind.
constexpr std::uint64_t read_unit_tokens = 128;
constexpr duration factor_update_interval = std::chrono::seconds(1);
/// Estimates of less weight are not shown to operators: they are mostly the prior.
constexpr double min_shown_weight = 1;

/// Weighted rendezvous hashing: selects the server with the lowest -log(u) * slowdown, where u in
/// (0, 1] is a hash of its name and `key`. Each server is selected in proportion to its speed.
template <class Server>
class speed_weighted_choice {
public:
  explicit speed_weighted_choice(std::uint64_t new_key) : key(new_key) {}

  void offer(const Server& server, double slowdown) {
    constexpr double step = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
    const std::uint64_t hash = rendezvous_weight(server.name_hash, this->key);
    const double number = static_cast<double>((hash >> 11U) + 1) * step;
    // 1 - u is a lower bound of -log(u), so most logarithms need not be computed.
    if (this->first != nullptr && (1 - number) * slowdown >= this->lowest) {
      return;
    }
    const double order = -std::log(number) * slowdown;
    if (this->first == nullptr || order < this->lowest) {
      this->first = &server;
      this->lowest = order;
    }
  }
  /// Null if no server was offered.
  [[nodiscard]] const Server* get() const { return this->first; }

private:
  std::uint64_t key;
  const Server* first = nullptr;
  double lowest = 0;
};

}  // namespace

void server_pool::mark_reported(running_call& call, const server_state& server) {
  if (!this->rules.learns_speed || this->utilization < report_ends_from) {
    return;
  }
  call.is_reported = true;
  call.has_batched_end = true;
  if (this->utilization >= report_starts_from) {
    this->unreported_loads.insert(server.key);
  }
}

std::uint32_t server_pool::reported_calls(const server_state& server) const {
  return this->rules.learns_speed ? server.shared : server.in_flight;
}

directory_request server_pool::promptless_directory_request(const placement_request& request,
                                                            timestamp now) const {
  directory_request lookup;
  if (!this->rules.learns_speed || this->utilization < request_loads_from) {
    return lookup;
  }
  for (const listed_server* item : this->candidates_by_speed(request, choice_scope::healthy, now)) {
    if (now - item->server->remote_calls_at > fresh_promptless_load) {
      lookup.servers.push_back(item->server->key);
    }
  }
  return lookup;
}

std::vector<const server_pool::listed_server*> server_pool::candidates_by_speed(
    const placement_request& request, choice_scope scope, timestamp now) const {
  const std::uint64_t call_key = this->host_seed + request.id.get();
  speed_weighted_choice<listed_server> zone_affinity(request.affinity);
  speed_weighted_choice<listed_server> other_zone_affinity(request.affinity);
  speed_weighted_choice<listed_server> of_zone(call_key);
  speed_weighted_choice<listed_server> of_all(~call_key);
  speed_weighted_choice<listed_server> second_of_all(call_key << 1U);
  for (const listed_server& item : this->listed_servers) {
    const server_state& server = *item.server;
    if (!this->may_take(server, scope, now) || !suits(server, request)) {
      continue;
    }
    if (request.affinity != 0) {
      (item.same_zone ? zone_affinity : other_zone_affinity).offer(item, server.slow_factor);
    }
    // This host's own calls are always known, even if no count of other hosts has been received.
    const double own_load = 1.0 + server.in_flight;
    const double slowdown = server.slow_factor * own_load * own_load;
    of_all.offer(item, slowdown);
    second_of_all.offer(item, slowdown);
    if (item.same_zone) {
      of_zone.offer(item, slowdown);
    }
  }
  const listed_server* affinity_server =
      zone_affinity.get() != nullptr ? zone_affinity.get() : other_zone_affinity.get();
  std::vector<const listed_server*> chosen;
  for (const listed_server* item :
       {affinity_server, of_zone.get(), of_all.get(), second_of_all.get()}) {
    const bool is_new = std::find(chosen.begin(), chosen.end(), item) == chosen.end();
    if (item != nullptr && is_new && chosen.size() < promptless_candidates) {
      chosen.push_back(item);
    }
  }
  return chosen;
}

double server_pool::promptless_cost(const listed_server& item, timestamp now) const {
  const server_state& server = *item.server;
  const double slowdown =
      std::exp(slowdown_exponent * server.speed.expected(this->rules.speed, now));
  const double age = to_seconds(std::chrono::duration_cast<duration>(now - server.remote_calls_at));
  const double recency_weight = std::exp(-age / promptless_decay_seconds);
  const double count = static_cast<double>(this->servers.size());
  // Candidates are chosen in proportion to their speed, so without recent counts the next call
  // costs the same at each.
  const double mean_calls = this->total_remote_calls / count + 1;
  const double of_others =
      recency_weight * (server.remote_calls + 1) * slowdown + (1 - recency_weight) * mean_calls;
  const double cross_zone_cost =
      item.same_zone ? 0 : this->rules.choice.cross_zone_cost * server.entry.slots;
  return server.in_flight * slowdown + of_others + cross_zone_cost;
}

server_pool::server_state* server_pool::choose_by_speed(const placement_request& request,
                                                        choice_scope scope, timestamp now) {
  server_state* best = nullptr;
  double best_cost = 0;
  double slack = request.affinity == 0 ? 0 : this->rules.affinity_slack;
  for (const listed_server* item : this->candidates_by_speed(request, scope, now)) {
    const double cost = this->promptless_cost(*item, now);
    if (best == nullptr || cost + slack < best_cost) {
      // Only the server of the affinity key is preferred to a slightly cheaper one.
      slack = best == nullptr ? slack : 0;
      best = item->server;
      best_cost = cost;
    }
  }
  return best;
}

void server_pool::record_load(running_call& call, const server_state& server,
                              const placement_request& request, timestamp now) const {
  if (!this->rules.learns_speed) {
    return;
  }
  const server_estimate estimated = this->estimate_server(server, request, now);
  const auto read_units = static_cast<std::uint64_t>(estimated.missing_tokens) / read_unit_tokens;
  call.speed_kind = rendezvous_weight(call.kind, std::bit_width(read_units));
  call.load_slowdown = relative_time(estimated, this->rules.choice);
  call.is_queued = estimated.calls + 1 > estimated.slots;
}

void server_pool::record_speed(const running_call& call, timed_part part, timestamp now) {
  server_state* server = this->server_of(call);
  // For a call that had to queue at the server, the expected wait is known only as a multiple of a
  // whole call's time, so the time to its first event says nothing about the server's speed.
  const bool is_uninformative = part == timed_part::first_event && call.is_queued;
  if (!this->rules.learns_speed || server == nullptr || is_uninformative) {
    return;
  }
  const duration took = std::chrono::duration_cast<duration>(now - call.sent_at);
  const double expected = server->speed.expected(this->rules.speed, now);
  const std::optional<slowdown_sample> sample = this->typical.compare(
      call.speed_kind, part, took, call.load_slowdown, expected, this->rules.speed);
  if (!sample) {
    return;
  }
  server->speed.add_sample(*sample, this->rules.speed, now);
  this->update_slow_factor(*server, now);
  this->unreported_speeds.insert(server->key);
}

void server_pool::set_remote_speed(const speed_report& speed, timestamp now) {
  server_state* server = this->find_server(speed.server);
  if (!this->rules.learns_speed || server == nullptr) {
    return;
  }
  server->speed.set_remote_estimate(speed.word, now);
  this->update_slow_factor(*server, now);
}

void server_pool::update_slow_factor(server_state& server, timestamp now) {
  server.slow_factor = std::exp(server.speed.lasting(this->rules.speed, now));
}

void server_pool::update_slow_factors(timestamp now) {
  if (!this->rules.learns_speed || now < this->next_factor_update) {
    return;
  }
  this->next_factor_update = now + factor_update_interval;
  double speeds = 0;
  for (auto& [id, server] : this->servers) {
    this->update_slow_factor(server, now);
    speeds += 1 / server.slow_factor;
  }
  this->mean_speed = this->servers.empty() ? 1 : speeds / static_cast<double>(this->servers.size());
}

double server_pool::relative_speed(const server_state& server) const {
  return 1 / (server.slow_factor * this->mean_speed);
}

void server_pool::batch_end(const server_state& server, timestamp now) {
  if (this->batched_ends.empty()) {
    this->batch_started = now;
  }
  this->batched_ends.insert(server.key);
}

bool server_pool::flush_ended_calls(timestamp now) {
  if (this->batched_ends.empty() || now - this->batch_started < batch_time) {
    return false;
  }
  this->unreported_loads.merge(this->batched_ends);
  this->batched_ends.clear();
  return true;
}

void server_pool::add_speeds(directory_update& update, timestamp now) {
  for (const server_load& load : update.loads) {
    const server_state* server = this->find_server(load.server);
    if (this->unreported_speeds.erase(load.server) > 0 && server != nullptr) {
      update.speeds.push_back({load.server, server->speed.own_estimate(this->rules.speed, now)});
    }
  }
}

std::vector<server_slowdown> server_pool::slowdowns(timestamp now) const {
  std::vector<server_slowdown> slowdowns;
  if (!this->rules.learns_speed) {
    return slowdowns;
  }
  for (const auto& [id, server] : this->servers) {
    const double weight = server.speed.weight(this->rules.speed, now);
    if (server.listed && weight >= min_shown_weight) {
      slowdowns.push_back({id, std::exp(server.speed.lasting(this->rules.speed, now)), weight});
    }
  }
  return slowdowns;
}

}  // namespace hawthornlane
