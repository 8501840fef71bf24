// Guards against events that are lost, merged or forwarded incomplete when their bytes arrive in
// pieces.
#include "hawthornlane/relay/event_splitter.h"

#include <catch2/catch.hpp>

using namespace hawthornlane::relay;

namespace {

constexpr std::string_view three_events =
    "id: 1\ndata: one\n\nx-version:3\nid: 2\r\ndata:two\r\ndata: more\r\n\r\nid: 3\ndata: \n\n";

}  // namespace

TEST_CASE("events are complete wherever their bytes are split") {
  for (std::size_t cut = 0; cut <= three_events.size(); ++cut) {
    INFO("cut at " << cut);
    event_splitter splitter;
    std::vector<stream_event> events = splitter.add(three_events.substr(0, cut));
    for (stream_event& event : splitter.add(three_events.substr(cut))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == 1U);
    CHECK(events[0].data == "one");
    CHECK(events[1].id == 2U);
    CHECK(events[1].data == "two\nmore");
    CHECK(events[2].data.empty());
    CHECK(events[0].bytes + events[1].bytes + events[2].bytes == three_events);
    CHECK(splitter.at_event_boundary());
  }
}

TEST_CASE("an incomplete event is not returned") {
  event_splitter splitter;
  CHECK(splitter.add("id: 1\ndata: one\n").empty());
  CHECK_FALSE(splitter.at_event_boundary());
}
