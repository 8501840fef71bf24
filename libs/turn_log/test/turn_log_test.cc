// Tests of the log after crashes: torn records, changed bytes, removed segments.
#include "hawthornlane/turn_log/turn_log.h"

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
#include <thread>

#include "scratch_folder.h"
#include "test_log.h"

using namespace hawthornlane;
using namespace hawthornlane::log_testing;
using test_support::scratch_folder;

TEST_CASE("records are read back in order after several openings") {
  const scratch_folder folder("turn-log");
  write(folder, {"one", "two"});
  write(folder, {"three"});
  log_recovery found;
  CHECK(read_all(folder, found) == std::vector<std::string>{"one", "two", "three"});
  CHECK(found.segments == 2);
  CHECK(found.torn_bytes == 0);
}

// A crash cuts the last record at any byte. A log opened after it must not append to that segment.
TEST_CASE("a segment cut at any byte loses only the torn record") {
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

TEST_CASE("a record with a changed byte is dropped with the rest of its segment") {
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

TEST_CASE("old segments are removed after their live records were appended again") {
  const scratch_folder folder("turn-log");
  write(folder, {"dead", "alive"});
  durability_waiter done;
  log_recovery found;
  failure reason;
  {
    const auto log = turn_log::open(
        folder.name(), [](std::string_view) {},
        [&done](std::uint64_t up_to, bool good) { done.report(up_to, good); }, found, reason);
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

TEST_CASE("opening a missing folder fails with a reason") {
  log_recovery found;
  failure reason;
  CHECK_FALSE(turn_log::open(
      "/nowhere/at/all", [](std::string_view) {}, [](std::uint64_t, bool) {}, found, reason));
  CHECK_FALSE(reason.detail.empty());
}

// A reader that loads whole segments would need memory of the size of the log at start.
TEST_CASE("reading a long segment needs little memory") {
  constexpr std::size_t copies = 80;
  constexpr std::size_t records_per_copy = 16;
  constexpr std::size_t max_growth = 8 * mebibyte;
  const scratch_folder folder("turn-log");
  write(folder,
        std::vector<std::string>(records_per_copy, record_of(mebibyte / records_per_copy, 'r')));
  const auto segment = segments_in(folder).front();
  const std::string text = text_of(segment);
  {
    std::ofstream file(segment, std::ios::binary | std::ios::app);
    for (std::size_t copy = 1; copy < copies; ++copy) {
      file << text;
    }
  }
  REQUIRE(std::filesystem::file_size(segment) == copies * text.size());

  log_recovery found;
  failure reason;
  const std::size_t before = resident_bytes();
  std::size_t peak = before;
  const auto log = turn_log::open(
      folder.name(), [&](std::string_view) { peak = std::max(peak, resident_bytes()); },
      [](std::uint64_t, bool) {}, found, reason);
  REQUIRE(log);
  CHECK(found.records == copies * records_per_copy);
  CHECK(found.torn_bytes == 0);
  CHECK(peak - before < max_growth);
}

// The reader reads the file in chunks of 1 MiB; a record header or a record may cross a border.
TEST_CASE("records that cross a border between chunks of the file are read back") {
  for (std::size_t before = 0; before <= record_header_size + 2; ++before) {
    INFO("second record begins " << before << " bytes before the border");
    const scratch_folder folder("turn-log");
    const std::vector<std::string> records{record_of(mebibyte - record_header_size - before, 'a'),
                                           record_of(700, 'b'), record_of(3 * mebibyte + 5, 'c'),
                                           record_of(1, 'd'), record_of(mebibyte - 1, 'e')};
    write(folder, records);
    log_recovery found;
    CHECK(read_all(folder, found) == records);
    CHECK(found.torn_bytes == 0);
  }
}

TEST_CASE("a record of the maximum length is read back") {
  const scratch_folder folder("turn-log");
  const std::vector<std::string> records{"before", record_of(16 * mebibyte, 'l'), "after"};
  write(folder, records);
  log_recovery found;
  CHECK(read_all(folder, found) == records);
}

TEST_CASE("a segment cut near a border between chunks loses only the torn record") {
  const std::string first = record_of(mebibyte - record_header_size - 4, 'a');
  const std::string second = record_of(2 * mebibyte + 20, 'b');
  for (const std::size_t border : {mebibyte, 2 * mebibyte, 3 * mebibyte}) {
    for (std::size_t size = border - 10; size <= border + 10; ++size) {
      INFO("torn after " << size << " bytes");
      const scratch_folder folder("turn-log");
      write(folder, {first, second});
      std::filesystem::resize_file(segments_in(folder).front(), size);
      log_recovery found;
      const std::vector<std::string> records = read_all(folder, found);
      const std::size_t first_end = record_header_size + first.size();
      const std::size_t second_end = first_end + record_header_size + second.size();
      std::size_t whole = 0;
      std::vector<std::string> expected;
      if (size >= first_end) {
        expected.push_back(first);
        whole = first_end;
      }
      if (size >= second_end) {
        expected.push_back(second);
        whole = second_end;
      }
      CHECK(records == expected);
      CHECK(found.torn_bytes == size - whole);
    }
  }
}

TEST_CASE("a changed byte in any chunk of a segment drops that record and the rest") {
  // Two of three records cross a border between chunks.
  constexpr std::size_t record_size = 2 * mebibyte / 3;
  const std::vector<std::string> records(6, record_of(record_size, 'r'));
  for (std::size_t bad = 0; bad < records.size(); ++bad) {
    for (const std::size_t place :
         {std::size_t{0}, std::size_t{3}, std::size_t{5}, record_header_size,
          record_header_size + record_size / 2, record_header_size + record_size - 1}) {
      INFO("byte " << place << " of record " << bad);
      const scratch_folder folder("turn-log");
      write(folder, records);
      const auto segment = segments_in(folder).front();
      const auto start = bad * (record_header_size + record_size);
      std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
      file.seekg(static_cast<std::streamoff>(start + place));
      const int byte = file.get();
      file.seekp(static_cast<std::streamoff>(start + place));
      file.put(static_cast<char>(byte ^ 0x55));
      file.close();
      write(folder, {"later"});
      std::vector<std::string> expected(records.begin(),
                                        records.begin() + static_cast<std::ptrdiff_t>(bad));
      expected.emplace_back("later");
      log_recovery found;
      CHECK(read_all(folder, found) == expected);
      CHECK(found.torn_bytes == (records.size() - bad) * (record_header_size + record_size));
    }
  }
}

TEST_CASE("opening a log with an unreadable segment fails with a reason") {
  const scratch_folder folder("turn-log");
  write(folder, {"one"});
  std::filesystem::create_directory(folder.path() / "turns-00000002.log");
  log_recovery found;
  failure reason;
  CHECK_FALSE(turn_log::open(
      folder.name(), [](std::string_view) {}, [](std::uint64_t, bool) {}, found, reason));
  CHECK_FALSE(reason.detail.empty());
}

TEST_CASE("a new segment begins when one is full") {
  constexpr std::uint64_t segment_bytes = 100;
  const scratch_folder folder("turn-log");
  const std::vector<std::string> records{record_of(30, 'a'), record_of(54, 'b'),
                                         record_of(1, 'c'),  record_of(500, 'd'),
                                         record_of(92, 'e'), record_of(92, 'f')};
  {
    test_log log(folder, segment_bytes);
    for (const std::string& record : records) {
      log.append(record);
    }
    log.sync();
    CHECK(log.get().size() == 30 + 54 + 1 + 500 + 92 + 92 + 6 * record_header_size);
  }
  std::vector<std::uintmax_t> sizes;
  for (const auto& [name, size] : sizes_in(folder)) {
    sizes.push_back(size);
  }
  CHECK(sizes == std::vector<std::uintmax_t>{100, 9, 508, 100, 100});
  log_recovery found;
  CHECK(read_all(folder, found) == records);
}

// Records appended after `start_segment` must not land in an older segment, however far the writer
// thread lags behind the appends; `remove_before` would remove them.
TEST_CASE("records appended after start_segment survive the removal of older segments") {
  constexpr std::uint64_t segment_bytes = 100;
  // The writer thread lags behind by some records, or has written all of them.
  for (const bool is_written : {false, true}) {
    for (int dead = 0; dead < 12; ++dead) {
      INFO(dead << " dead records, written: " << is_written);
      const scratch_folder folder("turn-log");
      const std::vector<std::string> alive(7, record_of(60, 'l'));
      {
        test_log log(folder, segment_bytes);
        for (int number = 0; number < dead; ++number) {
          log.append(record_of(60, 'd'));
        }
        if (is_written) {
          log.sync();
        }
        const std::uint64_t keep = log.get().start_segment();
        CHECK(log.get().start_segment() == keep);
        for (const std::string& record : alive) {
          log.append(record);
        }
        log.get().remove_before(keep);
        log.sync();
        while (log.get().removing()) {
          std::this_thread::yield();
        }
        CHECK(log.get().size() == alive.size() * (60 + record_header_size));
      }
      log_recovery found;
      CHECK(read_all(folder, found) == alive);
    }
  }
}

// If a newer segment were removed first, a crash could leave outdated records without the ones
// that replaced them.
TEST_CASE("no segment is removed before an older one") {
  constexpr std::uint64_t segment_bytes = 100;
  const scratch_folder folder("turn-log");
  test_log log(folder, segment_bytes);
  for (int number = 0; number < 4; ++number) {
    log.append(record_of(60, 'd'));
  }
  log.sync();
  // The second of four segments cannot be removed.
  const auto stuck = segments_in(folder)[1];
  std::filesystem::remove(stuck);
  std::filesystem::create_directory(stuck);
  const std::uint64_t keep = log.get().start_segment();
  log.append("alive");
  log.get().remove_before(keep);
  while (log.get().removing()) {
    std::this_thread::yield();
  }
  std::vector<std::string> names;
  for (const auto& segment : segments_in(folder)) {
    names.push_back(segment.filename().string());
  }
  REQUIRE(names.size() >= 4);
  names.resize(4);
  CHECK(names == std::vector<std::string>{"turns-00000002.log", "turns-00000003.log",
                                          "turns-00000004.log", "turns-00000005.log"});
}

// Bytes written after the last sync may be cut, zeroed, replaced by garbage or lost.
TEST_CASE("after a power loss all synced records and only appended ones are read back") {
  constexpr unsigned seeds = 40;
  constexpr int losses = 5;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    std::mt19937 random(seed);
    const auto size = [&random] {
      const bool is_long = random() % 25 == 0;
      return 1 + random() % (is_long ? 2 * mebibyte : std::size_t{3000});
    };
    const scratch_folder folder("turn-log");
    std::vector<std::string> written;
    for (int loss = 0; loss < losses; ++loss) {
      INFO("seed " << seed << ", loss " << loss);
      const std::uint64_t segment_bytes = random() % 4 == 0 ? mebibyte * 3 : 500 + random() % 9000;
      std::size_t synced = written.size();
      std::map<std::string, std::uintmax_t> safe = sizes_in(folder);
      {
        test_log log(folder, segment_bytes);
        const auto append_some = [&](std::size_t count) {
          for (std::size_t number = 0; number < count; ++number) {
            written.push_back(record_of(size(), static_cast<char>(random())));
            log.append(written.back());
          }
        };
        for (std::size_t group = random() % 5; group > 0; --group) {
          append_some(1 + random() % 8);
          log.sync();
          synced = written.size();
          safe = sizes_in(folder);
        }
        append_some(random() % 12);
      }
      power_loss(random, safe).simulate(folder);
      log_recovery found;
      const std::vector<std::string> back = read_all(folder, found);
      REQUIRE(back.size() >= synced);
      REQUIRE(back.size() <= written.size());
      written.resize(back.size());
      REQUIRE(back == written);
    }
  }
}
