// Generations of service documents on one host: they only rise.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A document in force.
struct document_in_force {
  generation at;
  std::string text;
  timestamp since;
};

/// What became of a document that was offered.
enum class offer_outcome : std::uint8_t {
  adopted,
  already_in_force,
  /// Lower than the one in force: a stale cache or a restored store.
  older_ignored,
  /// The same generation with another text: two writers, or a restored store
  /// that went on from an older state. The one in force stays.
  conflicting_ignored,
};

/// Which generations this host follows. No I/O, clock or randomness.
///
/// Promise: the generation of a service never falls while the process lives, and
/// `ready` stays false until current generations were heard from the platform
/// or from a peer that is ready.
class rollout_core {
public:
  offer_outcome offer(const service_name& service, generation at, const std::string& text,
                      timestamp now);
  /// The platform's whole list, or a ready peer's, has been offered.
  void mark_complete() { this->complete = true; }
  [[nodiscard]] bool ready() const { return this->complete; }

  [[nodiscard]] const std::map<service_name, document_in_force>& documents() const {
    return this->in_force;
  }
  /// Equal exactly when two hosts follow the same generations of the same texts.
  [[nodiscard]] std::uint64_t digest() const;
  /// Services of which `theirs` is behind this host.
  [[nodiscard]] std::vector<service_name> newer_than(
      const std::map<service_name, generation>& theirs) const;

private:
  /// Invariant: generations only rise.
  std::map<service_name, document_in_force> in_force;
  bool complete = false;
};

}  // namespace hawthornlane
