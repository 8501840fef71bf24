// Settings that hosts of all roles have on the users' platform.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/settings/schema.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane::discovery {

/// A host's identity and addresses.
struct host_settings {
  host_id host;
  availability_zone zone;
  std::string region;
  /// Address on which this host listens for other hosts.
  http::endpoint peers_at;
  /// Address to which other hosts connect; differs from `peers_at` behind a forwarder.
  http::endpoint peers_advertised;
  http::endpoint metrics_at;
  http::endpoint store;
  /// Memory limit of the process, MB.
  std::uint64_t memory_mb = 128;
  /// Limit of open descriptors; 0: the kernel's limit of the process.
  std::uint64_t max_descriptors = 0;
};

/// Returns `rules`, the settings keys of one role, with the keys common to all roles appended.
std::vector<key_rule> with_host_rules(std::vector<key_rule> rules);

/// The address under a key. Precondition: the schema requires the key and declares it an
/// address.
http::endpoint address_of(const checked_values& values, const char* section, const char* key);

/// Extracts the common settings from validated values. The role's own rules have `memory_mb`.
host_settings host_settings_from(const checked_values& values);

}  // namespace hawthornlane::discovery
