// An append-only log on a small disk: segments, checksums, one sync for all that
// wait.
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

/// What a log found at its opening.
struct log_recovery {
  std::size_t records = 0;
  std::size_t segments = 0;
  /// Bytes after the last whole record of a segment; they were never acknowledged.
  std::size_t torn_bytes = 0;
};

/// Appends records and makes them durable in groups, on a thread of its own, since
/// the thread that writes waits for the disk.
///
/// Promises: `durable` is called only after the record and all before it were
/// synced; records come back in the order of their appends; a torn record and what
/// follows it in its segment is dropped, since nothing of it was acknowledged. A
/// new segment begins at each opening, so that nothing is written behind a tear, and
/// when one is full, after it was synced. Segments are removed oldest first, each for
/// good before the next.
class turn_log {
public:
  /// A segment is full at this size, bytes: a few of them make a log that is due for
  /// shortening, and its removal gives back small parts of the disk.
  static constexpr std::uint64_t usual_segment_bytes = std::uint64_t{16} * 1024 * 1024;

  /// Called on the log's thread once per group of appends; false when the disk
  /// failed, after which nothing more is acknowledged.
  using group_done = std::function<void(std::uint64_t up_to, bool good)>;

  /// Reads the folder in pieces; `on_record` gets each whole record, which is valid
  /// for the call. Nothing when the folder cannot be used. A segment grows beyond
  /// `segment_bytes` only by holding a single longer record.
  static std::unique_ptr<turn_log> open(const std::string& folder,
                                        const std::function<void(std::string_view)>& on_record,
                                        group_done on_durable, log_recovery& found, failure& reason,
                                        std::uint64_t segment_bytes = usual_segment_bytes);
  virtual ~turn_log() = default;
  turn_log(const turn_log&) = delete;
  turn_log& operator=(const turn_log&) = delete;

  /// Queues a record; its number, counted from 1, is passed by `on_durable` when
  /// it and all before it are synced.
  virtual std::uint64_t append(std::string record) = 0;
  /// The number of a segment that begins with the next append; segments before it can
  /// be removed with `remove_before` once their live records have been appended again.
  virtual std::uint64_t start_segment() = 0;
  /// Removes all segments before that one, after everything appended so far is synced.
  virtual void remove_before(std::uint64_t segment) = 0;
  /// True while a removal waits or is under way; `size` still counts what is to go.
  [[nodiscard]] virtual bool removing() const = 0;
  /// Bytes in all segments.
  [[nodiscard]] virtual std::uint64_t size() const = 0;

protected:
  turn_log() = default;
};

/// The whole text of a small file, or nothing.
std::optional<std::string> read_small_file(const std::string& path);
/// Writes a small file so that it is there, whole, after a power loss.
bool write_small_file(const std::string& path, std::string_view text, failure& reason);

}  // namespace hawthornlane
