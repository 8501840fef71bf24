// Backend servers as this host knows them: what they serve and how they do.
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
  /// A model engine when set, else a plain service.
  model_name model;
  std::string tool;
  http::endpoint address;
  availability_zone zone;
  bool leaving = false;
  bool checks_fencing = false;
  /// Calls that this host has in it.
  std::int64_t outstanding = 0;
  /// Failures since the last success.
  std::int64_t failures = 0;
  timestamp excluded_until;
};

/// What a call needs of a server.
struct backend_requirement {
  model_name model;
  std::string tool;
};

/// Thread-safe. Servers come from the platform's objects "servers/ID".
class backend_table {
public:
  /// The server that the object describes, if it is one.
  std::optional<backend_server> apply_object(const stored_object& object);
  [[nodiscard]] std::optional<backend_server> find(const backend_server_id& server) const;
  /// A server that was chosen elsewhere is in use from now on.
  std::optional<backend_server> acquire_chosen(const backend_server_id& server);
  /// The server to use, counted as taken until `give_back`; nothing if none can.
  std::optional<backend_server> take(const backend_requirement& need,
                                     const std::vector<backend_server_id>& except, timestamp now);
  void release_server(const backend_server_id& server, const backend_result& result, timestamp now);
  [[nodiscard]] std::vector<backend_server> all() const;
  void add_server_counts(fleet_view& fleet) const;

private:
  mutable std::mutex mutex;
  std::map<backend_server_id, backend_server> servers;
};

}  // namespace hawthornlane
