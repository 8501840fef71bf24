// Settings of a front host.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/discovery/host_settings.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane::front {

/// All settings of one front host.
struct front_settings : discovery::host_settings {
  /// Listen addresses: for callers, for readiness checks of the platform, and for callers that
  /// look up addresses.
  http::endpoint callers_at;
  http::endpoint ready_at;
  http::endpoint directory_at;
  /// How long callers may cache an address answer.
  duration address_time{};
  /// Time between the request to stop and the kill.
  duration grace{};
  /// Whether callers may demand more than the servers can serve, and servers may differ in speed.
  /// The speed of each server is then learned.
  bool contended = false;
  /// Whether a call for a full server queues at the directory host of that server.
  bool claims_places = false;

  /// The rules for the servers that follow from these settings.
  [[nodiscard]] pool_rules pool() const;
};

/// Keys and their rules for the settings file.
const std::vector<key_rule>& front_schema();

/// Parses and checks a settings text; `nullopt` on failure, with all problems appended to
/// `problems`.
std::optional<front_settings> read_front_settings(std::string_view text,
                                                  std::vector<ini_problem>& problems);

}  // namespace hawthornlane::front
