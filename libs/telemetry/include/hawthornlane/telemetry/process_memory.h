// Memory usage of this process.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace hawthornlane {

/// Resident memory of this process in bytes, as the kernel counts it against a limit; nothing
/// if the kernel does not report it.
std::optional<std::size_t> resident_bytes();

/// Parses resident bytes from the text of `/proc/self/statm`, which counts pages; nothing if
/// the text is malformed.
std::optional<std::size_t> resident_bytes_in(std::string_view statm, std::size_t page_size);

}  // namespace hawthornlane
