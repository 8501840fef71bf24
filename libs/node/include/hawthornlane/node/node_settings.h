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

/// Everything that one daemon is told at its start.
struct node_settings {
  host_id host;
  availability_zone zone;
  /// Where callers and operators connect.
  http::endpoint listen;
  /// Where other hosts connect, "IP:port".
  std::string peer_listen;
  http::endpoint platform;
  /// Other hosts' peer addresses, for a start while the platform is down.
  std::vector<std::string> seeds;
  std::string operator_credential;
  std::uint32_t workers = 2;
  std::uint32_t shards = 64;
  std::uint32_t replicas = 2;
  /// How long callers may keep an address answer.
  duration address_time{};
  /// How long answers of an ended program can still be fetched.
  duration keep_answers{};
  /// How long a leaving backend server may still get the calls of a batch.
  duration suspicion{};
  std::uint64_t largest_body = 0;
  log_format log = log_format::text;
};

/// The keys that a settings file may hold.
const std::vector<key_rule>& node_schema();

/// Reads and checks a settings text; on failure nothing, with every problem.
std::optional<node_settings> read_node_settings(std::string_view text,
                                                std::vector<ini_problem>& problems);

}  // namespace hawthornlane
