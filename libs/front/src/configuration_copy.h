// The form in which hosts pass a configuration on.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/fleet/configuration.h"

namespace hawthornlane::front {

/// Packs a configuration's text as the store holds it.
std::string pack_configuration(std::string_view text);
/// Nothing when the copy holds none; the log then says why.
std::optional<configuration> unpack_configuration(const std::string& copy);

}  // namespace hawthornlane::front
