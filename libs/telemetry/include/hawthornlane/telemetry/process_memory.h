// How much memory this process uses.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace hawthornlane {

/// Resident memory of this process in bytes, as the kernel counts it against a limit;
/// nothing where the kernel does not tell.
std::optional<std::size_t> resident_bytes();

/// Resident bytes out of the text of `/proc/self/statm`, which counts pages; nothing
/// when the text has another form.
std::optional<std::size_t> resident_bytes_in(std::string_view statm, std::size_t page_size);

}  // namespace hawthornlane
