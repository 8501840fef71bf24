// Frames come out whole whatever the pieces in which they arrive; broken ones do not.
#include "hawthornlane/net/frame.h"

#include <catch2/catch.hpp>

using namespace hawthornlane::net;

namespace {

std::string two_frames() {
  std::string bytes;
  append_frame(bytes, {frame_kind::request, 7, 1, "first"});
  append_frame(bytes, {frame_kind::answer, 8, 2, ""});
  return bytes;
}

}  // namespace

TEST_CASE("frames are the same for every place where their bytes are cut") {
  const std::string bytes = two_frames();
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    INFO("cut at " << cut);
    frame_reader reader;
    std::string buffer = bytes.substr(0, cut);
    std::vector<frame> frames;
    while (auto message = reader.take(buffer)) {
      frames.push_back(*message);
    }
    buffer += bytes.substr(cut);
    while (auto message = reader.take(buffer)) {
      frames.push_back(*message);
    }
    REQUIRE(frames.size() == 2);
    CHECK(frames[0].payload == "first");
    CHECK(frames[0].method == 7);
    CHECK(frames[1].kind == frame_kind::answer);
    CHECK(frames[1].call == 2);
    CHECK(buffer.empty());
  }
}

TEST_CASE("a changed byte breaks the stream, or changes only what is not checked") {
  const std::string bytes = two_frames();
  // The payload, its length, its checksum and the kind of the first frame.
  for (const std::size_t at : {0U, 3U, 4U, 18U, 20U, 24U}) {
    INFO("byte " << at);
    std::string buffer = bytes;
    buffer[at] = static_cast<char>(buffer[at] ^ 0x55);
    frame_reader reader;
    CHECK_FALSE(reader.take(buffer));
  }
}

TEST_CASE("a buffer between two frames does not keep the memory of a large one") {
  struct row {
    const char* what;
    std::size_t capacity;
    std::string content;
    bool released;
  };
  const row rows[] = {
      {"after a configuration", 1'000'000, "", true},
      {"after a small frame", 16'384, "", false},
      {"in the middle of a large frame", 1'000'000, "part", false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    std::string buffer = item.content;
    buffer.reserve(item.capacity);
    release_when_empty(buffer);
    CHECK(buffer == item.content);
    CHECK((buffer.capacity() < item.capacity) == item.released);
  }
}
