// Identifies what a request asks for, whatever attempt carries it.
#include "hawthornlane/limits/request_fingerprint.h"

#include <array>
#include <charconv>

namespace hawthornlane {
namespace {

constexpr std::size_t digits = 16;
constexpr int base = 16;

void append_hex(std::string& text, std::uint64_t number) {
  std::array<char, digits> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + digits, number, base).ptr;
  const auto written = static_cast<std::size_t>(end - buffer.data());
  text.append(digits - written, '0');
  text.append(buffer.data(), written);
}

}  // namespace

std::string text_of(const request_fingerprint& request) {
  std::string text;
  append_hex(text, request.account);
  append_hex(text, request.content_high);
  append_hex(text, request.content_low);
  return text;
}

std::optional<request_fingerprint> fingerprint_from(std::string_view text) {
  std::array<std::uint64_t, 3> parts{};
  if (text.size() != parts.size() * digits) {
    return std::nullopt;
  }
  for (std::uint64_t& part : parts) {
    const char* end = text.data() + digits;
    const auto read = std::from_chars(text.data(), end, part, base);
    if (read.ec != std::errc{} || read.ptr != end) {
      return std::nullopt;
    }
    text.remove_prefix(digits);
  }
  return request_fingerprint{parts[0], parts[1], parts[2]};
}

}  // namespace hawthornlane
