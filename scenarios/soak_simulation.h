// Simulation of the soak: hosts with real shard cores, in-flight messages, and callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/ownership/shard_core.h"
#include "soak.h"

namespace hawthornlane::soak {

constexpr shard_id the_shard{1};
constexpr std::size_t program_count = 4;
constexpr std::int64_t budget = 400;
constexpr std::int64_t reserved = 20;
constexpr auto step_time = std::chrono::milliseconds(40);
constexpr auto longest_delay_ms = 600;

/// An event that is scheduled for a virtual time.
struct scheduled_event {
  enum class kind : std::uint8_t { message, map_write, map_answer, send, result };
  kind what = kind::message;
  std::size_t host = 0;
  host_incarnation from;
  host_incarnation to;
  std::optional<shard_message> message;
  assignment expected;
  assignment desired;
  proposal_outcome outcome = proposal_outcome::applied;
  call_id call;
  ticket under;
  bool repeatable = false;
};

/// One host: alive, paused or restarting, with the shard core of its current incarnation.
struct soak_host {
  std::optional<shard_core> core;
  host_incarnation id;
  timestamp paused_until;
  timestamp dead_until;
  bool cut_off = false;
};

/// A caller's view of its program.
struct caller {
  program_id program;
  std::optional<ticket> current;
  std::uint64_t digest = 0;
  bool repeatable = false;
  bool waiting = false;
  std::uint64_t seen_turns = 0;
};

/// Deterministic: the same parameters give the same run.
class simulation {
public:
  explicit simulation(const soak_parameters& with) : parameters(with), random(with.seed) {
    for (std::size_t at = 0; at < with.hosts; ++at) {
      this->hosts.emplace_back();
      this->start(at);
    }
  }

  soak_report run();

private:
  std::uint64_t random_below(std::uint64_t bound) { return this->random() % bound; }
  bool chance(std::uint64_t per_thousand) { return this->random_below(1000) < per_thousand; }
  void start(std::size_t at);
  bool is_running(const soak_host& host) const;
  std::optional<std::size_t> find(const host_incarnation& id) const;
  void schedule(scheduled_event item, std::uint64_t extra_ms = 0);
  void note(const std::string& text) const;

  // Actions of shard cores.
  void carry_out(std::size_t at, const actions& todo);
  void send(std::size_t at, const send_message& message);

  // Deliveries.
  void deliver_due();
  void deliver(scheduled_event item);
  void write_map(const scheduled_event& item);
  void send_call(std::size_t at, shard_core& core, const scheduled_event& item);
  void end_call(std::size_t at, shard_core& core, const scheduled_event& item);

  // Time and faults.
  void tick();
  /// Replaces replicas on hosts that have ended, as the ownership manager does.
  void replace_ended_replicas(std::size_t at);
  void maybe_fault();
  std::size_t dead() const;
  std::size_t cut() const;
  /// Any follower may suspect the owner, correctly or not, and claim the shard.
  void maybe_claim();

  // Callers.
  void maybe_call();
  void open();
  void take_answer(call_id call, const call_answer& answer);

  // Invariants.
  void report_violation(const std::string& what);
  void check();

  soak_parameters parameters;
  std::mt19937_64 random;
  soak_report report;
  timestamp now{};
  std::vector<soak_host> hosts;
  assignment map;
  bool platform_down = false;
  std::multimap<timestamp, scheduled_event> scheduled_events;
  std::vector<caller> callers;
  std::map<call_id, program_id> calls;
  std::map<call_id, ticket> presented_tickets;
  std::map<program_id, std::vector<ticket>> used;
  std::map<ticket, int> executed;
  std::set<ticket> refused;
  std::map<program_id, std::int64_t> spent;
  std::map<host_incarnation, epoch> highest_sealed;
  std::uint64_t next_incarnation = 1;
  std::uint64_t next_call = 1;
};

}  // namespace hawthornlane::soak
