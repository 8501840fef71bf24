// The form in which hosts pass a configuration on.
#include "configuration_copy.h"

#include <utility>

#include "hawthornlane/net/compression.h"
#include "hawthornlane/platform_adapter/store_objects.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {

namespace {

/// The store takes values of 1 MB; a text of more than this is not unpacked.
constexpr std::size_t largest_configuration = std::size_t{4} * 1024 * 1024;

}  // namespace

std::string pack_configuration(std::string_view text) { return net::compress(text); }

std::optional<configuration> unpack_configuration(const std::string& copy) {
  auto text = net::decompress(copy, largest_configuration);
  if (!text) {
    log(event::peer_unreachable, {{"detail", "bytes that are no configuration"}});
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
