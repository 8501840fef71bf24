// Memory that the allocator keeps for the process although it is free.
#pragma once

#include <cstddef>

namespace hawthornlane::overload {

/// Makes the allocator return each large block to the machine as soon as it is freed. Call it at
/// the start of the process.
void return_large_blocks();

/// Returns free memory to the machine after much of it was in use.
class free_memory_release {
public:
  /// Call it regularly with the most bytes that were held since the last call, and with those that
  /// are held now.
  void tick(std::size_t peak_bytes, std::size_t held_bytes);

private:
  std::size_t highest = 0;
};

}  // namespace hawthornlane::overload
