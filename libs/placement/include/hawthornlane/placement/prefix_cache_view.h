// What the prefix caches of the servers of one service probably hold, from the calls
// that were sent there. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Names a part of a prompt; equal parts of different prompts have equal names.
using prompt_part_key = strong_value<struct prompt_part_key_tag, std::uint64_t>;

/// One part of a prompt, in the order in which a server reads them.
struct prompt_piece {
  prompt_part_key key;
  /// Of the part at this call; the last part of a session grows from call to call.
  token_count tokens{0};
};

/// Follows the caches without asking the servers. A part that is wrongly believed to be
/// held costs one reading of it, never more.
class prefix_cache_view {
public:
  /// Tokens of `prompt` that `server` need not read again: up to the last part that it has
  /// read, since a server reads no part without those before it.
  [[nodiscard]] token_count held(const std::vector<prompt_piece>& prompt,
                                 const backend_server_id& server) const;
  /// The other tokens of `prompt`.
  [[nodiscard]] token_count missing(const std::vector<prompt_piece>& prompt,
                                    const backend_server_id& server) const;
  /// Servers that hold more of `prompt` than its first part, each once.
  [[nodiscard]] std::vector<backend_server_id> holders_of_line(
      const std::vector<prompt_piece>& prompt) const;
  /// Some server has read this part.
  [[nodiscard]] bool has_prompt_part(prompt_part_key part) const {
    return this->parts.contains(part);
  }
  /// `server` reads the prompt.
  void note(const std::vector<prompt_piece>& prompt, const backend_server_id& server);
  /// The same for one part, as another host told it.
  void note_part(const prompt_piece& piece, const backend_server_id& server);
  /// The server is gone, and its memory with it.
  void forget(const backend_server_id& server);

private:
  /// One server that has read a part, and how much of it.
  struct holder {
    backend_server_id server;
    token_count tokens{0};
  };
  /// Tokens of this part that the server holds; nothing when it has not read it.
  [[nodiscard]] std::optional<token_count> held_of(const prompt_piece& piece,
                                                   const backend_server_id& server) const;

  struct part_state {
    std::vector<holder> holders;
    std::list<prompt_part_key>::iterator used;
  };

  /// Most recently used first. Invariant: names every entry of `parts` once.
  std::list<prompt_part_key> by_use;
  std::unordered_map<prompt_part_key, part_state> parts;
};

}  // namespace hawthornlane
