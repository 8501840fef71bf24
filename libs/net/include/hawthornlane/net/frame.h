// Framing of messages between hosts: a fixed-size header, then the payload.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlane::net {

/// What a frame carries.
enum class frame_kind : std::uint8_t { request = 1, answer = 2, refusal = 3 };

/// One message. `call` matches a response to its request within one connection.
struct frame {
  frame_kind kind = frame_kind::request;
  std::uint16_t method = 0;
  std::uint64_t call = 0;
  std::string payload;
};

/// Size of the header, bytes: length, checksum, call, method, kind, reserved.
constexpr std::size_t frame_head_size = 20;
/// Largest payload, bytes; a longer one closes the connection. A history of 700,000
/// tokens at two bytes per token takes 1.4 MB, so it fits.
constexpr std::size_t max_payload_bytes = std::size_t{8} * 1024 * 1024;

/// Appends the encoded frame to `out`.
void append_frame(std::string& out, const frame& message);

/// Frees the memory of an empty buffer that has held a large frame. Connections stay open
/// for hours: without this, one 1 MB response on each of 59 connections held 61 MB in a process.
void shrink_if_empty(std::string& buffer);

/// Extracts complete frames from a byte stream.
class frame_reader {
public:
  /// Removes the first complete frame from `buffer`. Returns nothing when more bytes are
  /// needed or the bytes are not a valid frame (see `broken`).
  std::optional<frame> take(std::string& buffer);
  /// True after an invalid header or checksum; the connection must be closed.
  [[nodiscard]] bool broken() const { return this->is_broken; }

private:
  bool is_broken = false;
};

}  // namespace hawthornlane::net
