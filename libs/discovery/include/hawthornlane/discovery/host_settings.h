// Settings that every host of the users' platform has, whatever its role.
#pragma once

#include <string>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/settings/schema.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane::discovery {

/// Who a host is, and where it meets the others.
struct host_settings {
  host_id host;
  availability_zone zone;
  std::string region;
  /// Where this host listens for other hosts.
  http::endpoint peers_at;
  /// Where other hosts connect; differs from `peers_at` behind a forwarder.
  http::endpoint peers_advertised;
  http::endpoint metrics_at;
  http::endpoint store;
};

/// The rules of these settings, to which a role adds its own.
std::vector<key_rule> with_host_rules(std::vector<key_rule> rules);

/// The address under a key that its schema declares as one and requires.
http::endpoint address_of(const checked_values& values, const char* section, const char* key);

/// Reads the settings of every host out of values that were checked.
host_settings host_settings_from(const checked_values& values);

}  // namespace hawthornlane::discovery
