// Tickets: the identity of one call, issued by the owner of one epoch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// Permission to run one turn of one program once.
///
/// Promise: only the owner that holds `issued_in` ever runs a call under this
/// ticket, and it does so at most once.
struct ticket {
  shard_id shard;
  epoch issued_in;
  turn_number turn;
  /// Random part; two tickets of the same turn differ in it.
  std::uint64_t nonce = 0;

  friend auto operator<=>(const ticket&, const ticket&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shard, this->issued_in, this->turn, this->nonce);
  }
};

/// The form of a ticket in HTTP, e.g. "7.3.12.9f04c1d2e3a4b5c6".
std::string to_string(const ticket& value);
/// Reads what `to_string` wrote; nothing when the text is anything else.
std::optional<ticket> ticket_from_string(std::string_view text);

/// A program id that names its shard, e.g. "p7-9f04c1d2e3a4b5c6".
program_id make_program_id(shard_id shard, std::uint64_t random);
/// The shard that a program id names; nothing when it is malformed.
std::optional<shard_id> shard_of(const program_id& program);

}  // namespace hawthornlane
