// Messages between front hosts and their wire format.
#include "hawthornlane/front/gossip_messages.h"

#include <xxhash.h>

namespace hawthornlane::front {

host_key host_key_of(const host_id& host) {
  return host_key(XXH32(host.get().data(), host.get().size(), 0));
}

std::string bytes_of(const probe_message& message) {
  return to_bytes(message) + to_bytes(message.crash_checksum) +
         to_bytes(message.digest.store_read_id);
}

std::optional<probe_message> probe_message_from(const std::string& bytes) {
  if (auto parts = from_bytes_with_tails<probe_message, std::uint64_t, store_read_number>(bytes)) {
    auto& [message, crash_checksum, read_id] = *parts;
    message.crash_checksum = crash_checksum;
    message.digest.store_read_id = read_id;
    return std::move(message);
  }
  auto digest = from_bytes<gossip_digest>(bytes);
  if (!digest) {
    return std::nullopt;
  }
  return probe_message{std::move(*digest), {}};
}

std::string backend_snapshot_bytes(const registry_snapshot<backend_entry>& snapshot) {
  snapshot_versions tail;
  for (const backend_entry& entry : snapshot.entries) {
    tail.versions.push_back(entry.version);
  }
  return to_bytes(snapshot) + to_bytes(tail);
}

std::optional<registry_snapshot<backend_entry>> backend_snapshot_from(const std::string& bytes) {
  auto both = from_bytes_with_tail<registry_snapshot<backend_entry>, snapshot_versions>(bytes);
  if (!both) {
    return std::nullopt;
  }
  auto& [snapshot, tail] = *both;
  const bool has_versions = tail.versions.size() == snapshot.entries.size();
  for (std::size_t number = 0; has_versions && number < tail.versions.size(); ++number) {
    snapshot.entries[number].version = std::move(tail.versions[number]);
  }
  return std::move(snapshot);
}

}  // namespace hawthornlane::front
