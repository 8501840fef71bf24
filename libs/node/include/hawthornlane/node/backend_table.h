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
struct backend_need {
  model_name model;
  std::string tool;
  program_id program;
};

/// Thread-safe. Servers come from the platform's objects "servers/ID".
class backend_table {
public:
  void take_object(const stored_object& object);
  /// The server to use, counted as taken until `give_back`; nothing if none can.
  std::optional<backend_server> take(const backend_need& need,
                                     const std::vector<backend_server_id>& except, timestamp now);
  void give_back(const backend_server_id& server, const backend_result& result, timestamp now);
  /// The server that holds the program's prefix, and forgets it.
  std::optional<backend_server> forget_program(const program_id& program);
  [[nodiscard]] std::vector<backend_server> all() const;
  void count_for(fleet_view& fleet) const;

private:
  mutable std::mutex mutex;
  std::map<backend_server_id, backend_server> servers;
  std::map<program_id, backend_server_id> last_server;
};

}  // namespace hawthornlane
