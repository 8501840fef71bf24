// Guards against frames that are lost or corrupted when their bytes arrive in pieces, and
// against corrupted frames being accepted.
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

TEST_CASE("frames are decoded wherever their bytes are split") {
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

TEST_CASE("a frame with a changed length, checksum, kind or payload is not accepted") {
  const std::string bytes = two_frames();
  // Offsets in the first frame: length 0 and 3, checksum 4, kind 18, payload 20 and 24.
  for (const std::size_t at : {0U, 3U, 4U, 18U, 20U, 24U}) {
    INFO("byte " << at);
    std::string buffer = bytes;
    buffer[at] = static_cast<char>(buffer[at] ^ 0x55);
    frame_reader reader;
    CHECK_FALSE(reader.take(buffer));
  }
}

TEST_CASE("an empty buffer does not keep the memory of a large frame") {
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
    shrink_if_empty(buffer);
    CHECK(buffer == item.content);
    CHECK((buffer.capacity() < item.capacity) == item.released);
  }
}
