// The backend servers known to this host: what they serve, their load and their failures.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/document/service_document.h"
#include "hawthornlane/engine/backend_client.h"
#include "hawthornlane/platform/object_store.h"

namespace hawthornlane {

/// One backend server.
struct backend_server {
  backend_server_id id;
  /// Set for a model engine; empty for a plain service, which `tool` names.
  model_name model;
  std::string tool;
  http::endpoint address;
  availability_zone zone;
  bool leaving = false;
  bool checks_fencing = false;
  /// Calls of this host that are in flight at the server.
  std::int64_t outstanding = 0;
  /// Consecutive failures since the last success.
  std::int64_t failures = 0;
  timestamp excluded_until;
};

/// The model or tool that a call needs from a server.
struct backend_requirement {
  model_name model;
  std::string tool;
};

/// The backend servers listed in the platform's objects "servers/ID". Thread-safe.
class backend_table {
public:
  /// Adds or updates the server that the object describes and returns it; nothing when
  /// the object does not describe a server.
  std::optional<backend_server> apply_object(const stored_object& object);
  [[nodiscard]] std::optional<backend_server> find(const backend_server_id& server) const;
  /// Counts one more call in flight at a server that the scheduler has chosen, and returns the
  /// server; returns nothing when it is unknown.
  std::optional<backend_server> acquire_chosen(const backend_server_id& server);
  /// Chooses the matching server with the fewest calls in flight. Servers in `except`, servers
  /// that are about to leave and excluded servers are not considered. The call counts as in flight
  /// until `release_server`. Returns nothing when no server matches.
  std::optional<backend_server> take(const backend_requirement& need,
                                     const std::vector<backend_server_id>& except, timestamp now);
  /// Ends a call's use of the server; excludes the server for a while after repeated failures.
  void release_server(const backend_server_id& server, const backend_result& result, timestamp now);
  [[nodiscard]] std::vector<backend_server> all() const;
  /// Increments the counts in `fleet` for each server that is not about to leave.
  void add_server_counts(fleet_view& fleet) const;

private:
  mutable std::mutex mutex;
  std::map<backend_server_id, backend_server> servers;
};

}  // namespace hawthornlane
