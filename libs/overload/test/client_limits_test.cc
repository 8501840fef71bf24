// Guards against limits by which clients could take the memory or the descriptors that a process
// needs for servers, other hosts and files, and against limits that leave clients nothing.
#include "hawthornlane/overload/client_limits.h"

#include <catch2/catch.hpp>

using namespace hawthornlane::overload;

TEST_CASE("clients have a part of the memory and of the descriptors") {
  struct table_row {
    std::size_t memory_mb;
    std::size_t descriptors;
  };
  const auto row = GENERATE(values<table_row>({{16, 100}, {64, 500}, {88, 4100}, {1024, 8192}}));
  INFO(row.memory_mb << " MB, " << row.descriptors << " descriptors");
  constexpr std::size_t mb = std::size_t{1024} * 1024;
  const client_limits limits = client_limits_for({row.memory_mb * mb, row.descriptors});
  CHECK(limits.request_bytes == row.memory_mb * mb / 4);
  const std::size_t connections =
      limits.call_connections + limits.directory_connections + 2 * limits.auxiliary_connections;
  CHECK(connections <= row.descriptors * 3 / 4);
  CHECK(limits.call_connections >= 4);
  CHECK(limits.directory_connections >= 4);
  CHECK(limits.auxiliary_connections >= 4);
}

TEST_CASE("the largest legal body fits into the memory of the smallest front hosts") {
  constexpr std::size_t mb = std::size_t{1024} * 1024;
  const client_limits limits = client_limits_for({88 * mb, 4100});
  CHECK(limits.request_bytes >= 5 * 4 * mb);
  CHECK(limits.call_connections >= 1000);
}
