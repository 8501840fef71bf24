// Messages between front hosts and their wire format.
#include "hawthornlane/front/gossip_messages.h"

#include <xxhash.h>

namespace hawthornlane::front {

host_key host_key_of(const host_id& host) {
  return host_key(XXH32(host.get().data(), host.get().size(), 0));
}

std::optional<probe_message> probe_message_from(const std::string& bytes) {
  if (auto whole = from_bytes<probe_message>(bytes)) {
    return whole;
  }
  auto digest = from_bytes<gossip_digest>(bytes);
  if (!digest) {
    return std::nullopt;
  }
  return probe_message{std::move(*digest), {}};
}

}  // namespace hawthornlane::front
