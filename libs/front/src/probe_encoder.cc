// Caches the encoded message of this host's probes and probe answers.
#include "hawthornlane/front/probe_encoder.h"

#include <cstdint>
#include <cstring>

namespace hawthornlane::front {

void probe_encoder::update(const probe_message& message, timestamp now) {
  const gossip_digest& digest = message.digest;
  this->bytes = bytes_of(message);
  // The age is the last field before the demand and what follows the digest, which vary in size.
  const std::size_t after =
      to_bytes(digest.demand).size() + this->bytes.size() - to_bytes(digest).size();
  this->age_offset = this->bytes.size() - after - sizeof(std::int64_t);
  this->read_at = now - digest.store_read_age;
  this->has_read = !digest.store_read_by.get().empty();
}

const std::string& probe_encoder::encoded(timestamp now) {
  if (this->has_read) {
    const std::int64_t age = (now - this->read_at).count();
    std::memcpy(this->bytes.data() + this->age_offset, &age, sizeof(age));
  }
  return this->bytes;
}

}  // namespace hawthornlane::front
