// What this host believes of the deployment, and who is told when that changes.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::discovery {

/// Now, on the clock that the decision libraries take.
timestamp scheduler_now();

/// The beliefs of one host. Fed by the store and by peers alike; what is older
/// than what is held is dropped, whoever tells it. Each change is logged.
class fleet_state {
public:
  /// Where a belief came from, for the log.
  using source_name = std::string_view;

  /// Whether `offer_configuration` would take it.
  [[nodiscard]] bool is_newer(const configuration& candidate) const {
    return this->config.is_newer(candidate);
  }
  /// `copy`: the same, in the form in which hosts pass it on.
  bool offer_configuration(const configuration& candidate, std::string copy, source_name source);
  void list_backends(store_revision at, const std::vector<backend_entry>& entries,
                     source_name source);
  void list_hosts(store_revision at, const std::vector<host_entry>& entries);
  void change_hosts(store_revision at, const std::vector<entry_change<host_entry>>& changes);

  /// The store answers again after an outage: entries missing from it may have
  /// lapsed meanwhile and are doubted for a while.
  void on_store_recovered();
  /// Drops entries whose doubt is over.
  void drop_expired_removals();

  [[nodiscard]] const route_table_ptr& table() const { return this->config.current(); }
  /// The configuration in force, for peers that lack it.
  [[nodiscard]] const std::string& configuration_copy() const { return this->config_copy; }
  [[nodiscard]] timestamp configuration_since() const { return this->config_since; }
  [[nodiscard]] const backend_registry& backends() const { return this->servers; }
  /// Revision at which this host last saw the backend servers change. Another host
  /// that has seen them at this revision or later lacks nothing.
  [[nodiscard]] store_revision backends_changed_at() const { return this->servers_changed_at; }
  [[nodiscard]] store_revision hosts_changed_at() const { return this->hosts_changed; }
  [[nodiscard]] const host_registry& hosts() const { return this->host_list; }
  /// Servers of a service that may get new calls; those in doubt included.
  [[nodiscard]] std::vector<backend_entry> usable_backends(const service_name& service) const;
  [[nodiscard]] std::set<service_name> services_with_backends() const;

  /// Called after each change of the backend servers or of the configuration.
  void on_backends_changed(std::function<void()> hook) { this->backends_hook = std::move(hook); }
  void on_hosts_changed(std::function<void()> hook) { this->hosts_hook = std::move(hook); }

private:
  void note_host_changes(const std::map<host_id, host_entry>& before);
  /// Logs and tells what differs from `before`.
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
