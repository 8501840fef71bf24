// Compression of text that is sent between hosts, with zstd.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlane::net {

/// Compresses the text. Never fails; incompressible input grows a little.
std::string compress(std::string_view text);

/// Reverses `compress`. Returns nothing when the bytes are not valid compressed text, or when the
/// text would be longer than `max_bytes` bytes, which is checked before memory is allocated for it.
std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

}  // namespace hawthornlane::net
