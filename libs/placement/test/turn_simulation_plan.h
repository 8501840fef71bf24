// Parameters, state and results of the simulation of programs with several turns.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "hawthornlane/placement/prefix_cache_view.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane::simulate {
using namespace std::chrono_literals;

constexpr duration step = 5ms;
constexpr double step_ms = 5;
/// An engine reads prompts first, then generates one token per call every `token_ms`.
constexpr double read_tokens_per_ms = 83;
constexpr double token_ms = 2.5;
constexpr double turn_tokens = 70;
constexpr std::int64_t shared_tokens = 500;
constexpr std::int64_t new_tokens = 450;
constexpr int turns = 6;
constexpr int sub_agents = 3;
constexpr int sub_agent_turns = 2;
/// Time between two turns: tool calls, and the round trip between caller and host.
constexpr duration turn_interval = 120ms;
/// Time of one turn at an idle engine: reading, generating, and the pause.
constexpr double idle_turn_ms = 1000 / read_tokens_per_ms + turn_tokens * token_ms + 120;
constexpr duration arrivals_end = 24s;
/// Slowdown factors of fast servers and of slow servers, and the further factor of slow periods.
constexpr double fast_factor = 0.7;
constexpr double slow_factor = 1.7;
constexpr double slow_period_factor = 2.5;
constexpr duration slow_period = 600ms;
constexpr duration normal_period = 3400ms;
constexpr duration tick_interval = 100ms;

/// Result for the programs of one kind of caller.
struct caller_result {
  int began = 0;
  int in_time = 0;
  [[nodiscard]] double share() const { return static_cast<double>(this->in_time) / this->began; }
};

/// The callers of one account.
struct account_plan {
  client_account name;
  /// Fraction of all programs.
  double part = 1;
  /// Additional factor of this account's rate in the burst.
  double surge = 1;
};

struct load_plan {
  int hosts = 7;
  int servers = 8;
  std::uint32_t slots = 16;
  /// Programs per second, usually and in the burst.
  double usual = 24;
  double burst = 60;
  /// Hosts exchange loads and session locations.
  bool share = true;
  duration burst_from = 6s;
  duration burst_to = 10s;
  /// A program is in time if it takes at most this multiple of its time at idle engines.
  double slack = 1.5;
  /// Hosts limit their calls in flight under overload.
  bool limits_in_flight = false;
  /// Calls claim a place when their server is full.
  bool claims = false;
  /// Every third server is slow, and each server is additionally slower for a seventh of the time.
  bool unequal_speeds = false;
  bool learns_speed = false;
  /// Delay of the loads and speeds that hosts report.
  duration report_delay{};
  /// Programs get these priorities in turn.
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
  double required_read = 0;
  /// Results of programs that began in the burst.
  std::map<std::uint32_t, caller_result> by_priority;
  std::map<client_account, caller_result> by_account;
  /// Results of programs that began after the burst.
  std::map<std::uint32_t, caller_result> by_priority_after;
  int refused = 0;
  /// Sums over the steps of the burst: calls that engines worked on, and their slots.
  double busy_slot_steps = 0;
  double slot_steps = 0;
};

/// One session: a sequence of turns of a program or of one of its sub-agents.
struct line {
  int program = 0;
  bool is_sub_agent = false;
  int left = 0;
  std::vector<prompt_piece> prompt;
};

struct program {
  duration began{};
  int open_sessions = 1;
  std::uint32_t priority = 0;
  client_account account;
};

/// A turn that waits for a server, or is at one.
struct turn {
  line from;
  int host = 0;
  double to_read = 0;
  double to_generate = turn_tokens;
  bool first_event = false;
  placement_request request;
};

/// A turn that has claimed a place at some servers.
struct waiting_turn {
  std::vector<place_target> targets;
  duration repeat_at{};
};

struct engine {
  backend_entry entry;
  /// Slowdown factor, and time offset of its slow periods.
  double factor = 1;
  duration slow_period_offset{};
  std::vector<placement_id> running;
  std::deque<placement_id> queue;
  prefix_cache_view cache;
};

/// A host's directory update in transit.
struct sent_update {
  duration arrives{};
  int host = 0;
  directory_update update;
};

}  // namespace hawthornlane::simulate
