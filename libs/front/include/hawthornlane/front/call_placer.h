// Finds a backend server for each call of a front host, at once or after queueing.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/call_metrics.h"
#include "hawthornlane/front/directory_exchange.h"
#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/front/place_exchange.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane::front {

/// Result of looking for a server for one call.
struct acquired_server {
  placement_id id;
  std::optional<backend_entry> server;
  std::optional<placement_basis> basis;
  bool caller_left = false;
  duration waited{};
  /// If there is no server: the expected time until one is free; 0 if unknown.
  duration retry_in{};
};

/// Cancels a call's wait for a server from outside the waiting coroutine.
class server_wait {
public:
  /// The caller has disconnected: the call no longer needs a server.
  void cancel();

private:
  friend class call_placer;
  struct waiter;
  waiter* waiting = nullptr;
  place_wait place;
  bool left = false;
};

/// Runs one `server_pool` per service and resumes the calls that wait for its decisions.
/// Not thread-safe.
class call_placer {
public:
  call_placer(boost::asio::io_context& context, host_id own_host, availability_zone own_zone,
              discovery::fleet_state& fleet, call_metrics& metrics, pool_rules rules = {});
  call_placer(const call_placer&) = delete;
  call_placer& operator=(const call_placer&) = delete;
  ~call_placer();

  /// Assigns `request` an id and waits until a server is chosen, or until none can serve the
  /// call before its deadline.
  boost::asio::awaitable<acquired_server> acquire(const service_name& service,
                                                  placement_request request, server_wait& wait);
  /// A call has ended at the server that it was given.
  void finished(const service_name& service, placement_id id, server_outcome outcome);
  /// The first part of a call's answer has arrived.
  void started(const service_name& service, placement_id id);
  /// Enables sharing of loads, prompt locations and speeds with other hosts.
  void set_directory_exchange(directory_exchange& exchange_to_use) {
    this->exchange = &exchange_to_use;
  }
  /// Enables claims: a call for a full server claims a place at the server's directory host, which
  /// stores the server's directory entry. A place lets one call be at the server; a server has one
  /// place more than it has slots.
  void set_place_exchange(place_exchange& exchange_to_use) { this->places = &exchange_to_use; }
  /// Stores the answer of a directory host.
  void apply_directory_response(const directory_response& answer);
  /// Reports this host's loads again, since directory hosts drop the counts of a host that stops
  /// reporting.
  void report_loads();
  /// Whether some server is known to have processed this part of a prompt.
  [[nodiscard]] bool has_prompt_part(const service_name& service, prompt_part_key part) {
    return this->pool_of(service).pool.has_prompt_part(part);
  }
  [[nodiscard]] bool has_listed_servers(const service_name& service);
  /// The version of the servers that may get new calls, if they all have the same one.
  [[nodiscard]] std::optional<software_version> only_listed_version(const service_name& service);
  /// Whether a server of this version may get new calls.
  [[nodiscard]] bool lists_version(const service_name& service, const software_version& version);

  /// Passes the current lists of servers to the pools.
  void refresh_servers();
  /// Ends waits that have passed their deadline, and retries placement of queued calls.
  void tick();
  /// This host's smoothed demand for each service, to be reported to the other hosts.
  [[nodiscard]] std::vector<service_demand> demand() const;
  /// Divides scarce places between this host and the others. `others` has one entry per other
  /// host and service.
  void apply_demand(const std::vector<service_demand>& others);

private:
  struct service_pool {
    explicit service_pool(server_pool from) : pool(std::move(from)) {}
    server_pool pool;
    /// Calls at servers and waiting, smoothed.
    double demand = 0;
    /// Unhealthy servers, as last logged.
    std::set<backend_server_id> unhealthy;
    /// Slow servers, as last logged.
    std::set<backend_server_id> slow;
    /// The speed gauges of this service show measured values and not their default.
    bool exports_speeds = false;
    /// Places are scarce: each host is limited to its share of them.
    bool scarce = false;
  };

  service_pool& pool_of(const service_name& name);
  /// Asks the directory hosts for the loads and prompt locations that affect this placement.
  boost::asio::awaitable<void> query_directory(const server_pool& pool,
                                               const placement_request& request);
  /// Claims a place if the servers that the call would go to are full. Returns false if the call
  /// must be placed by this host's own information.
  boost::asio::awaitable<bool> claim(server_pool& pool, const placement_request& request,
                                     server_wait& wait, acquired_server& acquired);
  void report_changes(server_pool& pool);
  void set_speed_gauges(const service_name& name, double fastest, double slowest);
  /// Updates the speed gauges and logs servers that have become slow.
  void export_speeds(const service_name& name, service_pool& item);
  void deliver(const std::vector<placement>& placed);
  void share_places(const service_name& name, service_pool& item,
                    const std::vector<service_demand>& others, timestamp now);
  void log_unhealthy(const service_name& name, service_pool& item, timestamp now);

  boost::asio::io_context& context;
  host_id own_host;
  availability_zone zone;
  discovery::fleet_state& fleet;
  call_metrics& metrics;
  pool_rules rules;
  /// Null: this host places calls by its own information alone.
  directory_exchange* exchange = nullptr;
  /// Null: no places are claimed; full servers are treated like others.
  place_exchange* places = nullptr;
  std::map<service_name, service_pool> pools;
  std::map<placement_id, server_wait::waiter*> waiters;
  placement_id last_placement;
};

}  // namespace hawthornlane::front
