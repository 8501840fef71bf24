// Settings of the daemon.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/ownership/rules.h"
#include "hawthornlane/settings/schema.h"
#include "hawthornlane/telemetry/log.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// The settings of one daemon, read at its start.
struct node_settings {
  host_id host;
  availability_zone zone;
  /// Listening address for callers and operators.
  http::endpoint listen;
  /// Listening address for other hosts, "IP:port".
  std::string peer_listen;
  http::endpoint platform;
  /// Peer addresses of other hosts, tried at a start while the platform is down.
  std::vector<std::string> seeds;
  std::string operator_credential;
  /// Memory limit of the process, MB.
  std::uint64_t memory_mb = 0;
  /// Limit of open descriptors; 0: the kernel's limit of the process.
  std::uint64_t max_descriptors = 0;
  std::uint32_t workers = 2;
  std::uint32_t shards = 64;
  std::uint32_t replicas = 2;
  /// How long callers may use the address of a host after they received it.
  duration address_time{};
  /// How long the answers of an ended program can still be fetched.
  duration keep_answers{};
  /// How long a host that does not respond is suspected before it counts as gone.
  duration suspicion{};
  /// Largest request body, bytes.
  std::uint64_t largest_body = 0;
  log_format log = log_format::text;
};

/// The keys that a settings file may contain.
const std::vector<key_rule>& node_schema();

/// Reads and checks the text of a settings file. On failure it returns nothing and appends
/// every problem to `problems`.
std::optional<node_settings> read_node_settings(std::string_view text,
                                                std::vector<ini_problem>& problems);

}  // namespace hawthornlane
