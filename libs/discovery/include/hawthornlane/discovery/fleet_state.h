// This host's view of the deployment, and hooks for its changes.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::discovery {

/// The current time, on the clock that the decision libraries use.
timestamp scheduler_now();

/// One host's view of configuration, backend servers and hosts. Updated from the platform's
/// store and from peers; a version or revision older than the current one is ignored, whatever
/// its source. Each change of the configuration or of a backend server is logged.
class fleet_state {
public:
  /// Where an update came from, for the log.
  using source_name = std::string_view;

  /// Whether `offer_configuration` would accept it.
  [[nodiscard]] bool is_newer(const configuration& candidate) const {
    return this->config.is_newer(candidate);
  }
  /// Puts `candidate` in force if it is newer; true if so. `copy` is its encoding for peers.
  bool offer_configuration(const configuration& candidate, std::string copy, source_name source);
  void list_backends(store_revision at, const std::vector<backend_entry>& entries,
                     source_name source);
  void list_hosts(store_revision at, const std::vector<host_entry>& entries);
  void change_hosts(store_revision at, const std::vector<entry_change<host_entry>>& changes);

  /// Call this when the store answers again after an outage, before its listing is applied, and on
  /// all hosts with the same time. Servers could not renew their entries during the outage, so an
  /// entry that is missing from the store may only have expired. Its removal is therefore deferred.
  void defer_removals_until(timestamp final_at);
  /// Drops entries whose deferred removal is due.
  void drop_expired_removals();

  [[nodiscard]] const route_table_ptr& table() const { return this->config.current(); }
  /// The configuration in force, encoded for peers that lack it.
  [[nodiscard]] const std::string& configuration_copy() const { return this->config_copy; }
  [[nodiscard]] timestamp configuration_since() const { return this->config_since; }
  [[nodiscard]] const backend_registry& backends() const { return this->servers; }
  /// Store revision of the last change of the backend servers seen here. Another host that has
  /// seen this revision or a later one is up to date.
  [[nodiscard]] store_revision backends_changed_at() const { return this->servers_changed_at; }
  [[nodiscard]] store_revision hosts_changed_at() const { return this->hosts_changed; }
  [[nodiscard]] const host_registry& hosts() const { return this->host_list; }
  /// Servers of a service that may get new calls, including those with a deferred removal.
  [[nodiscard]] std::vector<backend_entry> usable_backends(const service_name& service) const;
  [[nodiscard]] std::set<service_name> services_with_backends() const;

  /// Sets the hook that runs after each change of the backend servers or the configuration.
  void on_backends_changed(std::function<void()> hook) { this->backends_hook = std::move(hook); }
  void on_hosts_changed(std::function<void()> hook) { this->hosts_hook = std::move(hook); }

private:
  void note_host_changes(const std::map<host_id, host_entry>& before);
  /// Logs the differences from `before` and runs the hook.
  void note_backend_changes(const std::map<backend_server_id, backend_entry>& before,
                            source_name source);

  configuration_in_force config;
  std::string config_copy;
  timestamp config_since{};
  backend_registry servers;
  store_revision servers_changed_at;
  host_registry host_list;
  store_revision hosts_changed;
  std::function<void()> backends_hook = [] {};
  std::function<void()> hosts_hook = [] {};
};

}  // namespace hawthornlane::discovery
