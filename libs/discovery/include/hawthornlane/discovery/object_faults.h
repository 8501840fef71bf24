// Objects of the platform's store that cannot be read: one line in the log for each.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/platform_adapter/store_objects.h"

namespace hawthornlane::discovery {

/// Tells of each unreadable object once and not at each read: again only when something
/// else is wrong with it, or when it could be read in between.
class object_faults {
public:
  /// Objects of one kind that are followed; what is unreadable beyond them is left out
  /// without a line, so that neither log nor memory grows with what others write.
  static constexpr std::size_t most_followed = 256;
  /// Of a name, in the log and in memory.
  static constexpr std::size_t longest_name = 128;

  /// All that one read of a kind found.
  void note(platform_adapter::object_kind kind,
            const std::vector<platform_adapter::object_fault>& found);
  /// Faults told of since the start.
  [[nodiscard]] std::uint64_t count() const { return this->told; }

private:
  struct known_fault {
    std::string name;
    std::string detail;

    friend auto operator<=>(const known_fault&, const known_fault&) = default;
  };

  /// Of the last read of each kind.
  std::map<platform_adapter::object_kind, std::set<known_fault>> known;
  std::uint64_t told = 0;
};

}  // namespace hawthornlane::discovery
