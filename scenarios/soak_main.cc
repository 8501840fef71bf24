// hawthornlane-soak: one long randomised run; exits 1 on any violation.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include "broken_rules.h"
#include "soak.h"

namespace {

constexpr const char* usage = R"(hawthornlane-soak: randomised runs of shard cores on virtual time.

Usage:
  hawthornlane-soak [--seed N] [--seeds N] [--steps N] [--hosts N] [--break NAME] [--trace]

Options:
  --seed N      First seed [default: 1].
  --seeds N     How many seeds, one after the other [default: 1].
  --steps N     Steps of 40 ms in each [default: 20000].
  --hosts N     5 to 9 [default: 5].
  --break NAME  Disable a rule: fence, intent, seal, charge, refusal, ticket.
  --trace       Print the main events.
)";

void add(std::map<std::string, std::uint64_t>& sum,
         const std::map<std::string, std::uint64_t>& more) {
  for (const auto& [name, count] : more) {
    sum[name] += count;
  }
}

void print(const char* title, const std::map<std::string, std::uint64_t>& counts) {
  fmt::print("{}:", title);
  for (const auto& [name, count] : counts) {
    fmt::print(" {} {};", name, count);
  }
  fmt::print("\n");
}

}  // namespace

int main(int argc, char** argv) {
  using namespace hawthornlane;
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const auto number = [&arguments](const char* name) {
    return std::stoull(arguments.at(name).asString());
  };
  soak::soak_parameters parameters;
  parameters.steps = number("--steps");
  parameters.hosts = number("--hosts");
  parameters.trace = arguments.at("--trace").asBool();
  if (arguments.at("--break")) {
    const auto rules = soak::rules_without(arguments.at("--break").asString());
    if (!rules) {
      fmt::print(stderr, "--break: unknown rule\n");
      return 2;
    }
    parameters.rules = *rules;
  }
  soak::soak_report sum;
  for (std::uint64_t at = 0; at < number("--seeds"); ++at) {
    parameters.seed = number("--seed") + at;
    const soak::soak_report report = soak::run(parameters);
    sum.steps += report.steps;
    sum.calls += report.calls;
    sum.dispatched += report.dispatched;
    add(sum.faults, report.faults);
    add(sum.answers, report.answers);
    if (!report.violation.empty()) {
      fmt::print("seed {} step {}: {}\n", parameters.seed, report.violation_step, report.violation);
      sum.violation = report.violation;
      break;
    }
  }
  fmt::print("steps {} calls {} dispatched {}\n", sum.steps, sum.calls, sum.dispatched);
  print("faults", sum.faults);
  print("answers", sum.answers);
  fmt::print("violations {}\n", sum.violation.empty() ? 0 : 1);
  return sum.violation.empty() ? 0 : 1;
}
