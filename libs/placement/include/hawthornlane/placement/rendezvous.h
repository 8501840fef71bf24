// Rendezvous hashing: hosts that have the same list of members choose the same member for a key.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace hawthornlane {

/// The key is assigned to the member with the highest weight.
inline std::uint64_t rendezvous_weight(const std::string& member, std::uint64_t key) {
  return XXH64(member.data(), member.size(), key);
}

/// Weight of a member whose name was hashed once in advance, which makes a choice among thousands
/// of members cheap. The order of members differs from that of the overload for names.
inline std::uint64_t rendezvous_weight(std::uint64_t member_hash, std::uint64_t key) {
  // The finalizer of splitmix64: each input bit changes half of the output bits on average.
  std::uint64_t mixed = member_hash ^ (key * 0x9e3779b97f4a7c15U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

}  // namespace hawthornlane
