// Compares the event catalogue with its documentation.
#include "hawthornlane/telemetry/log.h"

#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace hawthornlane;

namespace {
constexpr std::array<std::string_view, 3> severity_labels{"info", "warning", "error"};
}

TEST_CASE("every event is in docs/EVENTS.md with its number, name, severity and meaning") {
  std::ifstream page(HAWTHORNLANE_SOURCE_FOLDER "/docs/EVENTS.md");
  REQUIRE(page);
  std::set<std::string> lines;
  for (std::string line; std::getline(page, line);) {
    lines.insert(line);
  }
  for (const event_entry& entry : event_catalogue()) {
    std::ostringstream row;
    row << "| " << static_cast<unsigned>(entry.number) << " | " << entry.name << " | "
        << severity_labels.at(static_cast<std::size_t>(entry.level)) << " | " << entry.meaning
        << " |";
    INFO("expected the line\n" << row.str());
    CHECK(lines.contains(row.str()));
  }
}

TEST_CASE("event numbers are unique and ascending, and event names unique") {
  std::set<std::string_view> names;
  unsigned last = 0;
  for (const event_entry& entry : event_catalogue()) {
    INFO(entry.name);
    CHECK(static_cast<unsigned>(entry.number) > last);
    CHECK(names.insert(entry.name).second);
    last = static_cast<unsigned>(entry.number);
  }
}
