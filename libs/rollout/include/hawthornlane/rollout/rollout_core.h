// Tracks the generations of service documents on one host. They only increase.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A document in force, its generation, and when this host adopted it.
struct document_in_force {
  generation at;
  std::string text;
  timestamp since;
};

/// The result of offering a document.
enum class offer_outcome : std::uint8_t {
  adopted,
  already_in_force,
  /// Its generation is lower than the one in force: it came from a stale cache or a store
  /// restored from a backup.
  older_ignored,
  /// The same generation with another text: there were two writers, or a restored store
  /// continued from an older state. The document in force stays.
  conflicting_ignored,
};

/// Decides which generation of each document is in force on this host. Uses no I/O, clock or
/// random numbers.
///
/// Guarantee: the generation of a service never decreases while the process runs, and `ready`
/// stays false until the current generations have been received from the platform or from a
/// peer that is ready.
class rollout_core {
public:
  offer_outcome offer(const service_name& service, generation at, const std::string& text,
                      timestamp now);
  /// Call this after the whole list of the platform, or of a ready peer, has been offered.
  void mark_complete() { this->complete = true; }
  [[nodiscard]] bool ready() const { return this->complete; }

  [[nodiscard]] const std::map<service_name, document_in_force>& documents() const {
    return this->in_force;
  }
  /// Equal on two hosts exactly when they have the same generations with the same texts.
  [[nodiscard]] std::uint64_t digest() const;
  /// Services whose generation is missing in `theirs` or lower there than here.
  [[nodiscard]] std::vector<service_name> newer_than(
      const std::map<service_name, generation>& theirs) const;

private:
  /// Invariant: generations only increase.
  std::map<service_name, document_in_force> in_force;
  bool complete = false;
};

}  // namespace hawthornlane
