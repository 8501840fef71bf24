// A buffer into which all connections of a thread read in turn.
#include "hawthornlane/http/read_scratch.h"

#include <array>
#include <cstddef>

namespace hawthornlane::http {

// Not inline: a coroutine would keep the address of one thread's buffer across a wait.
std::span<char> read_scratch() {
  constexpr std::size_t scratch_bytes = std::size_t{32} * 1024;
  thread_local std::array<char, scratch_bytes> buffer;
  return buffer;
}

}  // namespace hawthornlane::http
