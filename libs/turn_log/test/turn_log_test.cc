// The log after crashes: torn tails, bytes that changed, segments that went.
#include "hawthornlane/turn_log/turn_log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>

#include "scratch_folder.h"

using namespace hawthornlane;
using test_support::scratch_folder;

namespace {

std::vector<std::filesystem::path> segments_in(const scratch_folder& folder) {
  std::vector<std::filesystem::path> found;
  for (const auto& item : std::filesystem::directory_iterator(folder.path())) {
    found.push_back(item.path());
  }
  std::sort(found.begin(), found.end());
  return found;
}

/// Waits until a record is durable.
class durability {
public:
  void note(std::uint64_t up_to, bool good) {
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

std::vector<std::string> read_all(const scratch_folder& folder, log_recovery& found) {
  std::vector<std::string> records;
  failure reason;
  const auto log = turn_log::open(
      folder.name(), [&](std::string_view record) { records.emplace_back(record); },
      [](std::uint64_t, bool) {}, found, reason);
  REQUIRE(log);
  return records;
}

void write(const scratch_folder& folder, const std::vector<std::string>& records) {
  durability done;
  log_recovery found;
  failure reason;
  const auto log = turn_log::open(
      folder.name(), [](std::string_view) {},
      [&done](std::uint64_t up_to, bool good) { done.note(up_to, good); }, found, reason);
  REQUIRE(log);
  std::uint64_t last = 0;
  for (const std::string& record : records) {
    last = log->append(record);
  }
  CHECK(done.wait_for(last));
}

}  // namespace

TEST_CASE("records come back in order over several openings") {
  const scratch_folder folder("turn-log");
  write(folder, {"one", "two"});
  write(folder, {"three"});
  log_recovery found;
  CHECK(read_all(folder, found) == std::vector<std::string>{"one", "two", "three"});
  CHECK(found.segments == 2);
  CHECK(found.torn_bytes == 0);
}

TEST_CASE("a tail that is torn anywhere loses only what was torn") {
  for (std::uintmax_t cut = 1; cut <= 11; ++cut) {
    INFO("cut off " << cut << " bytes");
    const scratch_folder folder("turn-log");
    write(folder, {"one", "two"});
    const auto segment = segments_in(folder).front();
    std::filesystem::resize_file(segment, std::filesystem::file_size(segment) - cut);
    write(folder, {"three"});
    log_recovery found;
    CHECK(read_all(folder, found) == std::vector<std::string>{"one", "three"});
    CHECK(found.torn_bytes == 11 - cut);
  }
}

TEST_CASE("a record whose bytes changed ends its segment") {
  const scratch_folder folder("turn-log");
  write(folder, {"one", "two"});
  const auto segment = segments_in(folder).front();
  std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(9);
  file.put('X');
  file.close();
  write(folder, {"three"});
  log_recovery found;
  CHECK(read_all(folder, found) == std::vector<std::string>{"three"});
}

TEST_CASE("segments go once what lives was written again") {
  const scratch_folder folder("turn-log");
  write(folder, {"dead", "alive"});
  durability done;
  log_recovery found;
  failure reason;
  {
    const auto log = turn_log::open(
        folder.name(), [](std::string_view) {},
        [&done](std::uint64_t up_to, bool good) { done.note(up_to, good); }, found, reason);
    REQUIRE(log);
    log->append("dead too");
    const std::uint64_t keep = log->start_segment();
    const std::uint64_t last = log->append("alive");
    log->remove_before(keep);
    CHECK(done.wait_for(last));
  }
  log_recovery after;
  CHECK(read_all(folder, after) == std::vector<std::string>{"alive"});
}

TEST_CASE("a folder that is not there is refused with a reason") {
  log_recovery found;
  failure reason;
  CHECK_FALSE(turn_log::open(
      "/nowhere/at/all", [](std::string_view) {}, [](std::uint64_t, bool) {}, found, reason));
  CHECK_FALSE(reason.detail.empty());
}
