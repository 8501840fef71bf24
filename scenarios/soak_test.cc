// Runs the soak with fixed seeds, and with each rule disabled, which it must detect.
#include <catch2/catch.hpp>

#include "broken_rules.h"
#include "soak.h"

using namespace hawthornlane;

TEST_CASE("randomised runs with fixed seeds violate no invariant") {
  const auto seed = GENERATE(range(1, 21));
  soak::soak_parameters parameters;
  parameters.seed = static_cast<std::uint64_t>(seed);
  parameters.steps = 20'000;
  parameters.hosts = 5 + static_cast<std::size_t>(seed) % 5;
  const soak::soak_report report = soak::run(parameters);
  INFO("seed " << seed << " step " << report.violation_step << ": " << report.violation);
  CHECK(report.violation.empty());
  CHECK(report.dispatched > 100);
}

TEST_CASE("each disabled rule is detected within a few seeds") {
  const auto name =
      GENERATE(as<std::string>{}, "fence", "intent", "seal", "charge", "refusal", "ticket");
  std::string caught;
  for (std::uint64_t seed = 1; seed <= 60 && caught.empty(); ++seed) {
    soak::soak_parameters parameters;
    parameters.seed = seed;
    parameters.steps = 20'000;
    parameters.rules = *soak::rules_without(name);
    caught = soak::run(parameters).violation;
  }
  INFO("rule " << name);
  CHECK_FALSE(caught.empty());
}
