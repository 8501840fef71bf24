// Logs each unreadable object of the platform's store once.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/platform_adapter/store_objects.h"

namespace hawthornlane::discovery {

/// Logs an unreadable object once and not at each read. It is logged again only if its fault
/// changes, or if it was readable in between.
class object_faults {
public:
  /// Maximum of unreadable objects tracked per kind. More of them are ignored and not logged,
  /// so that other writers cannot make the log or the memory grow without bound.
  static constexpr std::size_t max_tracked = 256;
  /// Object names are cut to this length in the log and in memory, bytes.
  static constexpr std::size_t max_name_length = 128;

  /// Takes all faults found by one read of a kind.
  void note(platform_adapter::object_kind kind,
            const std::vector<platform_adapter::object_fault>& found);
  /// Number of faults logged since start.
  [[nodiscard]] std::uint64_t count() const { return this->logged; }

private:
  struct known_fault {
    std::string name;
    std::string detail;

    friend auto operator<=>(const known_fault&, const known_fault&) = default;
  };

  /// Faults found by the last read of each kind.
  std::map<platform_adapter::object_kind, std::set<known_fault>> known;
  std::uint64_t logged = 0;
};

}  // namespace hawthornlane::discovery
