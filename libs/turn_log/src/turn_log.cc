// Writer and reader of the segmented log.
#include "hawthornlane/turn_log/turn_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <cstring>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace hawthornlane {
namespace {

constexpr std::string_view prefix = "turns-";
constexpr std::string_view suffix = ".log";
constexpr std::size_t record_header_size = 8;
constexpr std::size_t max_record_size = std::size_t{16} * 1024 * 1024;
/// Bytes per read when a log is opened: little of a host's memory, and enough that system calls
/// cost little.
constexpr std::size_t read_chunk_size = std::size_t{1024} * 1024;
constexpr mode_t file_mode = 0644;

std::string errno_text() { return std::strerror(errno); }

std::optional<std::uint64_t> segment_number(const std::string& name) {
  if (!name.starts_with(prefix) || !name.ends_with(suffix)) {
    return std::nullopt;
  }
  const std::string_view digits =
      std::string_view(name).substr(prefix.size(), name.size() - prefix.size() - suffix.size());
  std::uint64_t number = 0;
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  const bool whole = read.ec == std::errc{} && read.ptr == digits.data() + digits.size();
  return whole ? std::optional(number) : std::nullopt;
}

std::string segment_path(const std::string& folder, std::uint64_t number) {
  return fmt::format("{}/{}{:08}{}", folder, prefix, number, suffix);
}

std::string frame_record(std::string_view record) {
  const auto length = static_cast<std::uint32_t>(record.size());
  const std::uint32_t checksum = XXH32(record.data(), record.size(), length);
  std::string bytes(record_header_size, '\0');
  std::memcpy(bytes.data(), &length, sizeof length);
  std::memcpy(bytes.data() + sizeof length, &checksum, sizeof checksum);
  bytes += record;
  return bytes;
}

bool write_all(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t wrote = ::write(file, bytes.data(), bytes.size());
    if (wrote < 0 && errno == EINTR) {
      continue;
    }
    if (wrote <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(wrote));
  }
  return true;
}

bool sync_folder(const std::string& folder) {
  const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (handle < 0) {
    return false;
  }
  const bool good = ::fsync(handle) == 0;
  ::close(handle);
  return good;
}

class segmented_log final : public turn_log {
public:
  segmented_log(std::string folder_path, std::uint64_t next,
                std::map<std::uint64_t, std::uint64_t> found, std::uint64_t bytes,
                std::uint64_t limit, durable_callback callback)
      : folder(std::move(folder_path)),
        segment_bytes(limit),
        newest(next),
        total(bytes),
        segment(next),
        sizes(std::move(found)),
        on_durable(std::move(callback)),
        writer([this] { this->run(); }) {}
  segmented_log(const segmented_log&) = delete;
  segmented_log& operator=(const segmented_log&) = delete;
  ~segmented_log() override {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->wakeup.notify_one();
    this->writer.join();
    if (this->file >= 0) {
      ::close(this->file);
    }
  }

  std::uint64_t append(std::string record) override {
    const std::string bytes = frame_record(record);
    std::uint64_t number = 0;
    {
      const std::lock_guard lock(this->mutex);
      if (this->newest_size + bytes.size() > this->segment_bytes) {
        this->begin_segment();
      }
      this->queued += bytes;
      this->newest_size += bytes.size();
      number = ++this->appended;
    }
    this->wakeup.notify_one();
    return number;
  }

  std::uint64_t start_segment() override {
    const std::lock_guard lock(this->mutex);
    this->begin_segment();
    return this->newest;
  }

  void remove_before(std::uint64_t number) override {
    {
      const std::lock_guard lock(this->mutex);
      this->remove_below = std::max(this->remove_below, number);
    }
    this->wakeup.notify_one();
  }

  bool removing() const override {
    const std::lock_guard lock(this->mutex);
    return this->remove_below > 0;
  }

  std::uint64_t size() const override {
    const std::lock_guard lock(this->mutex);
    return this->total;
  }

private:
  struct write_batch {
    std::string bytes;
    std::uint64_t up_to = 0;
    /// Offsets in `bytes` at which a new segment begins.
    std::vector<std::size_t> segment_offsets;
    /// Segments below this number are removed after `bytes` is synced. 0: none.
    std::uint64_t remove_below = 0;
    bool stop = false;
  };

  /// Makes the next append begin a new segment. The caller holds `mutex`.
  void begin_segment() {
    if (this->newest_size == 0) {
      return;
    }
    this->segment_offsets.push_back(this->queued.size());
    ++this->newest;
    this->newest_size = 0;
  }

  write_batch next_batch() {
    std::unique_lock lock(this->mutex);
    this->wakeup.wait(
        lock, [this] { return !this->queued.empty() || this->stopping || this->remove_below > 0; });
    write_batch taken;
    taken.bytes = std::move(this->queued);
    this->queued.clear();
    taken.up_to = this->appended;
    taken.segment_offsets = std::exchange(this->segment_offsets, {});
    taken.remove_below = this->remove_below;
    taken.stop = this->stopping;
    return taken;
  }

  void run() {
    while (true) {
      const write_batch one = this->next_batch();
      this->write(one);
      if (!one.bytes.empty()) {
        this->on_durable(one.up_to, this->is_good);
      }
      bool more = one.remove_below > 0 && this->remove_oldest(one.remove_below);
      while (more && one.stop) {
        more = this->remove_oldest(one.remove_below);
      }
      if (one.stop) {
        return;
      }
    }
  }

  /// Syncs each segment before the next one begins, so that only the last one can be torn.
  void write(const write_batch& one) {
    const std::string_view bytes = one.bytes;
    std::size_t from = 0;
    for (const std::size_t offset : one.segment_offsets) {
      this->write_group(bytes.substr(from, offset - from));
      this->close_segment();
      from = offset;
    }
    this->write_group(bytes.substr(from));
  }

  void close_segment() {
    if (this->file >= 0) {
      ::close(this->file);
      this->file = -1;
    }
    ++this->segment;
  }

  /// Writes and syncs `bytes`. After a failure nothing more is written.
  void write_group(std::string_view bytes) {
    if (bytes.empty() || !this->is_good) {
      return;
    }
    if (this->file < 0) {
      this->file = ::open(segment_path(this->folder, this->segment).c_str(),
                          O_WRONLY | O_CREAT | O_APPEND, file_mode);
    }
    this->is_good = this->file >= 0 && write_all(this->file, bytes) && ::fdatasync(this->file) == 0;
    if (!this->is_good) {
      return;
    }
    this->sizes[this->segment] += bytes.size();
    const std::lock_guard lock(this->mutex);
    this->total += bytes.size();
  }

  /// Removes the oldest segment durably if it is below `below`. Segments are removed in order, so
  /// that after a power loss the remaining log is always its newest part. Appends are written
  /// between two removals. Returns false when none is left to remove or the removal failed.
  bool remove_oldest(std::uint64_t below) {
    const auto oldest = this->sizes.begin();
    const bool is_due = this->is_good && oldest != this->sizes.end() && oldest->first < below &&
                        oldest->first != this->segment;
    if (is_due && ::unlink(segment_path(this->folder, oldest->first).c_str()) == 0) {
      const std::uint64_t bytes = oldest->second;
      this->sizes.erase(oldest);
      this->subtract(bytes);
      if (sync_folder(this->folder)) {
        return true;
      }
    }
    this->end_removal(below);
    return false;
  }

  void subtract(std::uint64_t bytes) {
    const std::lock_guard lock(this->mutex);
    this->total -= bytes;
  }

  void end_removal(std::uint64_t below) {
    const std::lock_guard lock(this->mutex);
    if (this->remove_below == below) {
      this->remove_below = 0;
    }
  }

  std::string folder;
  /// Maximum size of a segment; a longer record gets a segment of its own.
  std::uint64_t segment_bytes;
  mutable std::mutex mutex;
  std::condition_variable wakeup;
  // Guarded by `mutex`, up to `stopping`:
  /// Frames to be written.
  std::string queued;
  /// Offsets in `queued` at which a new segment begins, ascending.
  std::vector<std::size_t> segment_offsets;
  std::uint64_t appended = 0;
  /// Number of the segment of the next append, and its size in bytes including queued records.
  std::uint64_t newest;
  std::uint64_t newest_size = 0;
  /// Size of all segments, bytes.
  std::uint64_t total;
  std::uint64_t remove_below = 0;
  bool stopping = false;
  // Used by the writer thread only, up to `on_durable`:
  /// Number of the segment being written: `newest` minus the number of `segment_offsets` that the
  /// writer has not reached.
  std::uint64_t segment;
  /// Size of each segment, bytes; `total` is their sum.
  std::map<std::uint64_t, std::uint64_t> sizes;
  int file = -1;
  bool is_good = true;
  durable_callback on_durable;
  std::thread writer;
};

std::optional<std::string> read_file(const std::string& path) {
  const int file = ::open(path.c_str(), O_RDONLY);
  if (file < 0) {
    return std::nullopt;
  }
  std::string text;
  constexpr std::size_t step = std::size_t{1} << 20U;
  while (true) {
    const std::size_t before = text.size();
    text.resize(before + step);
    const ssize_t got = ::read(file, text.data() + before, step);
    text.resize(before + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    if (got < 0) {
      ::close(file);
      return std::nullopt;
    }
    if (got == 0) {
      ::close(file);
      return text;
    }
  }
}

/// Reads the valid records of one segment. It buffers at most `read_chunk_size` bytes, or one
/// record if that is longer.
class segment_reader {
public:
  explicit segment_reader(const std::string& path) : file(::open(path.c_str(), O_RDONLY)) {}
  segment_reader(const segment_reader&) = delete;
  segment_reader& operator=(const segment_reader&) = delete;
  ~segment_reader() {
    if (this->file >= 0) {
      ::close(this->file);
    }
  }

  /// Passes each valid record to `on_record`. Returns false and leaves `errno` set when the file
  /// cannot be read; the records passed on before are valid.
  bool replay(const std::function<void(std::string_view)>& on_record) {
    if (!this->read_file_size()) {
      return false;
    }
    while (const auto record = this->next_record()) {
      on_record(*record);
      ++this->record_count;
      this->valid_bytes += record_header_size + record->size();
    }
    return !this->failed;
  }

  [[nodiscard]] std::size_t records() const { return this->record_count; }
  [[nodiscard]] std::uint64_t size() const { return this->file_size; }
  /// Bytes after the last valid record.
  [[nodiscard]] std::uint64_t torn_bytes() const { return this->file_size - this->valid_bytes; }

private:
  bool read_file_size() {
    const off_t end = this->file < 0 ? -1 : ::lseek(this->file, 0, SEEK_END);
    if (end < 0 || ::lseek(this->file, 0, SEEK_SET) != 0) {
      return false;
    }
    this->file_size = static_cast<std::uint64_t>(end);
    this->unread = this->file_size;
    return true;
  }

  /// The next record; nothing at the end of the file or at the first torn or changed record. The
  /// view is valid until the next call.
  std::optional<std::string_view> next_record() {
    if (!this->fill_buffer(record_header_size)) {
      return std::nullopt;
    }
    std::uint32_t length = 0;
    std::uint32_t checksum = 0;
    std::memcpy(&length, this->buffer.data() + this->at, sizeof length);
    std::memcpy(&checksum, this->buffer.data() + this->at + sizeof length, sizeof checksum);
    const bool fits =
        length > 0 && length <= max_record_size && this->fill_buffer(record_header_size + length);
    if (!fits) {
      return std::nullopt;
    }
    const auto record =
        std::string_view(this->buffer).substr(this->at + record_header_size, length);
    if (XXH32(record.data(), record.size(), length) != checksum) {
      return std::nullopt;
    }
    this->at += record_header_size + length;
    return record;
  }

  /// Reads until `buffer` has `count` bytes from `at` on; false when the file has fewer.
  bool fill_buffer(std::size_t count) {
    const std::size_t available = this->buffer.size() - this->at;
    if (available >= count) {
      return true;
    }
    // Checked before any memory is allocated, since `count` may come from a corrupt length.
    if (this->unread < count - available) {
      return false;
    }
    this->buffer.erase(0, this->at);
    this->at = 0;
    while (this->buffer.size() < count) {
      if (!this->read_up_to(std::max(count, read_chunk_size))) {
        return false;
      }
    }
    return true;
  }

  /// Reads once, up to `limit` bytes in `buffer`; false when nothing was read.
  bool read_up_to(std::size_t limit) {
    const std::size_t before = this->buffer.size();
    this->buffer.resize(limit);
    ssize_t got = 0;
    do {
      got = ::read(this->file, this->buffer.data() + before, limit - before);
    } while (got < 0 && errno == EINTR);
    this->failed = got < 0;
    const auto added = static_cast<std::size_t>(std::max<ssize_t>(got, 0));
    this->buffer.resize(before + added);
    this->unread -= std::min<std::uint64_t>(added, this->unread);
    return added > 0;
  }

  int file;
  /// Invariant: the bytes of `buffer` from offset `at` are those after the last record that was
  /// returned, and `unread` is the number of bytes in the file after `buffer`.
  std::string buffer;
  std::size_t at = 0;
  std::uint64_t unread = 0;
  std::uint64_t file_size = 0;
  std::uint64_t valid_bytes = 0;
  std::size_t record_count = 0;
  bool failed = false;
};

std::vector<std::uint64_t> list_segments(const std::string& folder) {
  std::vector<std::uint64_t> numbers;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    if (const auto number = segment_number(item.path().filename().string())) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace

std::unique_ptr<turn_log> turn_log::open(const std::string& folder,
                                         const std::function<void(std::string_view)>& on_record,
                                         durable_callback on_durable, log_recovery& recovery,
                                         failure& reason, std::uint64_t segment_bytes) {
  std::map<std::uint64_t, std::uint64_t> sizes;
  std::uint64_t total = 0;
  std::uint64_t next = 1;
  try {
    for (const std::uint64_t number : list_segments(folder)) {
      segment_reader reader(segment_path(folder, number));
      if (!reader.replay(on_record)) {
        reason = {error_kind::internal, fmt::format("segment {}: {}", number, errno_text())};
        return nullptr;
      }
      recovery.records += reader.records();
      recovery.torn_bytes += reader.torn_bytes();
      ++recovery.segments;
      sizes[number] = reader.size();
      total += reader.size();
      next = number + 1;
    }
  } catch (const std::filesystem::filesystem_error& fault) {
    reason = {error_kind::internal, fault.what()};
    return nullptr;
  }
  return std::make_unique<segmented_log>(folder, next, std::move(sizes), total, segment_bytes,
                                         std::move(on_durable));
}

std::optional<std::string> read_small_file(const std::string& path) { return read_file(path); }

bool write_small_file(const std::string& path, std::string_view text, failure& reason) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, file_mode);
  const bool good = file >= 0 && write_all(file, text) && ::fsync(file) == 0;
  if (!good) {
    reason = {error_kind::internal, path + ": " + errno_text()};
  }
  if (file >= 0) {
    ::close(file);
  }
  return good;
}

}  // namespace hawthornlane
