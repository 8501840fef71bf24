// Selects the route of a call: by host name, then by the longest path prefix.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/fleet/configuration.h"

namespace hawthornlane {

/// A configuration with an index over its routes. Immutable, so that a call keeps the configuration
/// that it started with.
class route_table {
public:
  explicit route_table(configuration source);

  /// Returns the route with the longest prefix of `path`; null when there is none. Case is ignored
  /// in `host_name`.
  [[nodiscard]] const route* find(std::string_view host_name, std::string_view path) const;
  /// Selects the service for a call by weight. Calls that belong together pass the same
  /// `group_hash`, so that a program stays with one service.
  [[nodiscard]] static const service_name& choose_service(const route& from,
                                                          std::uint64_t group_hash);
  [[nodiscard]] const service* find_service(const service_name& name) const;

  [[nodiscard]] const configuration& source() const { return this->config; }
  [[nodiscard]] config_version version() const { return this->config.version; }

private:
  configuration config;
  /// Routes by lower-case host name and path prefix; pointers into `config`.
  std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>> by_host;
};

using route_table_ptr = std::shared_ptr<const route_table>;

}  // namespace hawthornlane
