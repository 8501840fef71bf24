// This host's view of the deployment.
#include "hawthornlane/discovery/fleet_state.h"

#include <fmt/format.h>

#include "hawthornlane/fleet/store_read_schedule.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::discovery {
namespace {

/// The shortest times that the users set: without disruption until the store is stable, and from
/// its confirmation that a server leaves to the last call that the server gets.
constexpr duration stable_window = std::chrono::seconds(3);
constexpr duration drain_time = std::chrono::seconds(2);
/// From the store's return to the first read, at most: a call that gets no answer.
constexpr duration first_read_delay = std::chrono::milliseconds(1500);
static_assert(first_read_delay + store_read_schedule::renewal_time +
                  store_read_schedule::read_interval + store_read_schedule::spread_time <
              stable_window + drain_time);

void log_backend(event what, const backend_entry& entry, store_revision at,
                 std::string_view source) {
  log(what, {{"server", entry.id.get()},
             {"service", entry.service.get()},
             {"server_version", entry.version.get()},
             {"address", http::to_string(entry.address)},
             {"revision", std::to_string(at.get())},
             {"source", std::string(source)}});
}

}  // namespace

timestamp scheduler_now() {
  return timestamp(
      std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

bool fleet_state::offer_configuration(const configuration& candidate, std::string copy,
                                      source_name source) {
  if (!this->config.offer(candidate)) {
    return false;
  }
  this->config_copy = std::move(copy);
  this->config_since = scheduler_now();
  log(event::configuration_in_force, {{"version", std::to_string(candidate.version.get())},
                                      {"routes", std::to_string(candidate.routes.size())},
                                      {"source", std::string(source)}});
  this->backends_hook();
  return true;
}

void fleet_state::note_backend_changes(const std::map<backend_server_id, backend_entry>& before,
                                       source_name source) {
  if (before == this->servers.listed()) {
    return;
  }
  const store_revision at = this->servers.at();
  for (const auto& [id, entry] : this->servers.listed()) {
    const auto known = before.find(id);
    if (known != before.end() && known->second.start != entry.start) {
      log_backend(event::backend_restarted, entry, at, source);
    }
    if (known != before.end() && known->second.draining == entry.draining) {
      continue;
    }
    log_backend(entry.draining ? event::backend_draining : event::backend_listed, entry, at,
                source);
  }
  for (const auto& [id, entry] : before) {
    if (this->servers.listed().contains(id)) {
      continue;
    }
    const bool deferred = this->servers.pending_removals().contains(id);
    log_backend(deferred ? event::backend_doubted : event::backend_gone, entry, at, source);
  }
  this->servers_changed_at = at;
  this->backends_hook();
}

void fleet_state::list_backends(store_revision at, const std::vector<backend_entry>& entries,
                                source_name source) {
  const auto before = this->servers.listed();
  if (this->servers.apply_listing(at, entries, scheduler_now())) {
    this->note_backend_changes(before, source);
  }
}

void fleet_state::note_host_changes(const std::map<host_id, host_entry>& before) {
  if (before != this->host_list.listed()) {
    this->hosts_changed = this->host_list.at();
    this->hosts_hook();
  }
}

void fleet_state::list_hosts(store_revision at, const std::vector<host_entry>& entries) {
  const auto before = this->host_list.listed();
  if (this->host_list.apply_listing(at, entries, scheduler_now())) {
    this->note_host_changes(before);
  }
}

void fleet_state::change_hosts(store_revision at,
                               const std::vector<entry_change<host_entry>>& changes) {
  const auto before = this->host_list.listed();
  if (this->host_list.apply_changes(at, changes, scheduler_now())) {
    this->note_host_changes(before);
  }
}

void fleet_state::defer_removals_until(timestamp final_at) {
  this->servers.defer_removals_until(final_at);
}

void fleet_state::drop_expired_removals() {
  if (this->servers.pending_removals().empty()) {
    return;
  }
  const auto deferred = this->servers.pending_removals();
  this->servers.drop_expired_removals(scheduler_now());
  for (const auto& [id, entry] : deferred) {
    if (!this->servers.pending_removals().contains(id) && !this->servers.listed().contains(id)) {
      log_backend(event::backend_gone, entry, this->servers.at(), "doubt over");
    }
  }
  if (this->servers.pending_removals().size() != deferred.size()) {
    this->backends_hook();
  }
}

std::vector<backend_entry> fleet_state::usable_backends(const service_name& service) const {
  std::vector<backend_entry> usable;
  const auto add = [&](const std::map<backend_server_id, backend_entry>& entries) {
    for (const auto& [id, entry] : entries) {
      if (entry.service == service && !entry.draining) {
        usable.push_back(entry);
      }
    }
  };
  add(this->servers.listed());
  add(this->servers.pending_removals());
  return usable;
}

std::set<service_name> fleet_state::services_with_backends() const {
  std::set<service_name> services;
  for (const auto& [id, entry] : this->servers.listed()) {
    services.insert(entry.service);
  }
  return services;
}

}  // namespace hawthornlane::discovery
