// Rendezvous hashing: hosts that know the same members choose the same for a key.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace hawthornlane {

/// The member with the highest weight is the key's.
inline std::uint64_t rendezvous_weight(const std::string& member, std::uint64_t key) {
  return XXH64(member.data(), member.size(), key);
}

}  // namespace hawthornlane
