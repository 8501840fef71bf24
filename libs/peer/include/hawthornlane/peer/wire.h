// Converts typed messages to bytes and back.
#pragma once

#include <optional>
#include <string>

#include "hawthornlane/membership/messages.h"
#include "hawthornlane/ownership/messages.h"

namespace hawthornlane {

std::string to_bytes(const shard_message& message);
/// Returns nothing when the bytes are not a complete message, as do the functions below.
std::optional<shard_message> shard_message_from_bytes(const std::string& bytes);
std::string to_bytes(const probe_message& message);
std::optional<probe_message> probe_from_bytes(const std::string& bytes);
/// A shard's log in the form stored on disk.
std::string to_bytes(const log_snapshot& log);
std::optional<log_snapshot> log_snapshot_from_bytes(const std::string& bytes);

}  // namespace hawthornlane
