// Settings of a disk host on the users' platform.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/discovery/host_settings.h"
#include "hawthornlane/limits/quota_manager.h"

namespace hawthornlane::disk {

/// Everything that one disk host is told at its start.
struct disk_settings : discovery::host_settings {
  /// The one folder whose contents outlive the process.
  std::string data_folder;
  std::uint64_t disk_mb = 0;
  /// Disk hosts that may be lost at the same time.
  std::uint32_t tolerated_losses = 1;
  /// How exactly client accounts' quotas have to be kept.
  quota_tolerance quotas;
};

/// The keys that a settings file may hold.
const std::vector<key_rule>& disk_schema();

/// Reads and checks a settings text; on failure nothing, with every problem.
std::optional<disk_settings> read_disk_settings(std::string_view text,
                                                std::vector<ini_problem>& problems);

}  // namespace hawthornlane::disk
