// Compression of text that is sent between hosts, with zstd.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlane::net {

/// Compresses the text. Never fails; incompressible input grows a little.
std::string compress(std::string_view text);

/// Reverses `pack`. Returns nothing when the bytes are not valid compressed text, or when the
/// text would be longer than `most` bytes, which is checked before memory is allocated for it.
std::optional<std::string> decompress(std::string_view packed, std::size_t most);

}  // namespace hawthornlane::net
