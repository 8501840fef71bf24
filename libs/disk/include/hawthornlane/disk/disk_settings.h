// Settings of a disk host on the users' platform.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/discovery/host_settings.h"
#include "hawthornlane/limits/quota_manager.h"

namespace hawthornlane::disk {

/// The settings of one disk host, read at start.
struct disk_settings : discovery::host_settings {
  /// Folder of persistent data; nothing else survives the process.
  std::string data_folder;
  std::uint64_t disk_mb = 0;
  /// Added to each sync, for tests of a disk that is slower than the host's.
  duration added_sync_time{};
  /// Number of disk hosts that may fail at the same time.
  std::uint32_t tolerated_losses = 1;
  /// How far usage may deviate from client accounts' quotas.
  quota_tolerance quotas;
};

/// The keys that a disk host's settings file may contain.
const std::vector<key_rule>& disk_schema();

/// Parses and validates a settings text. On failure returns nothing and appends every problem
/// to `problems`.
std::optional<disk_settings> read_disk_settings(std::string_view text,
                                                std::vector<ini_problem>& problems);

}  // namespace hawthornlane::disk
