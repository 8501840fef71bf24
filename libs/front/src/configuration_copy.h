// Encoding of a configuration that hosts exchange.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/fleet/configuration.h"

namespace hawthornlane::front {

/// Compresses a configuration's text, given as the store holds it.
std::string pack_configuration(std::string_view text);
/// `nullopt` when the copy does not hold a valid configuration; logs the reason.
std::optional<configuration> unpack_configuration(const std::string& copy);

}  // namespace hawthornlane::front
