// The bytes of this host's probes, encoded once for many of them.
#include "hawthornlane/front/probe_encoder.h"

#include <cstdint>
#include <cstring>

namespace hawthornlane::front {

void probe_encoder::renew(const probe_message& message, timestamp now) {
  const gossip_digest& digest = message.digest;
  this->bytes = to_bytes(message);
  // The age is the last field of fixed size, before the demand and the suspected hosts.
  const std::size_t after = to_bytes(digest.demand).size() + to_bytes(message.suspected).size();
  this->age_at = this->bytes.size() - after - sizeof(std::int64_t);
  this->checked_at = now - digest.store_read_age;
  this->has_checked = !digest.store_read_by.get().empty();
}

const std::string& probe_encoder::encoded(timestamp now) {
  if (this->has_checked) {
    const std::int64_t age = (now - this->checked_at).count();
    std::memcpy(this->bytes.data() + this->age_at, &age, sizeof(age));
  }
  return this->bytes;
}

}  // namespace hawthornlane::front
