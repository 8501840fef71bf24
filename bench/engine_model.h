// Model engine on virtual time: continuous batching in which prefill and decode slow
// each other down, and a bounded prefix cache.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornlane::bench {

/// Parameters of one engine, each with its reason.
struct engine_parameters {
  /// Duration of a step with one call: memory bandwidth of the weights.
  double step_seconds = 0.010;
  /// Added by each further call in the batch, which reads its own cache.
  double step_seconds_per_call = 0.0006;
  /// Added by each token that is prefilled within the step; it delays all decodes of that step.
  double step_seconds_per_prefill_token = 0.00010;
  /// Prefill is done in chunks of this size, so that decodes continue.
  std::int64_t prefill_chunk = 512;
  /// Calls that run at once; further ones wait in a first-in, first-out queue.
  std::size_t max_running = 32;
  /// Cache memory in tokens: ten long programs fill it.
  std::int64_t cache_tokens = 300'000;
};

/// One call inside an engine.
struct engine_call {
  std::uint64_t id = 0;
  std::uint64_t program = 0;
  std::int64_t prompt = 0;
  /// Part of the prompt that earlier turns contained, tokens; the rest is new.
  std::int64_t history = 0;
  std::int64_t answer = 0;
};

/// An event of a call, reported by the engine.
struct engine_event {
  enum class kind : std::uint8_t { first_token, finished };
  kind what = kind::finished;
  std::uint64_t id = 0;
  std::int64_t prefilled = 0;
  std::int64_t reprefilled = 0;
};

/// One engine. `step` runs one batch step; the caller advances the clock.
class engine_model {
public:
  explicit engine_model(engine_parameters with) : parameters(with) {}

  void submit(const engine_call& call) { this->waiting.push_back(call); }
  bool cancel(std::uint64_t id);
  /// Runs one step and returns how long it took; 0 when there is nothing to do.
  double step(std::vector<engine_event>& events);
  void release(std::uint64_t program);
  /// Loses all cached prefixes and calls; returns the lost calls.
  std::vector<engine_call> crash();
  void set_slowdown(double factor) { this->slowdown = factor; }
  void set_hung(bool value) { this->hung = value; }

  [[nodiscard]] bool idle() const { return this->waiting.empty() && this->running.empty(); }
  [[nodiscard]] std::size_t load() const { return this->waiting.size() + this->running.size(); }
  [[nodiscard]] std::int64_t cached(std::uint64_t program) const;
  /// Cached tokens of one program.
  struct cached_prefix {
    std::uint64_t program = 0;
    std::int64_t tokens = 0;
  };
  [[nodiscard]] const std::list<cached_prefix>& cache() const { return this->prefixes; }

private:
  struct running_call {
    engine_call call;
    std::int64_t to_prefill = 0;
    std::int64_t prefilled = 0;
    std::int64_t reprefilled = 0;
    std::int64_t produced = 0;
  };
  void admit();
  std::int64_t take_prefix(std::uint64_t program);
  void put_prefix(std::uint64_t program, std::int64_t tokens);
  void evict();

  engine_parameters parameters;
  double slowdown = 1;
  bool hung = false;
  std::deque<engine_call> waiting;
  std::vector<running_call> running;
  std::int64_t running_tokens = 0;
  /// Least recently used first.
  std::list<cached_prefix> prefixes;
  std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> index;
  std::int64_t cached_sum = 0;
};

}  // namespace hawthornlane::bench
