// Encodes and decodes frames.
#include "hawthornlane/net/frame.h"

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace hawthornlane::net {
namespace {

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

constexpr std::size_t checksum_at = 4;
constexpr std::size_t call_at = 8;
constexpr std::size_t method_at = 16;
constexpr std::size_t kind_at = 18;
/// Capacity, in bytes, that an empty buffer may keep: four reads.
constexpr std::size_t max_idle_capacity = std::size_t{64} * 1024;

template <class Number>
Number number_at(std::string_view bytes, std::size_t at) {
  Number value{};
  std::memcpy(&value, bytes.data() + at, sizeof value);
  return value;
}

template <class Number>
void set_number(std::string& bytes, std::size_t at, Number value) {
  std::memcpy(bytes.data() + at, &value, sizeof value);
}

std::uint32_t checksum(std::string_view payload) {
  return XXH32(payload.data(), payload.size(), 0);
}

}  // namespace

void append_frame(std::string& out, const frame& message) {
  std::string head(frame_head_size, '\0');
  set_number(head, 0, static_cast<std::uint32_t>(message.payload.size()));
  set_number(head, checksum_at, checksum(message.payload));
  set_number(head, call_at, message.call);
  set_number(head, method_at, message.method);
  set_number(head, kind_at, static_cast<std::uint8_t>(message.kind));
  out += head;
  out += message.payload;
}

void shrink_if_empty(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > max_idle_capacity) {
    std::string().swap(buffer);
  }
}

std::optional<frame> frame_reader::take(std::string& buffer) {
  if (this->is_broken || buffer.size() < frame_head_size) {
    return std::nullopt;
  }
  const std::size_t length = number_at<std::uint32_t>(buffer, 0);
  const auto kind = number_at<std::uint8_t>(buffer, kind_at);
  const bool known_kind = kind >= static_cast<std::uint8_t>(frame_kind::request) &&
                          kind <= static_cast<std::uint8_t>(frame_kind::refusal);
  if (length > max_payload_bytes || !known_kind) {
    this->is_broken = true;
    return std::nullopt;
  }
  if (buffer.size() < frame_head_size + length) {
    return std::nullopt;
  }
  frame message;
  message.kind = static_cast<frame_kind>(kind);
  message.method = number_at<std::uint16_t>(buffer, method_at);
  message.call = number_at<std::uint64_t>(buffer, call_at);
  message.payload = buffer.substr(frame_head_size, length);
  if (number_at<std::uint32_t>(buffer, checksum_at) != checksum(message.payload)) {
    this->is_broken = true;
    return std::nullopt;
  }
  buffer.erase(0, frame_head_size + length);
  return message;
}

}  // namespace hawthornlane::net
