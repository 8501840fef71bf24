// Which host reads the platform's store on behalf of all, and when, and what the reads of all hosts
// tell of the store's outages. No I/O, clock or randomness.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Tells the reads of the store by one host apart.
struct store_read_number {
  /// The host's process.
  std::uint32_t process = 0;
  /// Reads by that process so far. 0: unknown, as hosts of older versions do not send it.
  std::uint32_t count = 0;

  friend bool operator==(const store_read_number&, const store_read_number&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->process, this->count);
  }
};

/// One read of the store, as one host knows it.
struct store_read {
  host_id by;
  store_read_number number;
  /// When it began. For a read of another host this is an estimate: late by the time that messages
  /// took on the way here.
  timestamp at{};
};

/// Each call to the store costs money, and a watch may stop delivering events without an error. So
/// one host reads the store at a fixed interval and sends the result to the others.
///
/// Every host announces the age of the newest read that it knows, and which host made it. The last
/// reader reads again once that read is `read_interval` old. Each other host waits longer,
/// according to its rank, so that the next one takes over when the reader has failed or is refused
/// by the store. A host that receives nothing from others reads for itself.
///
/// The store had an outage if no host has read it for `min_outage` and this host has tried in vain.
/// Since the reads of all hosts count, all hosts in touch with each other find the same outages,
/// whichever of them reads. A host that was cut off from the others, or stopped, finds none: they
/// may have read the store meanwhile.
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
  /// Shortest time without a read that is an outage. Entries expire after three missed reports of
  /// 1.2 s, so none does in a shorter one.
  static constexpr duration min_outage = std::chrono::seconds(2);
  static_assert(min_outage > read_interval + takeover_wait + rank_step * max_rank_steps);
  /// Servers whose entries expired in an outage have written them again this long after its end.
  static constexpr duration renewal_time = std::chrono::seconds(2);
  /// From a read until its result has reached all hosts.
  static constexpr duration spread_time = std::chrono::milliseconds(300);
  /// A host that no other one has reached for this long may be cut off.
  static constexpr duration max_silence = std::chrono::milliseconds(1000);

  /// The newest outage that this host knows of.
  struct outage {
    /// The last read before it.
    timestamp last_read{};
    /// The read that ended it.
    timestamp back_at{};
    /// An entry that is missing since counts as removed from this time on: `unknown` until a host
    /// has read the store after the renewal time.
    timestamp removals_final_at = unknown;
  };
  static constexpr timestamp unknown = timestamp::max();
  /// Called when an outage has ended, and when it is known when removals are final.
  using outage_hook = std::function<void(const outage&)>;

  store_read_schedule(host_id host, timestamp started)
      : self(std::move(host)),
        process(static_cast<std::uint32_t>(started.time_since_epoch().count())),
        last_attempt(started) {}

  void on_outage_changed(outage_hook hook) { this->outage_changed = std::move(hook); }
  /// A read of the store by this host succeeded; it began at that time.
  void record_own_read(timestamp at) {
    this->record_read({this->self, {this->process, ++this->own_reads}, at});
  }
  /// A read of the store succeeded, at this host or by the report of another one. Reports of a
  /// known read can only show that it is older than this host thought: otherwise a read whose
  /// reports wait on their way would stay new for as long as hosts pass them on.
  void record_read(const store_read& read) {
    known_read& known = this->reads[{read.by, read.number.process}];
    if (read.number.count == 0) {
      known.at = std::max(known.at, read.at);
    } else if (read.number.count > known.count) {
      known = {read.number.count, read.at};
    } else if (read.number.count == known.count) {
      this->note_restated(read.at - known.at);
      known.at = std::min(known.at, read.at);
    }
    this->update_newest();
  }
  /// A read by this host has failed.
  void record_failure(timestamp now) { this->last_failure = now; }
  /// Another host's message has arrived. Call this after `record_read` for what it reports.
  void record_contact(timestamp now) {
    if (this->last_contact != timestamp{} && now - this->last_contact >= max_silence) {
      this->contact_regained_at = now;
    }
    this->last_contact = now;
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
    const bool is_reader = this->newest.by == this->self;
    return now - this->newest.at >= (is_reader ? read_interval : read_interval + wait) &&
           (!this->has_attempted || now - this->last_attempt >= read_interval);
  }
  [[nodiscard]] duration age(timestamp now) const { return now - this->newest.at; }
  /// The newest read; valid only if `heard`.
  [[nodiscard]] const store_read& newest_read() const { return this->newest; }
  [[nodiscard]] timestamp last_read() const { return this->newest.at; }
  [[nodiscard]] const host_id& last_reader() const { return this->newest.by; }
  /// Reports that date a read later than this host already knew it.
  [[nodiscard]] std::uint64_t restated_count() const { return this->restated; }
  /// The largest difference of such a report from the known time since the last call.
  duration take_restated_by() { return std::exchange(this->restated_by, {}); }
  /// True once any host's read has been recorded.
  [[nodiscard]] bool heard() const { return this->has_read; }
  /// The host whose schedule this is.
  [[nodiscard]] const host_id& owner() const { return this->self; }

private:
  /// The newest read by one process.
  struct known_read {
    std::uint32_t count = 0;
    timestamp at{};
  };
  /// Reads that are older are forgotten.
  static constexpr duration known_read_time = std::chrono::minutes(1);

  void update_newest() {
    const timestamp before = this->newest.at;
    std::erase_if(this->reads,
                  [before](const auto& item) { return item.second.at + known_read_time < before; });
    const auto best =
        std::max_element(this->reads.begin(), this->reads.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    if (best == this->reads.end()) {
      return;
    }
    const auto& [reader, known] = *best;
    this->newest = {reader.first, {reader.second, known.count}, known.at};
    if (known.at > before) {
      this->note_newer_read(before, known.at);
    }
  }
  /// Finds out what the time between two reads tells of an outage.
  void note_newer_read(timestamp before, timestamp at) {
    const bool first = !std::exchange(this->has_read, true);
    const bool may_be_outage = !first && at - before >= min_outage && this->last_failure > before;
    if (may_be_outage && !this->was_cut_off(before, at)) {
      this->newest_outage = {before, at, unknown};
      this->outage_changed(this->newest_outage);
      return;
    }
    const bool is_open = this->newest_outage.removals_final_at == unknown;
    if (is_open && at - this->newest_outage.back_at >= renewal_time) {
      this->newest_outage.removals_final_at = at + spread_time;
      this->outage_changed(this->newest_outage);
    }
  }
  void note_restated(duration later) {
    if (later > duration::zero()) {
      ++this->restated;
      this->restated_by = std::max(this->restated_by, later);
    }
  }
  /// Whether this host lost contact with the others in the time between two reads. Hosts that had
  /// gone before it are not missed.
  [[nodiscard]] bool was_cut_off(timestamp before, timestamp now) const {
    const bool lost_since = this->last_contact >= before - max_silence;
    return this->contact_regained_at > before ||
           (lost_since && now - this->last_contact >= max_silence);
  }

  host_id self;
  /// Distinguishes the reads of this process from those of earlier ones of this host.
  std::uint32_t process;
  std::uint32_t own_reads = 0;
  std::map<std::pair<host_id, std::uint32_t>, known_read> reads;
  /// Invariant: the newest of `reads`.
  store_read newest;
  timestamp last_attempt;
  timestamp last_failure{};
  timestamp last_contact{};
  /// The end of the latest silence of `max_silence` or longer.
  timestamp contact_regained_at{};
  bool has_read = false;
  bool has_attempted = false;
  std::uint64_t restated = 0;
  duration restated_by{};
  outage newest_outage{{}, {}, {}};
  outage_hook outage_changed = [](const outage&) {};
};

}  // namespace hawthornlane
