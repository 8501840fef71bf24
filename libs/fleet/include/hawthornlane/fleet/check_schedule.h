// Who asks the platform's store again, and when. No I/O, clock or randomness.
#pragma once

#include <algorithm>
#include <cstddef>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A watch may go deaf without a sign, so the store is also read at a fixed pace;
/// each read is a call that is paid for, so one host reads for all.
///
/// Every host tells how old the newest read is that it knows of, its own or
/// another's. The host of rank 0 reads when that is `pace` old; each further rank
/// waits `rank_step` longer, so that it takes over when those before it are gone or
/// are turned away by the store. A host that hears nobody reads for itself.
class check_schedule {
public:
  /// With the way from the reader to all hosts, news are everywhere within the two
  /// seconds that the users ask for.
  static constexpr duration pace = std::chrono::milliseconds(850);
  static constexpr duration rank_step = std::chrono::milliseconds(200);
  /// Ranks beyond this wait no longer, or the bound would not hold.
  static constexpr std::size_t last_step = 2;

  /// A read of this host or of another one succeeded at that moment.
  void checked(timestamp at) { this->newest = std::max(this->newest, at); }
  /// A read of this host began; another one is due `pace` later at the earliest.
  void began(timestamp at) { this->tried = at; }

  /// `rank`: this host's place among those that live.
  [[nodiscard]] bool due(timestamp now, std::size_t rank) const {
    const duration wait = pace + rank_step * static_cast<int>(std::min(rank, last_step));
    return now - this->newest >= wait && now - this->tried >= pace;
  }
  [[nodiscard]] duration age(timestamp now) const { return now - this->newest; }

private:
  timestamp newest{};
  timestamp tried{};
};

}  // namespace hawthornlane
