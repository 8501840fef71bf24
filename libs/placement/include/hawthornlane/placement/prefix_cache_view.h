// Estimates which servers of a service have cached which parts of prompts, from the calls that were
// sent to them. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Identifies a part of a prompt; equal parts of different prompts have equal keys.
using prompt_part_key = strong_value<struct prompt_part_key_tag, std::uint64_t>;

/// One part of a prompt. A prompt lists its parts in the order in which a server reads them.
struct prompt_piece {
  prompt_part_key key;
  /// Length of the part in this call; the last part of a session grows from call to call.
  token_count tokens{0};
};

/// Tracks the caches without querying the servers. If a part is wrongly assumed to be cached, the
/// server reads it once more; there is no other cost.
class prefix_cache_view {
public:
  /// Number of tokens of `prompt` that `server` has cached. All parts before the last cached part
  /// count as cached, since a server reads no part without those before it.
  [[nodiscard]] token_count cached(const std::vector<prompt_piece>& prompt,
                                   const backend_server_id& server) const;
  /// Number of tokens of `prompt` that `server` would have to read.
  [[nodiscard]] token_count uncached(const std::vector<prompt_piece>& prompt,
                                     const backend_server_id& server) const;
  /// Servers that have cached more of `prompt` than its first part, without duplicates.
  [[nodiscard]] std::vector<backend_server_id> servers_with_session(
      const std::vector<prompt_piece>& prompt) const;
  /// True if some server is known to have read this part.
  [[nodiscard]] bool has_prompt_part(prompt_part_key part) const {
    return this->parts.contains(part);
  }
  /// Records that `server` reads the prompt.
  void add_prompt(const std::vector<prompt_piece>& prompt, const backend_server_id& server);
  /// Records that `server` has read one part, as another host reports it.
  void add_part(const prompt_piece& piece, const backend_server_id& server);
  /// Removes a server that has stopped and so lost its cache.
  void drop_server(const backend_server_id& server);

private:
  /// A server that has read a part, and the number of its tokens that it has read.
  struct holder {
    backend_server_id server;
    token_count tokens{0};
  };
  /// Number of tokens of this part that the server has cached. Empty if it has not read the part.
  [[nodiscard]] std::optional<token_count> cached_part(const prompt_piece& piece,
                                                       const backend_server_id& server) const;

  struct part_state {
    std::vector<holder> holders;
    std::list<prompt_part_key>::iterator recency_position;
  };

  /// Most recently used first. Invariant: contains the key of each entry of `parts` once.
  std::list<prompt_part_key> recency;
  std::unordered_map<prompt_part_key, part_state> parts;
};

}  // namespace hawthornlane
