// Caches the encoded message of this host's probes and probe answers. No I/O or clock.
#pragma once

#include <cstddef>
#include <string>

#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Encodes the message once for many probes. When many hosts start, each sends some hundred probes
/// and as many answers at once, and encoding one visits all peers and all services.
class probe_encoder {
public:
  [[nodiscard]] bool is_stale() const { return this->bytes.empty(); }
  /// Marks the message stale because its content has changed or may have changed.
  void mark_stale() { this->bytes.clear(); }
  /// Encodes `message` as of `now`.
  void update(const probe_message& message, timestamp now);
  /// The message with the age of the newest store read as of `now`. Ages reported too low would
  /// keep a read fresh forever as hosts pass it on. Precondition: not stale.
  [[nodiscard]] const std::string& encoded(timestamp now);

private:
  std::string bytes;
  /// Offset of the age of the newest read. Invariant: 8 bytes within `bytes`, unless stale.
  std::size_t age_offset = 0;
  /// Time of the newest read; valid only if `has_read`.
  timestamp read_at{};
  bool has_read = false;
};

}  // namespace hawthornlane::front
