// Messages by which a host fetches a full copy of another host's state.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane::front {

/// Kinds of state that front hosts copy from each other as a whole.
enum class copy_kind : std::uint8_t { configuration, backends, hosts, ledger };

constexpr std::array all_copy_kinds{copy_kind::configuration, copy_kind::backends, copy_kind::hosts,
                                    copy_kind::ledger};

/// Name of a kind in logs.
std::string_view name_of(copy_kind kind);

/// Array of one value for each kind of copy.
template <class Value>
class per_copy_kind {
public:
  Value& operator[](copy_kind kind) { return this->values.at(static_cast<std::size_t>(kind)); }
  const Value& operator[](copy_kind kind) const {
    return this->values.at(static_cast<std::size_t>(kind));
  }
  auto begin() { return this->values.begin(); }
  auto end() { return this->values.end(); }

private:
  std::array<Value, all_copy_kinds.size()> values;
};

/// Requests a copy, or confirms that it has arrived.
struct copy_request {
  copy_kind kind = copy_kind::configuration;
  host_id requester;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->requester);
  }
};

/// `nullopt` when the bytes are malformed or the kind is unknown.
std::optional<copy_request> copy_request_from(const std::string& bytes);

/// A copy, or other hosts that have it.
struct copy_response {
  /// `nullopt`: the sender is already sending as many copies as it may.
  std::optional<std::string> copy;
  /// Hosts that have received their copy.
  std::vector<host_id> holders;
};

/// Encodes an answer. A copy is sent as it is, followed by one tag byte: an archive would hold a
/// configuration of 1 MB in memory four times while writing it.
std::string to_response_bytes(copy_response answer);
/// `nullopt` when the bytes are malformed.
std::optional<copy_response> copy_response_from(std::string bytes);

}  // namespace hawthornlane::front
