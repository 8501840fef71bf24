// Estimates which programs' prefixes one backend server has cached, from the calls sent there.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Models a bounded LRU cache. It is used instead of the engine's own cache events, which arrive
/// late and with gaps. The model needs no messages, and is right as long as the engine evicts in
/// roughly LRU order. A wrong entry costs one prefill at most.
class prefix_cache_model {
public:
  explicit prefix_cache_model(token_count max_tokens) : capacity(max_tokens) {}

  /// A call of the program with that many tokens was sent to the server.
  void use(const program_id& program, token_count tokens, timestamp now);
  void erase(const program_id& program);
  void clear();
  [[nodiscard]] bool holds(const program_id& program) const;
  /// True if making room for `tokens` more would evict a prefix used less than `age` ago.
  [[nodiscard]] bool would_evict_recent(token_count tokens, duration age, timestamp now) const;
  [[nodiscard]] token_count cached_tokens() const { return this->total_tokens; }

private:
  struct entry {
    program_id program;
    token_count tokens{0};
    timestamp used;
  };
  token_count capacity;
  token_count total_tokens{0};
  /// Least recently used first. Invariant: `index` refers to each entry once.
  std::list<entry> entries;
  std::unordered_map<program_id, std::list<entry>::iterator> index;
};

}  // namespace hawthornlane
