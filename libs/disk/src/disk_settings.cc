// A disk host's settings and their checks.
#include "hawthornlane/disk/disk_settings.h"

namespace hawthornlane::disk {
namespace {

std::vector<key_rule> make_schema() {
  using enum value_type;
  return {
      {"host", "name", name, true, "", 0, 0, "name of this host, unique in the deployment"},
      {"host", "availability_zone", name, true, "", 0, 0, "zone that this host is in"},
      {"host", "region", name, true, "", 0, 0, "region that this host is in"},
      {"disk", "folder", text, true, "", 0, 0, "folder whose contents outlive the process"},
      {"disk", "size_mb", integer, true, "", 8, 1048576, "what the folder may take, MB"},
      {"disk", "tolerated_losses", integer, false, "1", 0, 8,
       "disk hosts that may be lost at once; twice as many and one keep each turn"},
      {"peers", "listen", address, true, "", 0, 0, "where other hosts connect"},
      {"metrics", "listen", address, true, "", 0, 0, "where metrics are read"},
      {"platform", "address", address, true, "", 0, 0, "the platform's store"},
  };
}

}  // namespace

const std::vector<key_rule>& disk_schema() {
  static const std::vector<key_rule> schema = make_schema();
  return schema;
}

std::optional<disk_settings> read_disk_settings(std::string_view text,
                                                std::vector<ini_problem>& problems) {
  std::vector<ini_problem> found;
  const checked_values values = check_ini(read_ini(text), disk_schema(), found);
  if (!found.empty()) {
    problems.insert(problems.end(), found.begin(), found.end());
    return std::nullopt;
  }
  const auto address = [&values](const char* section, const char* key) {
    return *http::endpoint_from_string(values.text(section, key));
  };
  disk_settings settings;
  settings.host = host_id(values.text("host", "name"));
  settings.zone = availability_zone(values.text("host", "availability_zone"));
  settings.region = values.text("host", "region");
  settings.data_folder = values.text("disk", "folder");
  settings.disk_mb = static_cast<std::uint64_t>(values.integer("disk", "size_mb"));
  settings.tolerated_losses =
      static_cast<std::uint32_t>(values.integer("disk", "tolerated_losses"));
  settings.peers_at = address("peers", "listen");
  settings.metrics_at = address("metrics", "listen");
  settings.store = address("platform", "address");
  return settings;
}

}  // namespace hawthornlane::disk
