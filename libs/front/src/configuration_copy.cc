// Encoding of a configuration that hosts exchange.
#include "configuration_copy.h"

#include <utility>

#include "hawthornlane/net/compression.h"
#include "hawthornlane/platform_adapter/store_objects.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {

namespace {

/// Upper bound of the unpacked text, bytes. The store accepts packed values of up to 1 MB.
constexpr std::size_t largest_configuration = std::size_t{4} * 1024 * 1024;

}  // namespace

std::string pack_configuration(std::string_view text) { return net::compress(text); }

std::optional<configuration> unpack_configuration(const std::string& copy) {
  auto text = net::decompress(copy, largest_configuration);
  if (!text) {
    log(event::peer_unreachable, {{"detail", "received configuration copy is malformed"}});
    return std::nullopt;
  }
  platform_adapter::stored_object object;
  object.spec = *std::move(text);
  failure reason;
  auto config = platform_adapter::configuration_from(object, reason);
  if (!config) {
    log(event::platform_unreachable, {{"detail", "configuration: " + reason.detail}});
  }
  return config;
}

}  // namespace hawthornlane::front
