// Memory that the allocator keeps for the process although it is free.
#include "hawthornlane/overload/allocator.h"

#include <malloc.h>

#include <algorithm>

namespace hawthornlane::overload {
namespace {

/// The C library raises this threshold whenever a larger block is freed, and then keeps such
/// blocks.
constexpr int large_block_bytes = 128 * 1024;
/// Memory is not released after a lower peak, nor while more than a part of the peak is in use.
constexpr std::size_t min_peak_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t held_divisor = 4;

}  // namespace

void return_large_blocks() { ::mallopt(M_MMAP_THRESHOLD, large_block_bytes); }

void free_memory_release::tick(std::size_t peak_bytes, std::size_t held_bytes) {
  this->highest = std::max(this->highest, peak_bytes);
  if (this->highest < min_peak_bytes || held_bytes > this->highest / held_divisor) {
    return;
  }
  this->highest = 0;
  ::malloc_trim(0);
}

}  // namespace hawthornlane::overload
