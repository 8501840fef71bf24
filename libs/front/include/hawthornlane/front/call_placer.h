// Finds a backend server for each call of a front host, now or after a wait.
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

/// What a call got.
struct acquired_server {
  placement_id id;
  std::optional<backend_entry> server;
  std::optional<placement_basis> basis;
  bool caller_left = false;
  duration waited{};
  /// There was no server: before there is likely one, where that is known.
  duration retry_in{};
};

/// Lets somebody else end a call's wait for a server.
class placement_wait {
public:
  /// The caller is gone; the call needs no server any more.
  void leave();

private:
  friend class call_placer;
  struct waiter;
  waiter* waiting = nullptr;
  place_wait place;
  bool left = false;
};

/// Joins the decisions of `server_pool`, one for each service, with the calls that wait.
/// For one thread.
class call_placer {
public:
  call_placer(boost::asio::io_context& context, host_id own, availability_zone here,
              discovery::fleet_state& fleet, call_metrics& metrics, pool_rules rules = {});
  call_placer(const call_placer&) = delete;
  call_placer& operator=(const call_placer&) = delete;
  ~call_placer();

  /// Gives `request` an id and waits until there is a server for it, or there cannot be
  /// one in its time.
  boost::asio::awaitable<acquired_server> acquire(const service_name& service,
                                                  placement_request request, placement_wait& wait);
  /// A call that had got a server is over there.
  void finished(const service_name& service, placement_id id, server_outcome outcome);
  /// The first part of a call's answer came.
  void started(const service_name& service, placement_id id);
  /// From now on hosts share what they know of loads and prompts.
  void set_directory_exchange(directory_exchange& with) { this->exchange = &with; }
  /// From now on calls for full servers claim a place at the servers' keepers.
  void set_place_exchange(place_exchange& with) { this->places = &with; }
  /// Takes what other hosts answered.
  void apply_directory_response(const directory_response& answer);
  /// Tells this host's loads again, so that they are not taken for those of a dead host.
  void report_loads();
  /// Some server is known to have read this part of a prompt.
  [[nodiscard]] bool has_prompt_part(const service_name& service, prompt_part_key part) {
    return this->pool_of(service).pool.has_prompt_part(part);
  }
  [[nodiscard]] bool lists_servers(const service_name& service);

  /// Tells the pools which servers there are now.
  void refresh_servers();
  /// Ends waits whose time is over, and tries again what waits for a server.
  void tick();
  /// What this host needs of each service, for the other hosts.
  [[nodiscard]] std::vector<service_demand> demand() const;
  /// Divides scarce places between this host and the others; one entry for each of them
  /// and each service.
  void apply_demand(const std::vector<service_demand>& others);

private:
  struct service_pool {
    explicit service_pool(server_pool from) : pool(std::move(from)) {}
    server_pool pool;
    /// Calls at servers and waiting, smoothed.
    double demand = 0;
    /// As last written to the log.
    std::set<backend_server_id> unhealthy;
    /// Known to be slow, as last written to the log.
    std::set<backend_server_id> slow;
    /// The gauges of its servers' speeds hold what is known.
    bool shows_speeds = false;
    /// Hosts keep to their part of the places.
    bool scarce = false;
  };

  service_pool& pool_of(const service_name& name);
  /// Asks the other hosts what bears on the request's placement.
  boost::asio::awaitable<void> ask_others(const server_pool& pool,
                                          const placement_request& request);
  /// Claims a place where the servers that the call would go to are full; false: it is to be
  /// placed by what this host knows itself.
  boost::asio::awaitable<bool> claim(server_pool& pool, const placement_request& request,
                                     placement_wait& wait, acquired_server& got);
  void tell_changes(server_pool& pool);
  void set_speed_gauges(const service_name& name, double fastest, double slowest);
  /// Writes what operators see of servers' speeds.
  void show_speeds(const service_name& name, service_pool& item);
  void deliver(const std::vector<placement>& placed);
  void share_places(const service_name& name, service_pool& item,
                    const std::vector<service_demand>& others, timestamp now);
  void log_set_aside(const service_name& name, service_pool& item, timestamp now);

  boost::asio::io_context& context;
  host_id own;
  availability_zone zone;
  discovery::fleet_state& fleet;
  call_metrics& metrics;
  pool_rules rules;
  /// Not there: this host decides by what it sees itself.
  directory_exchange* exchange = nullptr;
  /// Not there: full servers are not told from others.
  place_exchange* places = nullptr;
  std::map<service_name, service_pool> pools;
  std::map<placement_id, placement_wait::waiter*> waiters;
  placement_id last_placement;
};

}  // namespace hawthornlane::front
