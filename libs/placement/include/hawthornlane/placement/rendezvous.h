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

/// The same for a member whose name has been hashed once, for choices among thousands. It is
/// another order than that of the names themselves.
inline std::uint64_t rendezvous_weight(std::uint64_t member_hash, std::uint64_t key) {
  // The finaliser of splitmix64: each bit of the input changes half of the output's.
  std::uint64_t mixed = member_hash ^ (key * 0x9e3779b97f4a7c15U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

}  // namespace hawthornlane
