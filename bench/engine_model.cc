// Batch steps and prefix cache of the engine model.
#include "engine_model.h"

#include <algorithm>

namespace hawthornlane::bench {

std::int64_t engine_model::cached(std::uint64_t program) const {
  const auto found = this->index.find(program);
  return found == this->index.end() ? 0 : found->second->tokens;
}

std::int64_t engine_model::take_prefix(std::uint64_t program) {
  const auto found = this->index.find(program);
  if (found == this->index.end()) {
    return 0;
  }
  const std::int64_t tokens = found->second->tokens;
  this->cached_sum -= tokens;
  this->prefixes.erase(found->second);
  this->index.erase(found);
  return tokens;
}

void engine_model::evict() {
  while (this->cached_sum + this->running_tokens > this->parameters.cache_tokens &&
         !this->prefixes.empty()) {
    this->take_prefix(this->prefixes.front().program);
  }
}

void engine_model::put_prefix(std::uint64_t program, std::int64_t tokens) {
  this->take_prefix(program);
  this->prefixes.push_back({program, tokens});
  this->index[program] = std::prev(this->prefixes.end());
  this->cached_sum += tokens;
  this->evict();
}

void engine_model::release(std::uint64_t program) { this->take_prefix(program); }

bool engine_model::cancel(std::uint64_t id) {
  const auto in_queue = std::find_if(this->waiting.begin(), this->waiting.end(),
                                     [id](const engine_call& call) { return call.id == id; });
  if (in_queue != this->waiting.end()) {
    this->waiting.erase(in_queue);
    return true;
  }
  const auto in_batch = std::find_if(this->running.begin(), this->running.end(),
                                     [id](const running_call& item) { return item.call.id == id; });
  if (in_batch == this->running.end()) {
    return false;
  }
  this->running_tokens -= in_batch->call.prompt + in_batch->call.answer;
  this->running.erase(in_batch);
  return true;
}

std::vector<engine_call> engine_model::crash() {
  std::vector<engine_call> lost(this->waiting.begin(), this->waiting.end());
  for (const running_call& item : this->running) {
    lost.push_back(item.call);
  }
  this->waiting.clear();
  this->running.clear();
  this->running_tokens = 0;
  this->prefixes.clear();
  this->index.clear();
  this->cached_sum = 0;
  return lost;
}

void engine_model::admit() {
  while (!this->waiting.empty() && this->running.size() < this->parameters.max_running) {
    const engine_call call = this->waiting.front();
    const std::int64_t needed = call.prompt + call.answer;
    if (!this->running.empty() && this->running_tokens + needed > this->parameters.cache_tokens) {
      break;
    }
    this->waiting.pop_front();
    const std::int64_t held = std::min(this->take_prefix(call.program), call.history);
    this->running_tokens += needed;
    this->evict();
    this->running.push_back({call, call.prompt - held, call.prompt - held, call.history - held, 0});
  }
}

double engine_model::step(std::vector<engine_event>& events) {
  if (this->hung) {
    return 0;
  }
  this->admit();
  if (this->running.empty()) {
    return 0;
  }
  std::int64_t chunk = this->parameters.prefill_chunk;
  std::int64_t prefilled = 0;
  for (running_call& item : this->running) {
    if (item.to_prefill > 0) {
      const std::int64_t done = std::min(chunk, item.to_prefill);
      item.to_prefill -= done;
      chunk -= done;
      prefilled += done;
      if (item.to_prefill > 0) {
        continue;
      }
    }
    ++item.produced;
    if (item.produced == 1) {
      events.push_back({engine_event::kind::first_token, item.call.id, 0, 0});
    }
    if (item.produced >= item.call.answer) {
      events.push_back(
          {engine_event::kind::finished, item.call.id, item.prefilled, item.reprefilled});
      this->running_tokens -= item.call.prompt + item.call.answer;
      this->put_prefix(item.call.program, item.call.prompt + item.call.answer);
    }
  }
  const auto batch = static_cast<double>(this->running.size());
  std::erase_if(this->running,
                [](const running_call& item) { return item.produced >= item.call.answer; });
  return this->slowdown *
         (this->parameters.step_seconds + this->parameters.step_seconds_per_call * (batch - 1) +
          this->parameters.step_seconds_per_prefill_token * static_cast<double>(prefilled));
}

}  // namespace hawthornlane::bench
