// Schema and parsing of a disk host's settings.
#include "hawthornlane/disk/disk_settings.h"

namespace hawthornlane::disk {
namespace {

std::vector<key_rule> make_schema() {
  using enum value_type;
  return {
      {"host", "memory_mb", integer, false, "128", 16, 1048576, "memory limit of the process, MB"},
      {"disk", "folder", text, true, "", 0, 0, "folder of persistent data"},
      {"disk", "size_mb", integer, true, "", 8, 1048576, "maximum size of the folder, MB"},
      {"disk", "tolerated_losses", integer, false, "1", 0, 8,
       "disk hosts that may fail at once; each turn is stored on twice as many and one"},
      {"disk", "added_sync_time", time, false, "0 ms", 0, 1e6,
       "added to each sync, for tests of a slower disk"},
      {"quotas", "window", time, false, "1 s", 1e3, 3600e6,
       "window over which a client account's calls are counted against its quota"},
      {"quotas", "excess", number, false, "0", 0, 10,
       "part of a quota by which all hosts together may deviate from it within a window"},
      {"quotas", "slack", number, false, "0", 0, 1e6,
       "calls by which all hosts together may deviate further from a quota within a window"},
  };
}

}  // namespace

const std::vector<key_rule>& disk_schema() {
  static const std::vector<key_rule> schema = discovery::with_host_rules(make_schema());
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
  disk_settings settings;
  static_cast<discovery::host_settings&>(settings) = discovery::host_settings_from(values);
  settings.data_folder = values.text("disk", "folder");
  settings.disk_mb = static_cast<std::uint64_t>(values.integer("disk", "size_mb"));
  settings.added_sync_time = values.time("disk", "added_sync_time");
  settings.tolerated_losses =
      static_cast<std::uint32_t>(values.integer("disk", "tolerated_losses"));
  settings.quotas.window = values.time("quotas", "window");
  settings.quotas.excess = values.number("quotas", "excess");
  settings.quotas.slack = values.number("quotas", "slack");
  return settings;
}

}  // namespace hawthornlane::disk
