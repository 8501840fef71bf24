// Decides whether a stream may go on, and at which software version. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "hawthornlane/turn_ledger/stream_origin.h"

namespace hawthornlane {

/// What a host knows about a stream that a caller takes up.
struct resumption_facts {
  origin_outcome found = origin_outcome::undecided;
  /// Set if `found`.
  std::optional<stream_origin> origin;
  /// The service that would get the call now.
  service_name service;
  /// The route stores turns. The caller has the first part of the turn, so its whole text would not
  /// be stored.
  bool keeps_turns = false;
};

enum class resumption_kind : std::uint8_t {
  goes_on,
  version_unknown,
  /// The route leads to another service than the one that began the stream.
  service_changed,
  turn_not_whole,
  /// The run that brought a part of the stream has proved invalid.
  withdrawn,
};

struct resumption_decision {
  resumption_kind kind = resumption_kind::version_unknown;
  /// Only servers of this version may get the call. Set if the stream goes on.
  std::optional<software_version> version;
};

inline resumption_decision decide_resumption(const resumption_facts& facts) {
  if (facts.keeps_turns) {
    return {resumption_kind::turn_not_whole, std::nullopt};
  }
  if (facts.origin && facts.origin->is_withdrawn()) {
    return {resumption_kind::withdrawn, std::nullopt};
  }
  if (facts.found == origin_outcome::found && facts.origin) {
    const bool is_same = facts.origin->service == facts.service;
    return is_same ? resumption_decision{resumption_kind::goes_on, facts.origin->version}
                   : resumption_decision{resumption_kind::service_changed, std::nullopt};
  }
  return {resumption_kind::version_unknown, std::nullopt};
}

inline std::string_view name_of(resumption_kind kind) {
  switch (kind) {
    case resumption_kind::goes_on:
      return "the stream goes on";
    case resumption_kind::version_unknown:
      return "the version that began the stream is not known";
    case resumption_kind::service_changed:
      return "the route leads to another service than the one that began the stream";
    case resumption_kind::turn_not_whole:
      return "the route stores whole turns only";
    case resumption_kind::withdrawn:
      return "a server that brought a part of the stream has proved invalid";
  }
  return "";
}

}  // namespace hawthornlane
