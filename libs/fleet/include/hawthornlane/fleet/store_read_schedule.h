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
/// reader reads again once that read is `read_interval` old. Each other host waits longer,
/// according to its rank, so that the next one takes over when the reader has failed or is refused
/// by the store. A host that receives nothing from others reads for itself.
class store_read_schedule {
public:
  /// Leaves time to reach all hosts within the two seconds that users require, even if the reader
  /// has just failed.
  static constexpr duration read_interval = std::chrono::milliseconds(850);
  /// Additional wait of hosts other than the last reader.
  static constexpr duration takeover_wait = std::chrono::milliseconds(200);
  /// Additional wait per rank, the position among the live hosts: longer than a read and the
  /// distribution of its result take.
  static constexpr duration rank_step = std::chrono::milliseconds(40);
  static constexpr std::size_t max_rank_steps = 10;
  /// A host without any state first waits for its peers to send it.
  static constexpr duration initial_wait = std::chrono::milliseconds(120);

  store_read_schedule(host_id host, timestamp started)
      : self(std::move(host)), last_attempt(started) {}

  /// That host's read of the store succeeded at that time.
  void record_read(const host_id& by, timestamp at) {
    if (at > this->newest_read) {
      this->newest_read = at;
      this->newest_reader = by;
      this->has_read = true;
    }
  }
  /// A read by this host started; the next one is due after `read_interval` at the earliest.
  void began(timestamp at) {
    this->last_attempt = at;
    this->has_attempted = true;
  }

  /// True when this host should read the store. `rank`: this host's position among the live hosts,
  /// from 0.
  [[nodiscard]] bool due(timestamp now, std::size_t rank) const {
    const duration wait =
        takeover_wait + rank_step * static_cast<int>(std::min(rank, max_rank_steps));
    if (!this->has_read) {
      const duration wait_before_first =
          initial_wait + rank_step * static_cast<int>(std::min(rank, max_rank_steps));
      return now - this->last_attempt >= (this->has_attempted ? read_interval : wait_before_first);
    }
    const bool is_reader = this->newest_reader == this->self;
    return now - this->newest_read >= (is_reader ? read_interval : read_interval + wait) &&
           (!this->has_attempted || now - this->last_attempt >= read_interval);
  }
  [[nodiscard]] duration age(timestamp now) const { return now - this->newest_read; }
  [[nodiscard]] const host_id& last_reader() const { return this->newest_reader; }
  /// True once any host's read has been recorded.
  [[nodiscard]] bool heard() const { return this->has_read; }
  /// The host whose schedule this is.
  [[nodiscard]] const host_id& owner() const { return this->self; }

private:
  host_id self;
  host_id newest_reader;
  timestamp newest_read{};
  timestamp last_attempt;
  bool has_read = false;
  bool has_attempted = false;
};

}  // namespace hawthornlane
