// Text made short for the way between hosts, with zstd.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlane::net {

/// The text in fewer bytes; never fails, though bytes without repetition grow a little.
std::string compress(std::string_view text);

/// The text of `pack`; nothing when the bytes are no such text, or when it would have
/// more than `most` bytes, which is found out before memory is taken for it.
std::optional<std::string> decompress(std::string_view packed, std::size_t most);

}  // namespace hawthornlane::net
