// What is played of programs of turns, and what their callers got.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "hawthornlane/placement/prefix_cache_view.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane::play {
using namespace std::chrono_literals;

constexpr duration step = 5ms;
constexpr double step_ms = 5;
/// An engine reads prompts first, then makes one token a step of its own for each call.
constexpr double read_tokens_per_ms = 83;
constexpr double token_ms = 2.5;
constexpr double turn_tokens = 70;
constexpr std::int64_t shared_tokens = 500;
constexpr std::int64_t new_tokens = 450;
constexpr int turns = 6;
constexpr int helpers = 3;
constexpr int helper_turns = 2;
/// Tool calls between two turns, and the way from caller to host and back.
constexpr duration pause = 120ms;
/// An idle engine's time of one turn: reading, tokens, and the pause.
constexpr double idle_turn_ms = 1000 / read_tokens_per_ms + turn_tokens * token_ms + 120;
constexpr duration arrivals_end = 24s;
/// Of servers that differ.
constexpr double fast_factor = 0.7;
constexpr double slow_factor = 1.7;
constexpr double spell_factor = 2.5;
constexpr duration spell = 600ms;
constexpr duration between_spells = 3400ms;
constexpr duration tick_pause = 100ms;

/// What the programs of one kind of caller got.
struct caller_result {
  int began = 0;
  int in_time = 0;
  [[nodiscard]] double share() const { return static_cast<double>(this->in_time) / this->began; }
};

/// The callers of one account.
struct account_plan {
  client_account name;
  /// Of all programs.
  double part = 1;
  /// In the burst, as a multiple of its usual rate beside that of all.
  double surge = 1;
};

struct load_plan {
  int hosts = 7;
  int servers = 8;
  std::uint32_t slots = 16;
  /// Programs a second, and in the burst.
  double usual = 24;
  double burst = 60;
  /// Hosts tell each other of loads and lines.
  bool share = true;
  duration burst_from = 6s;
  duration burst_to = 10s;
  /// A program is in time within so many times what it takes at idle engines.
  double slack = 1.5;
  /// Hosts keep to their part of the places while those are scarce.
  bool windows = false;
  /// Calls for full servers claim a place at the keeper.
  bool claims = false;
  /// Every third server is slow, and each is slower still for a seventh of the time.
  bool unequal = false;
  bool learns_speed = false;
  /// What hosts tell of loads and speeds arrives so much later.
  duration view_age{};
  /// Priorities are drawn from these evenly.
  std::vector<std::uint32_t> priorities{0};
  std::vector<account_plan> accounts{{}};
  unsigned seed = 42;
};

struct load_result {
  int began = 0;
  int in_time = 0;
  int began_after = 0;
  int in_time_after = 0;
  double read = 0;
  double unavoidable = 0;
  /// Of programs that began in the burst.
  std::map<std::uint32_t, caller_result> by_priority;
  std::map<client_account, caller_result> by_account;
  /// Of programs that began after it.
  std::map<std::uint32_t, caller_result> by_priority_after;
  int refused = 0;
  /// Calls that engines worked on in the burst, and those that they could have.
  double worked_on = 0;
  double workable = 0;
};

/// One line of turns: a program's own, or a helper's.
struct line {
  int program = 0;
  bool is_helper = false;
  int left = 0;
  std::vector<prompt_piece> prompt;
};

struct program {
  duration began{};
  int open_lines = 1;
  std::uint32_t priority = 0;
  client_account account;
};

/// A turn that waits for a server, or is at one.
struct turn {
  line from;
  int host = 0;
  double to_read = 0;
  double to_make = turn_tokens;
  bool first_event = false;
  placement_request request;
};

/// A turn that waits for a place at some servers.
struct waiting_turn {
  std::vector<place_target> targets;
  duration repeat_at{};
};

struct engine {
  backend_entry entry;
  /// How many times longer it takes than others, and when its spells begin.
  double factor = 1;
  duration spell_phase{};
  std::vector<placement_id> running;
  std::deque<placement_id> queue;
  prefix_cache_view cache;
};

/// What a host told, on its way.
struct told_update {
  duration arrives{};
  int host = 0;
  directory_update update;
};

}  // namespace hawthornlane::play
