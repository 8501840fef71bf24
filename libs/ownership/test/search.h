// Multi-threaded breadth-first search through all states of the model.
#pragma once

#include <array>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "search_model.h"

namespace hawthornlane::search {

/// Result of a search.
struct search_result {
  std::size_t states = 0;
  bool exhausted = false;
  std::string violation;
  std::vector<std::string> trace;
};

/// Hashes of the states seen so far; shared between threads.
class seen_states {
public:
  struct origin {
    std::uint64_t before = 0;
    std::string name;
  };

  /// True when the state is new.
  bool add(std::uint64_t hash, std::uint64_t before, const std::string& name) {
    part& target = this->parts[hash % part_count];
    const std::lock_guard lock(target.mutex);
    return target.states.emplace(hash, origin{before, name}).second;
  }

  [[nodiscard]] std::size_t size() {
    std::size_t total = 0;
    for (part& item : this->parts) {
      total += item.states.size();
    }
    return total;
  }

  /// Names of the steps from the first state to that one.
  std::vector<std::string> trace_to(std::uint64_t hash) {
    std::vector<std::string> names;
    while (true) {
      const origin& step = this->parts[hash % part_count].states.at(hash);
      if (step.name.empty()) {
        return names;
      }
      names.insert(names.begin(), step.name);
      hash = step.before;
    }
  }

private:
  static constexpr std::size_t part_count = 64;
  struct part {
    std::mutex mutex;
    std::unordered_map<std::uint64_t, origin> states;
  };
  std::array<part, part_count> parts;
};

inline std::uint64_t hash_of(const model& state) {
  const std::string bytes = bytes_of(state);
  return XXH3_64bits(bytes.data(), bytes.size());
}

/// Result of one thread for one level of the search.
struct level_part {
  std::vector<model> next;
  std::optional<std::uint64_t> violating;
  std::string violation;
};

inline void expand(const explorer& moves, const std::vector<model>& frontier, std::size_t first,
                   std::size_t stride, seen_states& seen, level_part& out) {
  for (std::size_t at = first; at < frontier.size(); at += stride) {
    const std::uint64_t before = hash_of(frontier[at]);
    for (step& move : moves.steps(frontier[at])) {
      const std::uint64_t hash = hash_of(move.after);
      if (!seen.add(hash, before, move.name)) {
        continue;
      }
      if (!move.after.violation.empty() && (!out.violating || hash < *out.violating)) {
        out.violating = hash;
        out.violation = move.after.violation;
      }
      out.next.push_back(std::move(move.after));
    }
  }
}

/// Visits the reachable states, breadth first, until a violation is found, all states are visited
/// or `max_states` are seen. The verdict and the length of the trace do not depend on the timing
/// of the threads.
inline search_result search(const bounds& limits, const ownership_rules& rules) {
  constexpr std::size_t thread_count = 8;
  const explorer moves(limits, rules);
  seen_states seen;
  std::vector<model> frontier{moves.initial()};
  seen.add(hash_of(frontier.front()), 0, "");
  search_result found;
  while (!frontier.empty() && seen.size() < limits.max_states) {
    std::vector<level_part> parts(thread_count);
    {
      std::vector<std::jthread> threads;
      for (std::size_t at = 0; at < thread_count; ++at) {
        threads.emplace_back(
            [&, at] { expand(moves, frontier, at, thread_count, seen, parts[at]); });
      }
    }
    frontier.clear();
    for (level_part& part : parts) {
      if (part.violating && found.violation.empty()) {
        found.violation = part.violation;
        found.trace = seen.trace_to(*part.violating);
      }
      std::move(part.next.begin(), part.next.end(), std::back_inserter(frontier));
    }
    if (!found.violation.empty()) {
      found.states = seen.size();
      return found;
    }
  }
  found.states = seen.size();
  found.exhausted = frontier.empty();
  return found;
}

}  // namespace hawthornlane::search
