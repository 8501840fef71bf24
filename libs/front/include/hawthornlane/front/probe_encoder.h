// The bytes of this host's probes and answers to probes, encoded once for many of them. No I/O or
// clock.
#pragma once

#include <cstddef>
#include <string>

#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Answers a start of many hosts: each sends some hundred probes and as many answers at once, and
/// to encode one means to look at all other hosts and all services.
class probe_encoder {
public:
  [[nodiscard]] bool is_stale() const { return this->bytes.empty(); }
  /// What the message says has changed, or may have.
  void expire() { this->bytes.clear(); }
  /// `message` as of `now`.
  void renew(const probe_message& message, timestamp now);
  /// The message with the age that the newest read of the store has by now: ages that were told
  /// too low would keep a read young for ever, from host to host. Not while stale.
  [[nodiscard]] const std::string& encoded(timestamp now);

private:
  std::string bytes;
  /// Where the age of the newest read begins. Invariant: 8 bytes of `bytes`, unless stale.
  std::size_t age_at = 0;
  /// When the newest read was; its age is told only when there is one.
  timestamp checked_at{};
  bool has_checked = false;
};

}  // namespace hawthornlane::front
