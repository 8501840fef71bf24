// Cache of recent whole turns at a front host, so that most chains need no disk read.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>

#include "hawthornlane/turn_ledger/ledger_records.h"

namespace hawthornlane::front {

/// LRU cache, bounded by bytes.
class turn_cache {
public:
  explicit turn_cache(std::size_t max_bytes) : capacity(max_bytes) {}

  void add(const stored_turn& turn) {
    if (this->turns.contains(turn.id)) {
      return;
    }
    this->order.push_front(turn.id);
    this->turns.emplace(turn.id, entry{turn, this->order.begin()});
    this->cached_bytes += size_of(turn);
    while (this->cached_bytes > this->capacity && !this->order.empty()) {
      const auto oldest = this->turns.find(this->order.back());
      this->cached_bytes -= size_of(oldest->second.turn);
      this->turns.erase(oldest);
      this->order.pop_back();
    }
  }

  /// Text of the chain that ends with turn `last`, oldest first; nothing if a turn of the chain is
  /// not cached.
  std::optional<std::string> history(const request_id& last) {
    std::list<const stored_turn*> chain;
    std::optional<request_id> next = last;
    while (next) {
      const auto found = this->turns.find(*next);
      if (found == this->turns.end()) {
        return std::nullopt;
      }
      this->order.splice(this->order.begin(), this->order, found->second.recency_position);
      chain.push_front(&found->second.turn);
      next = found->second.turn.previous;
    }
    std::string text;
    for (const stored_turn* turn : chain) {
      text += turn->input;
      text += turn->output;
    }
    return text;
  }

private:
  struct entry {
    stored_turn turn;
    std::list<request_id>::iterator recency_position;
  };
  static std::size_t size_of(const stored_turn& turn) {
    constexpr std::size_t overhead = 300;
    return turn.input.size() + turn.output.size() + overhead;
  }

  std::size_t capacity;
  /// Invariant: the sum of the sizes in `turns`; at most `capacity` after each `add`.
  std::size_t cached_bytes = 0;
  std::list<request_id> order;
  std::map<request_id, entry> turns;
};

}  // namespace hawthornlane::front
