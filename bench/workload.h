// Programs modelled on the agents of the two users; the scheduler does not know the model.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace hawthornlane::bench {

/// One turn of a program.
struct turn_shape {
  std::int64_t new_tokens = 0;
  std::int64_t answer = 0;
  /// Pause after the turn, seconds: a tool runs, or a mechanic does manual work.
  double pause = 0;
};

struct program_shape {
  double arrival = 0;
  std::uint32_t account = 0;
  /// Deadline of the whole program, seconds spent in calls; 0: none.
  double deadline = 0;
  std::vector<turn_shape> turns;
};

enum class user_mix : std::uint8_t { diagnosis, summaries };

struct workload_parameters {
  user_mix mix = user_mix::diagnosis;
  /// Share of the servers' capacity that the programs need if every prefix is cached.
  double load = 0.8;
  double seconds = 1200;
  std::size_t servers = 10;
  /// Extra load from account 0, as a multiple of its fair share of the load; 0: none.
  double flood = 0;
  std::uint64_t seed = 1;
};

constexpr std::uint32_t account_count = 4;

/// Programs in order of arrival (open loop).
std::vector<program_shape> make_programs(const workload_parameters& parameters);

}  // namespace hawthornlane::bench
