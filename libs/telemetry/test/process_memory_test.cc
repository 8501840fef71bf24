// Reading this process's memory usage from the kernel.
#include "hawthornlane/telemetry/process_memory.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

TEST_CASE("resident memory is parsed from the second number of statm") {
  struct row {
    const char* what;
    const char* line;
    std::optional<std::size_t> bytes;
  };
  const row rows[] = {
      {"a line as the kernel writes it", "5000 1234 700 10 0 900 0", 1234 * 4096},
      {"only two numbers", "7 3", 3 * 4096},
      {"an empty line", "", std::nullopt},
      {"one number", "5000", std::nullopt},
      {"no numbers", "five six", std::nullopt},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(resident_bytes_in(item.line, 4096) == item.bytes);
  }
}

TEST_CASE("this process's resident memory is read from the kernel") {
  const auto bytes = resident_bytes();
  REQUIRE(bytes);
  CHECK(*bytes > 100 * 1024);
}
