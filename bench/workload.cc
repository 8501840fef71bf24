// Random programs with heavy-tailed sizes.
#include "workload.h"

#include <algorithm>
#include <cmath>

namespace hawthornlane::bench {
namespace {

constexpr std::size_t max_turns = 68;
constexpr std::int64_t longest_history = 710'000;
// Cost per token at a batch of sixteen with the parameters of engine_model.h: a step takes
// 10 + 15 * 0.6 = 19 ms and yields 16 tokens, which is 842 tokens per second. A prefilled token
// delays the whole batch by 0.1 ms.
constexpr double decode_seconds_per_token = (0.010 + 15 * 0.0006) / 16;
constexpr double prefill_seconds_per_token = 0.00010;

class program_generator {
public:
  program_generator(user_mix chosen, std::uint64_t seed) : mix(chosen), random(seed) {}

  double lognormal(double median, double sigma) {
    return std::lognormal_distribution<double>(std::log(median), sigma)(this->random);
  }
  std::int64_t tokens(double median, double sigma, std::int64_t maximum) {
    const auto drawn = static_cast<std::int64_t>(this->lognormal(median, sigma));
    return std::clamp<std::int64_t>(drawn, 8, maximum);
  }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

  program_shape program() {
    return this->mix == user_mix::diagnosis ? this->diagnosis() : this->summary();
  }

private:
  /// A guided fault diagnosis: few to very many turns, long pauses.
  program_shape diagnosis() {
    program_shape program;
    const auto turns =
        std::clamp<std::size_t>(static_cast<std::size_t>(this->lognormal(7, 0.8)), 2, max_turns);
    std::int64_t history = 0;
    for (std::size_t at = 0; at < turns; ++at) {
      turn_shape turn;
      turn.new_tokens = at == 0 ? this->tokens(2500, 0.7, 60'000) : this->tokens(500, 1.2, 40'000);
      turn.answer = this->tokens(160, 0.8, 2000);
      // Half of the pauses are quick tools, the others manual work by a mechanic.
      turn.pause = this->uniform() < 0.5 ? this->lognormal(1.5, 1.0) : this->lognormal(25, 1.0);
      turn.pause = std::min(turn.pause, 600.0);
      history += turn.new_tokens + turn.answer;
      program.turns.push_back(turn);
      if (history > longest_history) {
        break;
      }
    }
    return program;
  }

  /// A summary: data first, then a chain of drafts with short pauses.
  program_shape summary() {
    program_shape program;
    program.deadline = 120;
    const auto turns =
        std::clamp<std::size_t>(static_cast<std::size_t>(this->lognormal(10, 0.6)), 3, max_turns);
    for (std::size_t at = 0; at < turns; ++at) {
      turn_shape turn;
      turn.new_tokens = at == 0 ? this->tokens(6000, 0.8, 120'000) : this->tokens(700, 1.0, 40'000);
      turn.answer = this->tokens(220, 0.7, 2000);
      turn.pause = std::min(this->lognormal(0.8, 0.9), 60.0);
      program.turns.push_back(turn);
    }
    return program;
  }

  user_mix mix;
  std::mt19937_64 random;
};

double work_of(const program_shape& program) {
  double seconds = 0;
  for (const turn_shape& turn : program.turns) {
    seconds += static_cast<double>(turn.new_tokens) * prefill_seconds_per_token +
               static_cast<double>(turn.answer) * decode_seconds_per_token;
  }
  return seconds;
}

double mean_work(user_mix mix) {
  constexpr int samples = 4000;
  program_generator source(mix, 4711);
  double sum = 0;
  for (int at = 0; at < samples; ++at) {
    sum += work_of(source.program());
  }
  return sum / samples;
}

/// Adds arrivals at `rate` programs per second; summaries arrive in bursts.
void add_arrivals(const workload_parameters& parameters, program_generator& source, double rate,
                  bool only_first_account, std::vector<program_shape>& programs) {
  std::mt19937_64 random(parameters.seed * 7919 + (only_first_account ? 13 : 0));
  std::exponential_distribution<double> gap(rate);
  std::uniform_int_distribution<std::uint32_t> account(0, account_count - 1);
  const bool bursts = parameters.mix == user_mix::summaries;
  double now = gap(random);
  while (now < parameters.seconds) {
    program_shape program = source.program();
    program.account = only_first_account ? 0 : account(random);
    // The sub-agents of one summary start together.
    const int fan_out = bursts ? 4 : 1;
    program.arrival = now;
    programs.push_back(program);
    for (int copy = 1; copy < fan_out; ++copy) {
      program_shape sub_agent = source.program();
      sub_agent.account = program.account;
      sub_agent.arrival = now;
      programs.push_back(sub_agent);
    }
    now += gap(random) * fan_out;
  }
}

}  // namespace

std::vector<program_shape> make_programs(const workload_parameters& parameters) {
  program_generator source(parameters.mix, parameters.seed);
  const double capacity = static_cast<double>(parameters.servers);
  const double rate = parameters.load * capacity / mean_work(parameters.mix);
  std::vector<program_shape> programs;
  add_arrivals(parameters, source, rate, false, programs);
  if (parameters.flood > 0) {
    add_arrivals(parameters, source, rate / account_count * parameters.flood, true, programs);
  }
  std::sort(programs.begin(), programs.end(),
            [](const program_shape& a, const program_shape& b) { return a.arrival < b.arrival; });
  return programs;
}

}  // namespace hawthornlane::bench
