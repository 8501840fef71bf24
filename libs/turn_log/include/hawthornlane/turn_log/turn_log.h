// An append-only log on a small disk, with segments, checksums and group commit.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/errors/error_kind.h"

namespace hawthornlane {

/// What was read when a log was opened.
struct log_recovery {
  std::size_t records = 0;
  std::size_t segments = 0;
  /// Dropped bytes after the last valid record of each segment; they were never acknowledged.
  std::size_t torn_bytes = 0;
};

/// Appends records and makes them durable in groups. Writes run on a thread of the log's own,
/// because they block on the disk.
///
/// Guarantees:
///  - A record is reported as durable only after it and all records before it are synced.
///  - Records are read back in the order of their appends.
///  - A torn record and the rest of its segment are dropped: they were never acknowledged.
///  - A new segment begins at each opening, so that nothing is written after a torn record. It
///    also begins when a segment is full, after that one is synced.
///  - Segments are removed oldest first; each removal is durable before the next one.
class turn_log {
public:
  /// Size at which a segment is full, bytes. Small enough that removing old segments frees the
  /// disk in small steps; a few segments make up a log that is due for compaction.
  static constexpr std::uint64_t usual_segment_bytes = std::uint64_t{16} * 1024 * 1024;

  /// Called on the log's thread once per group of appends, with the number of the last record of
  /// the group. `good` is false when the disk failed; from then on nothing is acknowledged.
  using durable_callback = std::function<void(std::uint64_t up_to, bool good)>;

  /// Opens the log in `folder` and passes each valid record to `on_record`; the view is valid
  /// during the call only. The files are read in chunks. Returns null and sets `reason` when the
  /// folder or a segment cannot be read. A segment is longer than `segment_bytes` only if it
  /// holds a single longer record.
  static std::unique_ptr<turn_log> open(const std::string& folder,
                                        const std::function<void(std::string_view)>& on_record,
                                        durable_callback on_durable, log_recovery& recovery,
                                        failure& reason,
                                        std::uint64_t segment_bytes = usual_segment_bytes);
  virtual ~turn_log() = default;
  turn_log(const turn_log&) = delete;
  turn_log& operator=(const turn_log&) = delete;

  /// Queues a record and returns its number, counted from 1. `on_durable` reports that number or
  /// a higher one when the record and all before it are synced.
  virtual std::uint64_t append(std::string record) = 0;
  /// Starts a new segment with the next append and returns its number. Segments before it can be
  /// removed with `remove_before` after their live records have been appended again.
  virtual std::uint64_t start_segment() = 0;
  /// Removes all segments before `segment`, after everything appended so far is synced.
  virtual void remove_before(std::uint64_t segment) = 0;
  /// True while a removal is pending or in progress; `size` still includes what is not removed.
  [[nodiscard]] virtual bool removing() const = 0;
  /// Size of all segments, bytes.
  [[nodiscard]] virtual std::uint64_t size() const = 0;

protected:
  turn_log() = default;
};

/// Returns the contents of a small file, or nothing when it cannot be read.
std::optional<std::string> read_small_file(const std::string& path);
/// Writes a small file and syncs it, so that it is complete after a power loss.
bool write_small_file(const std::string& path, std::string_view text, failure& reason);

}  // namespace hawthornlane
