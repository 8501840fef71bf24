// A mirrored least-recently-used cache.
#include "hawthornlane/cache/prefix_cache_model.h"

#include <iterator>

namespace hawthornlane {

void prefix_cache_model::use(const program_id& program, token_count tokens, timestamp now) {
  this->erase(program);
  this->entries.push_back({program, tokens, now});
  this->index[program] = std::prev(this->entries.end());
  this->sum = this->sum + tokens;
  while (this->sum > this->capacity && this->entries.size() > 1) {
    this->erase(program_id(this->entries.front().program));
  }
}

void prefix_cache_model::erase(const program_id& program) {
  const auto found = this->index.find(program);
  if (found == this->index.end()) {
    return;
  }
  this->sum = this->sum - found->second->tokens;
  this->entries.erase(found->second);
  this->index.erase(found);
}

void prefix_cache_model::clear() {
  this->entries.clear();
  this->index.clear();
  this->sum = token_count(0);
}

bool prefix_cache_model::holds(const program_id& program) const {
  return this->index.contains(program);
}

bool prefix_cache_model::would_evict_recent(token_count tokens, duration age, timestamp now) const {
  token_count free = this->capacity - this->sum;
  for (const entry& item : this->entries) {
    if (free >= tokens) {
      return false;
    }
    if (now - item.used < age) {
      return true;
    }
    free = free + item.tokens;
  }
  return false;
}

}  // namespace hawthornlane
