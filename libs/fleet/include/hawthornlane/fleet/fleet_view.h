// What one host believes of the deployment: the configuration in force, the
// backend servers, and the other hosts, from the platform's store and from peers.
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

/// A backend server as it registered itself.
struct backend_entry {
  backend_server_id id;
  /// A server that starts again keeps its id, and knows nothing of before. 0: it does not
  /// say when it started.
  incarnation start;
  service_name service;
  http::endpoint address;
  availability_zone zone;
  /// Calls that the server works on at once.
  std::uint32_t slots = 1;
  /// The server is leaving: it gets nothing new.
  bool draining = false;

  friend bool operator==(const backend_entry&, const backend_entry&) = default;
};

/// What a host of the deployment does.
enum class host_role : std::uint8_t { front, disk };

/// A host of the deployment as it registered itself.
struct host_entry {
  host_id name;
  incarnation start;
  host_role role = host_role::front;
  availability_zone zone;
  std::string region;
  /// Where callers connect; fronts only.
  std::string callers_at;
  /// Where other hosts connect.
  http::endpoint peers_at;
  /// Identity of the disk's contents; disk hosts only. An empty disk has a new one.
  std::string disk;

  friend bool operator==(const host_entry&, const host_entry&) = default;
};

/// One entry that changed, or went away.
template <class Entry>
struct entry_change {
  Entry entry;
  bool removed = false;
};

/// A set of entries that follows one kind of object in the store.
///
/// Promises: a state older than the one held is never taken, whoever tells it. An entry of
/// a backend server's former incarnation changes nothing either: a write of the ended
/// process may reach the store after those of the new one.
/// Entries that a listing or an event drops shortly after the store was away are
/// kept until `doubt_until`, since a live owner writes them again; later a missing
/// entry counts as gone.
template <class Key, class Entry>
class registry {
public:
  /// A whole listing. False when it is older than what is held.
  bool apply_listing(store_revision at, const std::vector<Entry>& entries, timestamp now) {
    if (this->known && at < this->revision) {
      return false;
    }
    std::map<Key, Entry> listed;
    for (const Entry& entry : entries) {
      listed.emplace(key_of(entry), this->newest_of(entry));
    }
    for (const auto& [key, entry] : this->held) {
      if (!listed.contains(key)) {
        this->doubtful.emplace(key, entry);
      }
    }
    this->held = std::move(listed);
    this->revision = at;
    this->known = true;
    this->drop_expired_removals(now);
    return true;
  }

  /// Changes up to `at`. False when they are older than what is held.
  bool apply_changes(store_revision at, const std::vector<entry_change<Entry>>& changes,
                     timestamp now) {
    if (at < this->revision) {
      return false;
    }
    for (const auto& change : changes) {
      const Key key = key_of(change.entry);
      if (!change.removed) {
        this->held[key] = this->newest_of(change.entry);
        this->doubtful.erase(key);
        continue;
      }
      const auto found = this->held.find(key);
      if (found != this->held.end()) {
        this->doubtful.insert(this->held.extract(found));
      }
    }
    this->revision = at;
    this->known = true;
    this->drop_expired_removals(now);
    return true;
  }

  /// The store was away until now: what is missing from it may have lapsed.
  void defer_removals_until(timestamp until) { this->doubt_until = until; }
  /// Drops entries whose absence is not in doubt any more.
  void drop_expired_removals(timestamp now) {
    for (const auto& [key, entry] : this->held) {
      this->doubtful.erase(key);
    }
    if (now >= this->doubt_until) {
      this->doubtful.clear();
    }
  }

  /// Entries in the store's latest known state.
  [[nodiscard]] const std::map<Key, Entry>& listed() const { return this->held; }
  /// Entries that have just gone missing and may come back.
  [[nodiscard]] const std::map<Key, Entry>& pending_removals() const { return this->doubtful; }
  [[nodiscard]] store_revision at() const { return this->revision; }
  [[nodiscard]] bool heard() const { return this->known; }

private:
  static Key key_of(const backend_entry& entry) { return entry.id; }
  static Key key_of(const host_entry& entry) { return entry.name; }
  static bool is_outdated(const backend_entry& told, const backend_entry& known) {
    return told.start < known.start;
  }
  /// A host's start is by its own clock, which may be set back between two starts.
  static bool is_outdated(const host_entry& /*told*/, const host_entry& /*known*/) { return false; }
  /// The entry told, or the one known of a later incarnation.
  [[nodiscard]] Entry newest_of(const Entry& told) const {
    for (const auto* known : {&this->held, &this->doubtful}) {
      const auto found = known->find(key_of(told));
      if (found != known->end() && is_outdated(told, found->second)) {
        return found->second;
      }
    }
    return told;
  }

  std::map<Key, Entry> held;
  std::map<Key, Entry> doubtful;
  store_revision revision;
  timestamp doubt_until{};
  bool known = false;
};

using backend_registry = registry<backend_server_id, backend_entry>;
using host_registry = registry<host_id, host_entry>;

/// The configuration in force at this host. It never goes back to an older one.
class configuration_in_force {
public:
  [[nodiscard]] bool is_newer(const configuration& candidate) const {
    return !this->table || candidate.version > this->table->version();
  }
  /// True when it is newer and now in force.
  bool offer(const configuration& candidate) {
    if (!this->is_newer(candidate)) {
      return false;
    }
    this->table = std::make_shared<const route_table>(candidate);
    return true;
  }
  /// Null until one was heard.
  [[nodiscard]] const route_table_ptr& current() const { return this->table; }

private:
  route_table_ptr table;
};

}  // namespace hawthornlane
