// Settings that hosts of all roles have on the users' platform.
#include "hawthornlane/discovery/host_settings.h"

namespace hawthornlane::discovery {

std::vector<key_rule> with_host_rules(std::vector<key_rule> rules) {
  using enum value_type;
  const std::vector<key_rule> common = {
      {"host", "name", name, true, "", 0, 0, "name of this host, unique in the deployment"},
      {"host", "availability_zone", name, true, "", 0, 0, "zone that this host is in"},
      {"host", "region", name, true, "", 0, 0, "region that this host is in"},
      {"host", "max_descriptors", integer, false, "0", 0, 1048576,
       "descriptors that the process may open, files included; 0: the kernel's limit of the "
       "process"},
      {"peers", "listen", address, true, "", 0, 0,
       "address on which this host listens for other hosts"},
      {"peers", "advertise", address, false, "", 0, 0,
       "address to which other hosts connect, if it differs from the one listened on"},
      {"metrics", "listen", address, true, "", 0, 0, "address on which metrics are served"},
      {"platform", "address", address, true, "", 0, 0, "address of the platform's store"},
  };
  rules.insert(rules.end(), common.begin(), common.end());
  return rules;
}

http::endpoint address_of(const checked_values& values, const char* section, const char* key) {
  return *http::endpoint_from_string(values.text(section, key));
}

host_settings host_settings_from(const checked_values& values) {
  host_settings settings;
  settings.host = host_id(values.text("host", "name"));
  settings.zone = availability_zone(values.text("host", "availability_zone"));
  settings.region = values.text("host", "region");
  settings.peers_at = address_of(values, "peers", "listen");
  settings.peers_advertised = settings.peers_at;
  if (!values.text("peers", "advertise").empty()) {
    settings.peers_advertised = address_of(values, "peers", "advertise");
  }
  settings.metrics_at = address_of(values, "metrics", "listen");
  settings.store = address_of(values, "platform", "address");
  settings.memory_mb = static_cast<std::uint64_t>(values.integer("host", "memory_mb"));
  settings.max_descriptors = static_cast<std::uint64_t>(values.integer("host", "max_descriptors"));
  return settings;
}

}  // namespace hawthornlane::discovery
