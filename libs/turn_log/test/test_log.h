// Helpers for tests of the log: waiting for durability, simulated power loss.
#pragma once

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "hawthornlane/turn_log/turn_log.h"
#include "scratch_folder.h"

namespace hawthornlane::log_testing {

using test_support::scratch_folder;

inline std::vector<std::filesystem::path> segments_in(const scratch_folder& folder) {
  std::vector<std::filesystem::path> found;
  for (const auto& item : std::filesystem::directory_iterator(folder.path())) {
    found.push_back(item.path());
  }
  std::sort(found.begin(), found.end());
  return found;
}

/// Waits until a record is durable.
class durability_waiter {
public:
  void report(std::uint64_t up_to, bool good) {
    const std::lock_guard lock(this->mutex);
    this->reached = up_to;
    this->is_good = good;
    this->changed.notify_all();
  }
  bool wait_for(std::uint64_t record) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->reached >= record; });
    return this->is_good;
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t reached = 0;
  bool is_good = false;
};

inline std::vector<std::string> read_all(const scratch_folder& folder, log_recovery& found) {
  std::vector<std::string> records;
  failure reason;
  const auto log = turn_log::open(
      folder.name(), [&](std::string_view record) { records.emplace_back(record); },
      [](std::uint64_t, bool) {}, found, reason);
  REQUIRE(log);
  return records;
}

inline void write(const scratch_folder& folder, const std::vector<std::string>& records) {
  durability_waiter done;
  log_recovery found;
  failure reason;
  const auto log = turn_log::open(
      folder.name(), [](std::string_view) {},
      [&done](std::uint64_t up_to, bool good) { done.report(up_to, good); }, found, reason);
  REQUIRE(log);
  std::uint64_t last = 0;
  for (const std::string& record : records) {
    last = log->append(record);
  }
  CHECK(done.wait_for(last));
}

/// Size of each segment in bytes, by file name.
inline std::map<std::string, std::uintmax_t> sizes_in(const scratch_folder& folder) {
  std::map<std::string, std::uintmax_t> sizes;
  for (const auto& segment : segments_in(folder)) {
    sizes[segment.filename().string()] = std::filesystem::file_size(segment);
  }
  return sizes;
}

/// An open log. `sync` waits until all appended records are durable.
class test_log {
public:
  explicit test_log(const scratch_folder& folder,
                    std::uint64_t segment_bytes = turn_log::usual_segment_bytes) {
    failure reason;
    this->log = turn_log::open(
        folder.name(), [](std::string_view) {},
        [this](std::uint64_t up_to, bool good) { this->done.report(up_to, good); }, this->found,
        reason, segment_bytes);
    REQUIRE(this->log);
  }
  void append(const std::string& record) { this->last = this->log->append(record); }
  /// Waits until all appended records are durable.
  void sync() {
    if (this->last > 0) {
      REQUIRE(this->done.wait_for(this->last));
    }
  }
  turn_log& get() { return *this->log; }

private:
  durability_waiter done;
  log_recovery found;
  std::uint64_t last = 0;
  /// Declared last, so that it is destroyed first: its thread uses `done`.
  std::unique_ptr<turn_log> log;
};

/// Possible effects of a power loss on bytes that were written after the last sync.
enum class tail_loss { cut, zeroes, garbage, gone };

/// Simulates a power loss: corrupts the log from a random unsynced byte on.
class power_loss {
public:
  power_loss(std::mt19937& source, std::map<std::string, std::uintmax_t> safe)
      : random(source), synced(std::move(safe)) {}

  void simulate(const scratch_folder& folder) {
    const auto kind = static_cast<tail_loss>(this->random() % 4);
    std::uintmax_t remaining =
        kind == tail_loss::gone ? 0 : this->random() % (this->unsynced_size(folder) + 1);
    bool is_past_end = false;
    for (const auto& segment : segments_in(folder)) {
      const std::uintmax_t kept = this->synced[segment.filename().string()];
      const std::uintmax_t unsynced = std::filesystem::file_size(segment) - kept;
      if (is_past_end && unsynced > 0) {
        std::filesystem::remove(segment);
        continue;
      }
      is_past_end = unsynced > remaining;
      if (is_past_end) {
        this->corrupt(segment, kept + remaining, kind);
      }
      remaining -= std::min(remaining, unsynced);
    }
  }

private:
  std::uintmax_t unsynced_size(const scratch_folder& folder) {
    std::uintmax_t bytes = 0;
    for (const auto& [name, size] : sizes_in(folder)) {
      bytes += size - this->synced[name];
    }
    return bytes;
  }

  void corrupt(const std::filesystem::path& segment, std::uintmax_t from, tail_loss kind) {
    const std::uintmax_t size = std::filesystem::file_size(segment);
    std::filesystem::resize_file(segment, from);
    if (kind == tail_loss::zeroes) {
      std::filesystem::resize_file(segment, size);
    }
    if (kind != tail_loss::garbage) {
      return;
    }
    std::ofstream file(segment, std::ios::binary | std::ios::app);
    for (std::uintmax_t at = from; at < size; ++at) {
      file.put(static_cast<char>(this->random()));
    }
  }

  std::mt19937& random;
  /// Synced bytes by the segment's file name. A segment without an entry has none.
  std::map<std::string, std::uintmax_t> synced;
};

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
/// Bytes of length and checksum before each record.
constexpr std::size_t record_header_size = 8;

inline std::string text_of(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Resident memory of this process, bytes.
inline std::size_t resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t all_pages = 0;
  std::size_t resident_pages = 0;
  file >> all_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// A record of this size. Records with different marks have different contents.
inline std::string record_of(std::size_t size, char mark) {
  std::string record(size, mark);
  for (std::size_t at = 0; at < size; at += 61) {
    record[at] = static_cast<char>(at / 61);
  }
  return record;
}

}  // namespace hawthornlane::log_testing
