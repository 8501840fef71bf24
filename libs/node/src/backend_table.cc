// Choosing backend servers and noting how they do.
#include "hawthornlane/node/backend_table.h"

#include <algorithm>
#include <boost/json.hpp>

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane {
namespace json = boost::json;

namespace {

const std::string key_prefix = "servers/";
constexpr std::int64_t failures_to_exclude = 3;
constexpr duration exclusion = std::chrono::seconds(5);

std::string text_in(const json::object& fields, const char* name) {
  const json::value* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

bool flag_in(const json::object& fields, const char* name) {
  const json::value* value = fields.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

bool fits(const backend_server& server, const backend_requirement& need,
          const std::vector<backend_server_id>& except, timestamp now) {
  const bool serves = need.tool.empty() ? server.model == need.model && !server.model.get().empty()
                                        : server.tool == need.tool;
  return serves && !server.leaving && now >= server.excluded_until &&
         std::find(except.begin(), except.end(), server.id) == except.end();
}

}  // namespace

std::optional<backend_server> backend_table::apply_object(const stored_object& object) {
  boost::system::error_code error;
  const json::value value = json::parse(object.value, error);
  if (!object.key.starts_with(key_prefix) || error || !value.is_object()) {
    return std::nullopt;
  }
  const json::object& fields = value.as_object();
  const auto address = http::endpoint_from_string(text_in(fields, "address"));
  if (!address) {
    return std::nullopt;
  }
  const backend_server_id id(object.key.substr(key_prefix.size()));
  const std::lock_guard lock(this->mutex);
  backend_server& server = this->servers[id];
  server.id = id;
  server.model = model_name(text_in(fields, "model"));
  server.tool = text_in(fields, "tool");
  server.address = *address;
  server.zone = availability_zone(text_in(fields, "availability_zone"));
  server.leaving = text_in(fields, "state") == "leaving";
  server.checks_fencing = flag_in(fields, "checks_fencing");
  return server;
}

std::optional<backend_server> backend_table::find(const backend_server_id& id) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? std::nullopt : std::optional(found->second);
}

std::optional<backend_server> backend_table::acquire_chosen(const backend_server_id& id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return std::nullopt;
  }
  ++found->second.outstanding;
  return found->second;
}

std::optional<backend_server> backend_table::take(const backend_requirement& need,
                                                  const std::vector<backend_server_id>& except,
                                                  timestamp now) {
  const std::lock_guard lock(this->mutex);
  backend_server* best = nullptr;
  for (auto& [id, server] : this->servers) {
    if (!fits(server, need, except, now)) {
      continue;
    }
    if (best == nullptr || server.outstanding < best->outstanding) {
      best = &server;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->outstanding;
  return *best;
}

void backend_table::release_server(const backend_server_id& id, const backend_result& result,
                                   timestamp now) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return;
  }
  backend_server& server = found->second;
  --server.outstanding;
  const bool good = result.outcome == backend_result::kind::finished;
  server.failures = good ? 0 : server.failures + 1;
  if (server.failures >= failures_to_exclude) {
    server.excluded_until = now + exclusion;
    log(event::backend_excluded, {{"server", id.get()}, {"detail", result.detail}});
  }
}

std::vector<backend_server> backend_table::all() const {
  const std::lock_guard lock(this->mutex);
  std::vector<backend_server> out;
  for (const auto& [id, server] : this->servers) {
    out.push_back(server);
  }
  return out;
}

void backend_table::add_server_counts(fleet_view& fleet) const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [id, server] : this->servers) {
    if (server.leaving) {
      continue;
    }
    if (!server.model.get().empty()) {
      ++fleet.servers_by_model[server.model];
    }
    if (!server.tool.empty()) {
      ++fleet.servers_by_tool[server.tool];
    }
  }
}

}  // namespace hawthornlane
