// Which route a call takes: by host name, then by the longest path prefix.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/fleet/configuration.h"

namespace hawthornlane {

/// A configuration with an index over its routes. Immutable, so that a call keeps
/// the one it began with.
class route_table {
public:
  explicit route_table(configuration source);

  /// The route of the longest prefix that begins `path`; null when none does.
  /// `host_name` is compared without letter case.
  [[nodiscard]] const route* find(std::string_view host_name, std::string_view path) const;
  /// The service for a call; `draw` is any number that stays the same for calls
  /// that belong together, so that a program keeps its service.
  [[nodiscard]] static const service_name& choose_service(const route& from, std::uint64_t draw);
  [[nodiscard]] const service* find_service(const service_name& name) const;

  [[nodiscard]] const configuration& source() const { return this->config; }
  [[nodiscard]] config_version version() const { return this->config.version; }

private:
  configuration config;
  /// Prefixes of each host name in lower case; points into `config`.
  std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>> by_host;
};

using route_table_ptr = std::shared_ptr<const route_table>;

}  // namespace hawthornlane
