// Guards against compressed text that does not decompress to the original, and against
// malformed or oversized input being accepted.
#include "hawthornlane/net/compression.h"

#include <catch2/catch.hpp>
#include <random>

using namespace hawthornlane::net;

namespace {

constexpr std::size_t max_bytes = 100'000;

std::string repeated(std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += R"({"name":"r-)" + std::to_string(text.size()) + R"(","kind":"stream"},)";
  }
  return text.substr(0, bytes);
}

std::string random_bytes(std::size_t bytes) {
  std::mt19937 random(1);
  std::string text(bytes, '\0');
  for (char& byte : text) {
    byte = static_cast<char>(random());
  }
  return text;
}

}  // namespace

TEST_CASE("compressed text decompresses to the original") {
  struct row {
    const char* what;
    std::string text;
    std::size_t max_compressed_size;
  };
  const row rows[] = {
      {"nothing", "", 20},
      {"one byte", "x", 20},
      {"a configuration's text", repeated(90'000), 15'000},
      {"bytes without repetition", random_bytes(50'000), 50'100},
  };
  for (const row& item : rows) {
    INFO(item.what);
    const std::string compressed = compress(item.text);
    CHECK(compressed.size() <= item.max_compressed_size);
    CHECK(decompress(compressed, max_bytes) == item.text);
  }
}

TEST_CASE("input that is malformed or decompresses to too many bytes is rejected") {
  const std::string whole = compress(repeated(90'000));
  std::string changed = whole;
  changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 0x55);
  struct row {
    const char* what;
    std::string bytes;
  };
  const row rows[] = {
      {"no bytes", ""},
      {"plain text", "{\"version\":3}"},
      {"random bytes", random_bytes(3000)},
      {"a truncated text", whole.substr(0, whole.size() / 2)},
      {"the header only", whole.substr(0, 8)},
      {"trailing bytes", whole + "x"},
      {"a text of 100 MB", compress(std::string(100'000'000, 'a'))},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK_FALSE(decompress(item.bytes, max_bytes));
  }
  // Corrupted input may still decompress, but never to more than the limit.
  const auto other = decompress(changed, max_bytes);
  CHECK((!other || other->size() <= max_bytes));
}
