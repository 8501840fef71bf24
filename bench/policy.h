// Interface of the compared policies: the product's scheduler and three baselines.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hawthornlane/routing/scheduler.h"

namespace hawthornlane::bench {

/// A call as a policy sees it, without knowledge of future turns.
struct bench_call {
  std::uint64_t id = 0;
  std::uint64_t program = 0;
  std::uint32_t account = 0;
  std::int64_t prompt = 0;
  std::int64_t history = 0;
  double attained = 0;
  /// Start time of the program, seconds.
  double began = 0;
  double now = 0;
};

struct bench_decision {
  std::uint64_t id = 0;
  std::size_t server = 0;
};

struct bench_outcome {
  std::uint64_t id = 0;
  std::int64_t prefilled = 0;
  std::int64_t answered = 0;
  double first_token = 0;
  double whole = 0;
  bool failed = false;
};

class policy {
public:
  policy() = default;
  policy(const policy&) = delete;
  policy& operator=(const policy&) = delete;
  virtual ~policy() = default;

  virtual std::vector<bench_decision> submit(const bench_call& call) = 0;
  virtual std::vector<bench_decision> finished(const bench_outcome& outcome, double now) = 0;
  virtual void first_token(std::uint64_t /*id*/) {}
  /// Returns the servers that must release the memory of the ended program; may be empty.
  virtual std::vector<std::size_t> ended(std::uint64_t program) = 0;
  virtual std::vector<bench_decision> tick(double /*now*/) { return {}; }
  virtual std::vector<std::uint64_t> take_given_up() { return {}; }
  /// A load report: the number of calls at that server 0.5 s ago, or 2 s ago under
  /// `fault::late_reports`.
  virtual void report(std::size_t /*server*/, std::size_t /*load*/) {}
  virtual void server_listed(std::size_t /*server*/, bool /*there*/, double /*now*/) {}
  /// The deciding host restarts and loses its learned state.
  virtual void restart() {}
};

/// "round-robin", "least-loaded", "affinity", "hawthornlane", or "hawthornlane-X"
/// with feature X toggled. Null for any other name.
std::unique_ptr<policy> make_policy(const std::string& name, std::size_t servers);
std::vector<std::string> policy_names();

}  // namespace hawthornlane::bench
