// The HTTP interface for operators.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "hawthornlane/http/server.h"
#include "hawthornlane/node/audit_log.h"
#include "hawthornlane/node/backend_table.h"
#include "hawthornlane/node/document_registry.h"
#include "hawthornlane/node/host_view.h"
#include "hawthornlane/node/shard_table.h"

namespace hawthornlane {

/// What the operators' interface needs from its host.
struct admin_dependencies {
  runtime& time;
  shard_table& shards;
  host_view& hosts;
  document_registry& documents;
  backend_table& backends;
  audit_log& audit;
  object_store& platform;
  std::string credential;
  /// Starts a planned shutdown of this host; `who` is the operator's name for the audit trail.
  std::function<void(const std::string& who)> drain;
};

/// Handles operators' requests, whose paths start with "/v1/admin/".
class admin_routes {
public:
  explicit admin_routes(admin_dependencies dependencies);

  [[nodiscard]] static bool handles_path(const std::string& path);
  boost::asio::awaitable<void> handle(const http::request& http_request, http::exchange& reply);

private:
  boost::asio::awaitable<http::response> answer(const http::request& http_request);
  boost::asio::awaitable<http::response> apply_document(const http::request& http_request,
                                                        const std::string& service);
  boost::asio::awaitable<http::response> audit_trail();
  http::response check_document(const http::request& http_request, const std::string& service);
  http::response show_document(const std::string& service);
  http::response documents();
  http::response hosts();
  http::response servers();
  http::response programs();
  http::response program(const std::string& id);
  http::response drain(const http::request& http_request);
  struct apply_request request_from(const http::request& http_request,
                                    const std::string& service) const;
  fleet_view fleet_for(const service_name& service) const;

  admin_dependencies dependencies;
};

}  // namespace hawthornlane
