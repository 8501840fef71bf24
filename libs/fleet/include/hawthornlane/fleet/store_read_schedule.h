// Which host reads the platform's store on behalf of all, and when. No I/O, clock or randomness.
#pragma once

#include <algorithm>
#include <cstddef>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Each call to the store costs money, and a watch may stop delivering events without an error. So
/// one host reads the store at a fixed interval and sends the result to the others.
///
/// Every host announces the age of the newest read that it knows, and which host made it. The last
/// reader reads again once that read is `pace` old. Each other host waits longer, according to its
/// rank, so that the next one takes over when the reader has failed or is refused by the store. A
/// host that receives nothing from others reads for itself.
class store_read_schedule {
public:
  /// Leaves time to reach all hosts within the two seconds that users require, even if the reader
  /// has just failed.
  static constexpr duration pace = std::chrono::milliseconds(850);
  static constexpr duration takeover_wait = std::chrono::milliseconds(200);
  /// Between two ranks: longer than a read and the distribution of its result take.
  static constexpr duration rank_step = std::chrono::milliseconds(40);
  static constexpr std::size_t last_step = 10;
  /// A host without any state first waits for its peers to send it.
  static constexpr duration first_wait = std::chrono::milliseconds(120);

  store_read_schedule(host_id own, timestamp started) : self(std::move(own)), tried(started) {}

  /// That host's read of the store succeeded at that time.
  void record_read(const host_id& by, timestamp at) {
    if (at > this->newest) {
      this->newest = at;
      this->reader = by;
      this->known = true;
    }
  }
  /// A read by this host started; the next one is due after `pace` at the earliest.
  void began(timestamp at) {
    this->tried = at;
    this->has_tried = true;
  }

  /// True when this host should read the store. `rank`: this host's position among the live hosts,
  /// from 0.
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
