// Tickets: each identifies one call and is issued by the owner of one epoch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// Permission to run one turn of one program once.
///
/// Guarantee: only the owner of epoch `issued_in` runs a call under this ticket, at most once.
struct ticket {
  shard_id shard;
  epoch issued_in;
  turn_number turn;
  /// Random number in which two tickets of the same turn differ.
  std::uint64_t nonce = 0;

  friend auto operator<=>(const ticket&, const ticket&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shard, this->issued_in, this->turn, this->nonce);
  }
};

/// The text of a ticket in HTTP: shard, epoch, turn, nonce, e.g. "7.3.12.9f04c1d2e3a4b5c6".
std::string to_string(const ticket& value);
/// Parses a text of `to_string`; nothing for any other text.
std::optional<ticket> ticket_from_string(std::string_view text);

/// A program id that contains its shard, e.g. "p7-9f04c1d2e3a4b5c6".
program_id make_program_id(shard_id shard, std::uint64_t random);
/// The shard in a program id; nothing when the id is malformed.
std::optional<shard_id> shard_of(const program_id& program);

}  // namespace hawthornlane
