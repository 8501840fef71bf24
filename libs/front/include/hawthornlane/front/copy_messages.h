// Messages by which a host takes a whole copy of what another one knows.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane::front {

/// What is copied between front hosts as a whole.
enum class copy_kind : std::uint8_t { configuration, backends, hosts, ledger };

constexpr std::array all_copy_kinds{copy_kind::configuration, copy_kind::backends, copy_kind::hosts,
                                    copy_kind::ledger};

/// One value for each kind of copy.
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

/// Asks for a copy, or tells that it has been taken.
struct copy_request {
  copy_kind kind = copy_kind::configuration;
  host_id asker;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->asker);
  }
};

/// Nothing when the bytes are none, or name a kind that there is not.
std::optional<copy_request> copy_request_from(const std::string& bytes);

/// A copy, or where else to ask for it.
struct copy_response {
  /// Nothing: the host asked gives as many copies as it may already.
  std::optional<std::string> copy;
  /// Hosts that have taken theirs.
  std::vector<host_id> holders;
};

/// Bytes of the answer. A copy goes as it is, with one byte after it: an archive would
/// hold a configuration of 1 MB four times while it is written.
std::string to_answer_bytes(copy_response answer);
/// Nothing when the bytes are no answer.
std::optional<copy_response> copy_answer_from(std::string bytes);

}  // namespace hawthornlane::front
