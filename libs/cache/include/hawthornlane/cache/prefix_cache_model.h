// What a backend server's prefix cache probably holds, from what was sent there.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Mirrors a bounded least-recently-used cache. Cache events of engines come late
/// and with gaps; this costs no message and is right as long as the engine evicts
/// in about that order. A program that is wrongly believed to be held costs a
/// prefill, never more.
class prefix_cache_model {
public:
  explicit prefix_cache_model(token_count most) : capacity(most) {}

  /// A call of the program is at the server with that many tokens.
  void use(const program_id& program, token_count tokens, timestamp now);
  void erase(const program_id& program);
  void clear();
  [[nodiscard]] bool holds(const program_id& program) const;
  /// Whether room for `tokens` more would push out a prefix that was used less
  /// than `age` ago.
  [[nodiscard]] bool would_evict_recent(token_count tokens, duration age, timestamp now) const;
  [[nodiscard]] token_count held() const { return this->sum; }

private:
  struct entry {
    program_id program;
    token_count tokens{0};
    timestamp used;
  };
  token_count capacity;
  token_count sum{0};
  /// Least recently used first. Invariant: `index` names every entry once.
  std::list<entry> entries;
  std::unordered_map<program_id, std::list<entry>::iterator> index;
};

}  // namespace hawthornlane
