// Who reads the platform's store for all, and when. No I/O, clock or randomness.
#pragma once

#include <algorithm>
#include <cstddef>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Each call to the store is paid for, and a watch may go deaf without a sign: so
/// one host reads at a fixed pace and tells the others.
///
/// Every host tells how old the newest read is that it knows of, and whose it was.
/// Who read last reads again once that is `pace` old. The others wait longer, each
/// by its rank, so that the next one takes over when the reader is gone or is turned
/// away by the store. A host that hears nobody reads for itself.
class store_read_schedule {
public:
  /// With the way from the reader to all hosts, news are everywhere within the two
  /// seconds that the users ask for, also when the reader has just died.
  static constexpr duration pace = std::chrono::milliseconds(850);
  static constexpr duration takeover_wait = std::chrono::milliseconds(200);
  /// Between two ranks: longer than a read and the news of it take.
  static constexpr duration rank_step = std::chrono::milliseconds(40);
  static constexpr std::size_t last_step = 10;
  /// A host that knows nothing yet lets its peers tell it first.
  static constexpr duration first_wait = std::chrono::milliseconds(120);

  store_read_schedule(host_id own, timestamp started) : self(std::move(own)), tried(started) {}

  /// A read of that host succeeded at that moment.
  void record_read(const host_id& by, timestamp at) {
    if (at > this->newest) {
      this->newest = at;
      this->reader = by;
      this->known = true;
    }
  }
  /// A read of this host began; another one is due `pace` later at the earliest.
  void began(timestamp at) {
    this->tried = at;
    this->has_tried = true;
  }

  /// `rank`: this host's place among those that live.
  [[nodiscard]] bool due(timestamp now, std::size_t rank) const {
    const duration wait = takeover_wait + rank_step * static_cast<int>(std::min(rank, last_step));
    if (!this->known) {
      const duration first = first_wait + rank_step * static_cast<int>(std::min(rank, last_step));
      return now - this->tried >= (this->has_tried ? pace : first);
    }
    const bool own_turn = this->reader == this->self;
    return now - this->newest >= (own_turn ? pace : pace + wait) &&
           (!this->has_tried || now - this->tried >= pace);
  }
  [[nodiscard]] duration age(timestamp now) const { return now - this->newest; }
  [[nodiscard]] const host_id& last_reader() const { return this->reader; }
  [[nodiscard]] bool heard() const { return this->known; }
  /// The host whose schedule this is.
  [[nodiscard]] const host_id& owner() const { return this->self; }

private:
  host_id self;
  host_id reader;
  timestamp newest{};
  timestamp tried;
  bool known = false;
  bool has_tried = false;
};

}  // namespace hawthornlane
