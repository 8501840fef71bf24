// Compares the policies over loads, faults and workload mixes; CSV on standard output.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "experiment.h"

namespace {

using namespace hawthornlane::bench;

constexpr const char* usage = R"(hawthornlane-bench: the scheduling policy against baselines.

Usage:
  hawthornlane-bench [--seeds LIST] [--seconds N] [--loads LIST] [--policies LIST]
                     [--faults LIST] [--mixes LIST] [--flood X]

Options:
  --seeds LIST     Comma-separated seeds [default: 11,12,13].
  --seconds N      Duration of program arrivals, seconds [default: 900].
  --loads LIST     Loads in percent of capacity [default: 50,80,95,110].
  --policies LIST  Policy names, "all" or "ablation" [default: all].
  --faults LIST    none,slow,hung,zone,late,restart [default: none].
  --mixes LIST     diagnosis,summaries [default: diagnosis,summaries].
  --flood X        Account 0 additionally asks for X times its share [default: 0].
)";

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> items;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    items.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return items;
}

std::vector<std::string> chosen_policies(const std::string& text) {
  const std::vector<std::string> all = policy_names();
  if (text == "all") {
    return {all.begin(), all.begin() + 4};
  }
  if (text == "ablation") {
    return {all.begin() + 3, all.end()};
  }
  return split(text);
}

fault fault_from(const std::string& name) {
  static const std::vector<std::string> names{"none", "slow", "hung", "zone", "late", "restart"};
  const auto found = std::find(names.begin(), names.end(), name);
  return static_cast<fault>(found - names.begin());
}

struct job {
  run_parameters parameters;
  run_figures figures;
};

/// Mean of each figure over the seeds of one row.
run_figures mean_of(const std::vector<job>& jobs, std::size_t first, std::size_t count) {
  run_figures sum;
  sum.deadline_hits = 0;
  for (std::size_t at = first; at < first + count; ++at) {
    const run_figures& figures = jobs[at].figures;
    const auto share = 1.0 / static_cast<double>(count);
    sum.programs += figures.programs;
    sum.mean += figures.mean * share;
    sum.p50 += figures.p50 * share;
    sum.p95 += figures.p95 * share;
    sum.p99 += figures.p99 * share;
    sum.deadline_hits += figures.deadline_hits * share;
    sum.reprefilled_million += figures.reprefilled_million * share;
    sum.dead_held_million += figures.dead_held_million * share;
    sum.account_spread += figures.account_spread * share;
    sum.quiet_mean += figures.quiet_mean * share;
    sum.decisions_per_second += figures.decisions_per_second * share;
  }
  return sum;
}

void run_all(std::vector<job>& jobs) {
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> threads;
  constexpr unsigned max_threads = 7;
  for (unsigned at = 0; at < max_threads; ++at) {
    threads.emplace_back([&] {
      for (std::size_t mine = next++; mine < jobs.size(); mine = next++) {
        jobs[mine].figures = run(jobs[mine].parameters);
      }
    });
  }
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const auto text = [&arguments](const char* name) { return arguments.at(name).asString(); };
  const std::vector<std::string> seeds = split(text("--seeds"));
  std::vector<job> jobs;
  for (const std::string& mix : split(text("--mixes"))) {
    for (const std::string& with : split(text("--faults"))) {
      for (const std::string& load : split(text("--loads"))) {
        for (const std::string& name : chosen_policies(text("--policies"))) {
          for (const std::string& seed : seeds) {
            run_parameters one;
            one.workload.mix = mix == "summaries" ? user_mix::summaries : user_mix::diagnosis;
            one.workload.load = std::stod(load) / 100;
            one.workload.seconds = std::stod(text("--seconds"));
            one.workload.flood = std::stod(text("--flood"));
            one.workload.seed = std::stoull(seed);
            one.policy = name;
            one.with = fault_from(with);
            if (!make_policy(name, 1)) {
              fmt::print(stderr, "policy '{}' is unknown\n", name);
              return 2;
            }
            jobs.push_back({one, {}});
          }
        }
      }
    }
  }
  run_all(jobs);
  fmt::print(
      "mix,fault,load,policy,programs,mean,p50,p95,p99,deadline_hits,reprefilled_million,"
      "dead_held_million,account_spread,quiet_mean,decisions_per_second\n");
  for (std::size_t at = 0; at < jobs.size(); at += seeds.size()) {
    const run_parameters& row = jobs[at].parameters;
    const run_figures sum = mean_of(jobs, at, seeds.size());
    fmt::print(
        "{},{},{:.0f},{},{},{:.2f},{:.2f},{:.2f},{:.2f},{:.4f},{:.2f},{:.2f},{:.2f},{:.2f},"
        "{:.0f}\n",
        row.workload.mix == user_mix::summaries ? "summaries" : "diagnosis", fault_name(row.with),
        row.workload.load * 100, row.policy, sum.programs, sum.mean, sum.p50, sum.p95, sum.p99,
        sum.deadline_hits, sum.reprefilled_million, sum.dead_held_million, sum.account_spread,
        sum.quiet_mean, sum.decisions_per_second);
  }
  return 0;
}
