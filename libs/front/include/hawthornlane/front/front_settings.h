// Settings of a front host on the users' platform.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/discovery/host_settings.h"

namespace hawthornlane::front {

/// Everything that one front host is told at its start.
struct front_settings : discovery::host_settings {
  /// Where callers connect, where the platform asks for readiness, and where callers
  /// ask for addresses.
  http::endpoint callers_at;
  http::endpoint ready_at;
  http::endpoint directory_at;
  /// How long callers may keep an answer of the directory.
  duration address_time{};
  /// Between the request to stop and the kill.
  duration grace{};
  /// Memory that the process may use.
  std::uint64_t memory_mb = 0;
  /// Callers may want more than the servers can do, and servers may differ: the speed of servers
  /// is learned.
  bool contended = false;
  /// A call for a server that is full waits for a place at the server's keeper.
  bool claims_places = false;
};

/// The keys that a settings file may hold.
const std::vector<key_rule>& front_schema();

/// Reads and checks a settings text; on failure nothing, with every problem.
std::optional<front_settings> read_front_settings(std::string_view text,
                                                  std::vector<ini_problem>& problems);

}  // namespace hawthornlane::front
