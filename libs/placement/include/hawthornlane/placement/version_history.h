// The software versions of a service's servers that a host has known lately. No I/O, clock or
// randomness.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Tells whether a stream whose origin is not stored can have begun at one version only.
class version_history {
public:
  /// The versions of all known servers of the service, draining ones included, from now on.
  void record(const std::set<software_version>& known, timestamp now) {
    if (!this->known_since) {
      this->known_since = now;
    }
    for (const software_version& version : this->current) {
      if (!known.contains(version)) {
        this->ended[version] = now;
      }
    }
    this->current = known;
  }

  /// The only version that servers have had since `since`. Nothing if they had several, if a
  /// version is not known, or if this host has not known the servers for so long.
  [[nodiscard]] std::optional<software_version> only_since(timestamp since) const {
    if (!this->known_since || *this->known_since > since || this->current.size() != 1) {
      return std::nullopt;
    }
    const software_version& only = *this->current.begin();
    for (const auto& [version, until] : this->ended) {
      if (version != only && until >= since) {
        return std::nullopt;
      }
    }
    return only.get().empty() ? std::nullopt : std::optional(only);
  }

private:
  std::optional<timestamp> known_since;
  std::set<software_version> current;
  /// Versions that were current once, and when they last ceased to be.
  std::map<software_version, timestamp> ended;
};

}  // namespace hawthornlane
