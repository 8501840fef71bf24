// Records that disks store, and messages between front hosts and disk hosts.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_set.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Milliseconds since 1970 by the host's clock. Compared across hosts and restarts, so the hosts'
/// clocks must be close.
using wall_ms = strong_value<struct wall_ms_tag, std::int64_t>;

/// Progress of a reservation.
enum class reservation_phase : std::uint8_t {
  /// Sent or about to be sent; charged in full.
  open,
  /// Ended; charged with the tokens that were delivered.
  settled,
  /// Provably never sent; not charged.
  withdrawn,
};

/// Tokens that one turn of a program may use, or has used.
struct reservation {
  request_id id;
  /// Upper bound of the turn's tokens.
  token_count most;
  /// Tokens that were delivered, once `settled`.
  token_count used;
  reservation_phase phase = reservation_phase::open;

  /// Tokens charged to the budget.
  [[nodiscard]] token_count charge() const {
    switch (this->phase) {
      case reservation_phase::open:
        return this->most;
      case reservation_phase::settled:
        return this->used;
      case reservation_phase::withdrawn:
        return token_count(0);
    }
    return this->most;
  }

  friend bool operator==(const reservation&, const reservation&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->most, this->used, this->phase);
  }
};

/// What began a stream: all of its events come from servers of this version. Written by the host of
/// the attempt that begins the stream.
struct stream_origin {
  service_name service;
  /// Empty: not known, or two hosts have written different ones.
  software_version version;
  /// Number of the write for this attempt, from 1; a later write replaces an earlier one.
  std::uint32_t write = 0;
  /// For the log: the server that the attempt was sent to; empty if it was written before.
  backend_server_id server;

  /// Number of the write that no other one replaces.
  static constexpr std::uint32_t last_write = std::numeric_limits<std::uint32_t>::max();

  [[nodiscard]] bool is_known() const { return !this->version.get().empty(); }
  [[nodiscard]] bool is_withdrawn() const { return this->write == last_write; }
  friend bool operator==(const stream_origin&, const stream_origin&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->version, this->write, this->server);
  }
};

/// Replaces the origin of a stream that must not go on: a part of it that its caller has is
/// invalid.
inline stream_origin withdrawn_origin() {
  return {service_name(), software_version(), stream_origin::last_write, backend_server_id()};
}

/// Merges two states of an attempt's origin; the order does not matter.
inline stream_origin newest_of(const std::optional<stream_origin>& known,
                               const stream_origin& other) {
  if (!known || known->write < other.write) {
    return other;
  }
  if (known->write > other.write || *known == other) {
    return *known;
  }
  return {service_name(), software_version(), other.write, backend_server_id()};
}

/// One complete turn. Immutable.
struct stored_turn {
  request_id id;
  std::optional<request_id> previous;
  std::string input;
  /// The data of each event, each followed by a line feed.
  std::string output;

  friend bool operator==(const stored_turn&, const stored_turn&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->previous, this->input, this->output);
  }
};

/// One durable record: the latest state of a reservation and, if the turn was completed on a route
/// that keeps turns, its text.
struct ledger_record {
  program_id program;
  reservation state;
  std::optional<stored_turn> turn;
  /// The record may be dropped after this time.
  wall_ms expires_at;
  /// Of a stream that can be resumed. Not part of `serialize`: hosts of older versions neither send
  /// nor store it.
  std::optional<stream_origin> origin;

  friend bool operator==(const ledger_record&, const ledger_record&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->state, this->turn, this->expires_at);
  }
};

/// Methods that disk hosts serve.
enum class ledger_method : std::uint16_t {
  /// Appends a record; returns the program's reservations.
  append = 100,
  /// Returns the program's reservations.
  collect = 101,
  /// Returns a turn's chain.
  chain = 102,
  /// Makes the disk refuse lower epochs.
  fence = 103,
  /// Returns everything that the disk stores, page by page.
  copy = 104,
  /// Returns the disk's identity, its fence and how far it has copied.
  probe = 105,
  /// Takes a call from a client account's quota (`quota_request`).
  quota = 106,
  /// Returns the records of some turns (`turns_request`) that another disk host has missed.
  turns = 107,
};

/// Asks for a record to be appended.
struct append_request {
  set_epoch epoch;
  ledger_record record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->record);
  }
};

/// Follows an `append_request` or a `collect_request`. Hosts of older versions neither send nor
/// read it.
struct origin_request {
  /// Belongs to the record that is to be appended.
  std::optional<stream_origin> origin;
  /// An attempt of the same program whose origin the sender asks for.
  std::optional<request_id> asked;

  [[nodiscard]] bool empty() const { return !this->origin && !this->asked; }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->origin, this->asked);
  }
};

/// Follows a `program_response` if the request asked for an origin.
struct origin_report {
  /// False if the disk's host is of an older version, which does not store origins.
  bool keeps_origins = false;
  std::optional<stream_origin> origin;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->keeps_origins, this->origin);
  }
};

struct collect_request {
  set_epoch epoch;
  program_id program;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->program);
  }
};

/// A disk's reservations of a program.
struct program_response {
  disk_id disk;
  /// The request's epoch is lower than the disk's fence: nothing was done.
  bool stale = false;
  /// The newest set that the disk knows, when `stale`.
  std::optional<ledger_set> newest;
  std::vector<reservation> reservations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->stale, this->newest, this->reservations);
  }
};

struct chain_request {
  set_epoch epoch;
  request_id last;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->last);
  }
};

/// A turn and those before it.
struct chain_response {
  disk_id disk;
  bool stale = false;
  std::optional<ledger_set> newest;
  /// The disk has the turn itself.
  bool known = false;
  /// Oldest first; empty unless the disk has every turn of the chain.
  std::vector<stored_turn> turns;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->stale, this->newest, this->known, this->turns);
  }
};

/// Follows a `chain_request`: the sender puts the chain together from the parts that several disks
/// have. Hosts of older versions neither send nor read it.
struct chain_part_request {
  /// Limit of the part's text, bytes. The turn that is asked for is sent whatever its size.
  std::uint64_t max_bytes = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->max_bytes);
  }
};

/// Follows the `chain_response` to a `chain_part_request`; the response's own `turns` is then
/// empty. Hosts of older versions neither send nor read it.
struct chain_part {
  /// The turn that was asked for and those before it up to the first one that the disk lacks or
  /// that exceeds the limit; oldest first.
  std::vector<stored_turn> turns;
  /// The turn at which the part ends because the disk lacks it.
  std::optional<request_id> lacks;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->turns, this->lacks);
  }
};

/// Makes a disk refuse epochs lower than the set's, and include the set in its refusals. Without
/// the set in the refusal, turns would be refused for 0.2 to 0.4 s at each change of the set, until
/// the front hosts learn of it by watches of the store (95 hosts, watches 0.4 s late).
struct fence_request {
  ledger_set set;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->set);
  }
};

/// The beginning of a `fence_request`. Logs of the first version contain only this, and its hosts
/// send only this.
struct fence_mark {
  set_epoch epoch;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch);
  }
};

struct copy_request {
  /// Empty in the request for the first page.
  program_id after_program;
  request_id after_request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->after_program, this->after_request);
  }
};

/// Number of a change of a replica, counted from the start of its process.
using change_number = strong_value<struct change_number_tag, std::uint64_t>;

/// Follows a `copy_request`: which records the reader lacks. Hosts of older versions neither send
/// nor read it.
struct copy_resumption {
  /// The source's process whose changes `since` counts; 0: none.
  std::uint64_t source_process = 0;
  /// Programs that have not changed after this change are not wanted.
  change_number since;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->source_process, this->since);
  }
};

struct copy_page {
  std::vector<ledger_record> records;
  bool last = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->records, this->last);
  }
};

/// Follows a `copy_page`. Hosts of older versions neither send nor read it.
struct copy_progress {
  /// Differs for each process of the source; 0: the source is of an older version.
  std::uint64_t source_process = 0;
  /// The source's newest change when it made the page.
  change_number newest;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->source_process, this->newest);
  }
};

/// Follows a `copy_progress`: the origins of the page's records. Hosts of older versions neither
/// send nor read it.
struct page_origins {
  struct item {
    /// Position of the record in the page, from 0.
    std::uint32_t record = 0;
    stream_origin origin;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->record, this->origin);
    }
  };
  /// False if the source is of an older version.
  bool is_sent = false;
  std::vector<item> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->is_sent, this->items);
  }
};

inline page_origins origins_of(const copy_page& page) {
  page_origins origins;
  origins.is_sent = true;
  for (std::size_t number = 0; number < page.records.size(); ++number) {
    if (const auto& origin = page.records[number].origin) {
      origins.items.push_back({static_cast<std::uint32_t>(number), *origin});
    }
  }
  return origins;
}

inline void add_origins(const page_origins& origins, copy_page& page) {
  for (const page_origins::item& item : origins.items) {
    if (item.record < page.records.size()) {
      page.records[item.record].origin = item.origin;
    }
  }
}

/// Asks for the records of turns; answered by a `copy_page` and its `page_origins`.
struct turns_request {
  std::vector<request_id> ids;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->ids);
  }
};

struct probe_response {
  disk_id disk;
  set_epoch fence;
  /// Epoch of the latest joint set for which this disk has copied all records; 0: none.
  set_epoch copied;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->fence, this->copied);
  }
};

/// A disk host that has not answered the sender for a while.
struct silent_disk {
  disk_id disk;
  /// The process that the disk host has registered.
  std::uint64_t start = 0;
  std::uint32_t silent_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->start, this->silent_ms);
  }
};

/// Follows a `probe_response`: a host that has just started learns from it how long others have
/// been silent. Hosts of older versions neither send nor read it.
struct probe_report {
  std::vector<silent_disk> silent;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->silent);
  }
};

}  // namespace hawthornlane
