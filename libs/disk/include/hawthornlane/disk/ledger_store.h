// One disk's ledger: the replica in memory and the log that makes it durable.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hawthornlane/turn_ledger/ledger_replica.h"
#include "hawthornlane/turn_ledger/set_change.h"
#include "hawthornlane/turn_log/turn_log.h"

namespace hawthornlane::disk {

/// A second stream of records in the same log, in a format that the ledger does not interpret.
struct side_journal {
  /// Called at start for each record of the stream, in the order of writing.
  std::function<void(const std::string& record)> replay = [](const std::string&) {};
  /// Returns a snapshot record that replaces all earlier ones when the log is compacted.
  std::function<std::string()> whole;
};

/// Serves requests for the ledger. A change is answered only after it is on disk. Not
/// thread-safe.
class ledger_store {
public:
  using reply = std::function<void(std::optional<std::string>)>;

  /// `added_sync_time` lengthens each sync, for tests of a disk that is slower than the host's.
  /// Throws `std::runtime_error` if the folder cannot be used.
  ledger_store(boost::asio::io_context& context, const std::string& folder,
               std::uint64_t disk_bytes,
               std::uint64_t segment_bytes = turn_log::usual_segment_bytes,
               side_journal journal = {}, duration added_sync_time = duration::zero());
  ledger_store(const ledger_store&) = delete;
  ledger_store& operator=(const ledger_store&) = delete;
  ~ledger_store();

  /// Serves one request. Answers `nullopt` if it is not a valid ledger request, or if the
  /// change could not be written.
  void serve(ledger_method method, const std::string& payload, const reply& answer);
  /// Records have been copied from a host that does not store origins. Until the streams of that
  /// time have ended, this disk reports none.
  void note_missing_origins();
  /// Applies records copied from another disk. Calls `done` when they are on disk or the
  /// write failed.
  void adopt(const std::vector<ledger_record>& records, std::function<void(bool good)> done);
  /// Appends a record of the side journal. Calls `done` when it is on disk or the write failed.
  void append_side_record(const std::string& record, std::function<void(bool good)> done);
  /// Removes expired records, and compacts the log when it is too long.
  void tick();

  [[nodiscard]] probe_response probe() const {
    return {this->id, this->copy.fence_epoch(), this->copied};
  }
  [[nodiscard]] const disk_id& identity() const { return this->id; }
  [[nodiscard]] const ledger_replica& held() const { return this->copy; }
  [[nodiscard]] std::uint64_t log_bytes() const { return this->log->size(); }
  [[nodiscard]] bool failed() const { return this->broken; }
  /// Number of answers that wait for the disk.
  [[nodiscard]] std::size_t backlog() const { return this->waiting.size(); }
  /// How long the oldest of them has waited.
  [[nodiscard]] std::chrono::milliseconds backlog_age() const;

  /// Call this with each ledger set read from the platform's store; one that is not newer than the
  /// known one is ignored. Requests for an older set are refused from then on. The refusal
  /// contains the newest set, because a requester that keeps waiting for a disk of an older set
  /// would never get its quorum.
  void set_newest(const ledger_set& set);
  /// Notes that this disk has copied the records needed for the joint set (the old and the new
  /// members during a change) of that epoch. Probe responses report it.
  void set_copied(set_epoch epoch) { this->copied = epoch; }

private:
  struct waiting_reply {
    std::uint64_t record = 0;
    std::function<void(bool good)> notify;
    std::chrono::steady_clock::time_point since{};
  };

  static std::uint64_t new_process_number();
  void load_identity(const std::string& folder);
  void on_record(std::string_view bytes);
  /// Raises the fence: the lowest epoch of a ledger set whose requests this disk accepts. Returns
  /// false if the bytes are not an encoded fence.
  bool apply_fence(const std::string& bytes);
  /// The current fence, encoded, together with its ledger set if that set is known.
  [[nodiscard]] std::string fence_bytes() const;
  void on_durable(std::uint64_t up_to, bool good);
  /// Calls `notify` once everything appended so far is on disk.
  void when_durable(std::function<void(bool good)> notify);
  void append_fence();
  /// Returns the record's size in the log, bytes.
  std::size_t append_record(const ledger_record& record);
  void serve_append(const std::string& payload, const reply& answer);
  void serve_collect(const std::string& payload, const reply& answer);
  /// What follows the response to a request that asked for an attempt's origin.
  [[nodiscard]] std::string report_bytes(const program_id& program,
                                         const std::optional<request_id>& asked) const;
  void serve_chain(const std::string& payload, const reply& answer);
  void serve_fence(const std::string& payload, const reply& answer);
  void serve_copy(const std::string& payload, const reply& answer);
  void serve_turns(const std::string& payload, const reply& answer);
  /// Log size above which the log is compacted, bytes.
  [[nodiscard]] std::uint64_t max_log_bytes() const;
  void compact_log();

  boost::asio::io_context& context;
  std::uint64_t max_disk_bytes;
  side_journal side_records;
  disk_id id;
  /// Differs for each process, since the changes of `copy` are counted anew in each.
  std::uint64_t process = new_process_number();
  ledger_replica copy;
  /// Invariant: its epoch is not above the fence.
  std::optional<ledger_set> newest;
  set_epoch copied;
  /// The fence in the log, which a restart restores. The fence in memory is higher while a newer
  /// set is known from the platform's store only. That higher fence need not be durable until a
  /// joining disk has requested it.
  set_epoch logged_fence;
  std::uint64_t last_record = 0;
  std::uint64_t durable_record = 0;
  bool broken = false;
  std::deque<waiting_reply> waiting;
  /// Position of the compaction in progress; nothing if there is none.
  std::optional<copy_request> compaction;
  std::uint64_t keep_from_segment = 0;
  /// Bytes that the last compaction, or the one in progress, has rewritten.
  std::uint64_t rewritten_bytes = 0;
  std::unique_ptr<turn_log> log;
  std::chrono::steady_clock::time_point reports_origins_from{};
};

}  // namespace hawthornlane::disk
