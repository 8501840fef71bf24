// A buffer into which all connections of a thread read in turn.
#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace hawthornlane::http {

/// Valid until the thread's next read: what has been read must be used before the next wait. So a
/// connection that waits holds no buffer.
inline std::span<char> read_scratch() {
  constexpr std::size_t scratch_bytes = std::size_t{32} * 1024;
  thread_local std::array<char, scratch_bytes> buffer;
  return buffer;
}

}  // namespace hawthornlane::http
