// One host's view of the deployment, from the platform's store and from peers: the configuration in
// force, the backend servers and the other hosts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/fleet/route_table.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Position in the store's history; one counter for all objects.
using store_revision = strong_value<struct store_revision_tag, std::uint64_t>;

/// A backend server's registration.
struct backend_entry {
  backend_server_id id;
  /// Start of the process. A server that restarts keeps its id and loses its state. 0: the server
  /// does not report its start.
  incarnation start;
  service_name service;
  http::endpoint address;
  availability_zone zone;
  /// Calls that the server processes at once.
  std::uint32_t slots = 1;
  /// The server is about to leave and gets no new calls.
  bool draining = false;
  /// Of the process that wrote the entry. Empty if it came from a host that does not send it.
  software_version version;

  friend bool operator==(const backend_entry&, const backend_entry&) = default;
};

/// Role of a host in the deployment.
enum class host_role : std::uint8_t { front, disk };

/// A host's registration.
struct host_entry {
  host_id name;
  incarnation start;
  host_role role = host_role::front;
  availability_zone zone;
  std::string region;
  /// Address for callers; front hosts only.
  std::string callers_at;
  /// Address for other hosts.
  http::endpoint peers_at;
  /// Identity of the disk's contents; disk hosts only. An emptied disk gets a new one.
  std::string disk;

  friend bool operator==(const host_entry&, const host_entry&) = default;
};

/// One changed or removed entry.
template <class Entry>
struct entry_change {
  Entry entry;
  bool removed = false;
};

/// The entries of one kind of object in the store.
///
/// Guarantees: a state older than the current one is never applied, whatever its source. An entry
/// of a backend server's earlier incarnation is also ignored, since a write of the ended process
/// may reach the store after those of the new one. Entries that a listing or an event drops shortly
/// after an outage of the store are kept until `keep_missing_until`, since a live process registers
/// again, unless it has reported that it leaves; after that a missing entry counts as removed.
template <class Key, class Entry>
class registry {
public:
  /// Applies a complete listing. False if it is older than the current state.
  bool apply_listing(store_revision at, const std::vector<Entry>& entries, timestamp now) {
    if (this->known && at < this->revision) {
      return false;
    }
    std::map<Key, Entry> listed;
    for (const Entry& entry : entries) {
      listed.emplace(key_of(entry), this->newest_of(entry));
    }
    for (const auto& [key, entry] : this->entries_by_key) {
      if (!listed.contains(key) && may_return(entry)) {
        this->missing.emplace(key, entry);
      }
    }
    this->entries_by_key = std::move(listed);
    this->revision = at;
    this->known = true;
    this->drop_expired_removals(now);
    return true;
  }

  /// Applies the changes up to `at`. False if they are older than the current state.
  bool apply_changes(store_revision at, const std::vector<entry_change<Entry>>& changes,
                     timestamp now) {
    if (at < this->revision) {
      return false;
    }
    for (const auto& change : changes) {
      const Key key = key_of(change.entry);
      if (!change.removed) {
        this->entries_by_key[key] = this->newest_of(change.entry);
        this->missing.erase(key);
        continue;
      }
      const auto found = this->entries_by_key.find(key);
      if (found == this->entries_by_key.end()) {
        continue;
      }
      if (may_return(found->second)) {
        this->missing.insert_or_assign(key, found->second);
      }
      this->entries_by_key.erase(found);
    }
    this->revision = at;
    this->known = true;
    this->drop_expired_removals(now);
    return true;
  }

  /// Call this after an outage of the store: missing entries may have expired only because their
  /// processes could not renew them.
  void defer_removals_until(timestamp until) { this->keep_missing_until = until; }
  /// Drops missing entries whose removal is final by now.
  void drop_expired_removals(timestamp now) {
    for (const auto& [key, entry] : this->entries_by_key) {
      this->missing.erase(key);
    }
    if (now >= this->keep_missing_until) {
      this->missing.clear();
    }
  }

  /// Entries in the latest known state of the store.
  [[nodiscard]] const std::map<Key, Entry>& listed() const { return this->entries_by_key; }
  /// Entries that are missing from the store but may be registered again.
  [[nodiscard]] const std::map<Key, Entry>& pending_removals() const { return this->missing; }
  [[nodiscard]] store_revision at() const { return this->revision; }
  /// True once a state of the store has been applied.
  [[nodiscard]] bool heard() const { return this->known; }

private:
  static Key key_of(const backend_entry& entry) { return entry.id; }
  static Key key_of(const host_entry& entry) { return entry.name; }
  static bool is_outdated(const backend_entry& reported, const backend_entry& known) {
    return reported.start < known.start;
  }
  /// A server that has reported that it leaves does not register again.
  static bool may_return(const backend_entry& entry) { return !entry.draining; }
  static bool may_return(const host_entry& /*entry*/) { return true; }
  /// Hosts' starts are not compared: a start is taken from the host's own clock, which may be set
  /// back between two starts.
  static bool is_outdated(const host_entry& /*reported*/, const host_entry& /*known*/) {
    return false;
  }
  /// A process's version does not change, so an entry that came without it keeps the known one.
  static void keep_version(backend_entry& reported, const backend_entry& known) {
    if (reported.version.get().empty() && reported.start == known.start) {
      reported.version = known.version;
    }
  }
  static void keep_version(host_entry& /*reported*/, const host_entry& /*known*/) {}
  /// Returns the given entry, or the known one if that is of a later incarnation.
  [[nodiscard]] Entry newest_of(const Entry& reported) const {
    Entry newest = reported;
    for (const auto* known : {&this->entries_by_key, &this->missing}) {
      const auto found = known->find(key_of(reported));
      if (found == known->end()) {
        continue;
      }
      if (is_outdated(reported, found->second)) {
        return found->second;
      }
      keep_version(newest, found->second);
    }
    return newest;
  }

  std::map<Key, Entry> entries_by_key;
  std::map<Key, Entry> missing;
  store_revision revision;
  timestamp keep_missing_until{};
  bool known = false;
};

using backend_registry = registry<backend_server_id, backend_entry>;
using host_registry = registry<host_id, host_entry>;

/// The configuration in force at this host. It is never replaced by an older one.
class configuration_in_force {
public:
  [[nodiscard]] bool is_newer(const configuration& candidate) const {
    return !this->table || candidate.version > this->table->version();
  }
  /// Puts the candidate in force if it is newer; returns whether it did.
  bool offer(const configuration& candidate) {
    if (!this->is_newer(candidate)) {
      return false;
    }
    this->table = std::make_shared<const route_table>(candidate);
    return true;
  }
  /// Null until a configuration has been received.
  [[nodiscard]] const route_table_ptr& current() const { return this->table; }

private:
  route_table_ptr table;
};

}  // namespace hawthornlane
