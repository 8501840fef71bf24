// What all clients together make a process hold: memory and connections.
#include "hawthornlane/overload/client_registry.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace hawthornlane::overload {

namespace {

/// Divisor of the memory for clients: the part that only small requests may use.
constexpr std::size_t small_share = 4;
/// A request is slow if nothing has arrived for this long, or if it has arrived for longer than
/// this at less than this rate on average. A body of some megabytes would miss its time limit then.
constexpr auto max_silence = std::chrono::milliseconds(250);
constexpr double min_bytes_per_second = 256.0 * 1024;
/// A connection on which a request arrives yields to a new one if nothing has arrived for this
/// long.
constexpr auto min_silence_to_yield = std::chrono::milliseconds(20);

bool is_slow(std::size_t arrived, steady_time began, steady_time progressed, steady_time now) {
  if (now - progressed >= max_silence) {
    return true;
  }
  const std::chrono::duration<double> age = now - began;
  return age >= max_silence && static_cast<double>(arrived) < min_bytes_per_second * age.count();
}

}  // namespace

const char* name_of(refusal_cause cause) {
  static constexpr std::array<const char*, refusal_cause_count> names{
      "no_memory",      "yielded_memory", "no_connection", "yielded_connection",
      "head_too_large", "body_too_large", "timeout",       "malformed"};
  return names.at(static_cast<std::size_t>(cause));
}

client_registry::client_registry(std::size_t memory_bytes)
    : budget(memory_bytes - memory_bytes / small_share, memory_bytes / small_share) {}

listener* client_registry::add_listener(std::string name, std::size_t max_connections) {
  const std::scoped_lock lock(this->mutex);
  this->listeners.push_back({std::move(name), max_connections, 0});
  return &this->listeners.back();
}

std::size_t client_registry::held_bytes() const {
  const std::scoped_lock lock(this->mutex);
  return this->budget.used();
}

std::size_t client_registry::largest_request() const { return this->budget.largest(); }

std::size_t client_registry::connections() const {
  const std::scoped_lock lock(this->mutex);
  std::size_t count = 0;
  for (const listener& one : this->listeners) {
    count += one.connections;
  }
  return count;
}

refusal_counts client_registry::refusals() const {
  const std::scoped_lock lock(this->mutex);
  return this->counts;
}

void client_registry::count_refusal(refusal_cause cause) {
  const std::scoped_lock lock(this->mutex);
  ++this->counts.at(static_cast<std::size_t>(cause));
}

std::size_t client_registry::take_peak_bytes() {
  const std::scoped_lock lock(this->mutex);
  return std::exchange(this->peak, this->budget.used());
}

bool client_registry::connect(record& one, steady_time now) {
  pending_hooks hooks;
  bool has_room = true;
  {
    const std::scoped_lock lock(this->mutex);
    one.began = now;
    one.progressed = now;
    while (has_room && one.at->connections >= one.at->max_connections) {
      record* victim = this->connection_victim(*one.at, now);
      has_room = victim != nullptr;
      if (has_room) {
        this->yield_connection(*victim, hooks);
      } else {
        ++this->counts.at(static_cast<std::size_t>(refusal_cause::no_connection));
      }
    }
    if (has_room) {
      ++one.at->connections;
      one.has_connection = true;
      this->records.push_back(&one);
    }
  }
  for (const auto& hook : hooks) {
    hook();
  }
  return has_room;
}

void client_registry::disconnect(record& one) {
  const std::scoped_lock lock(this->mutex);
  this->budget.change(one.held, 0);
  this->release_connection(one);
  std::erase(this->records, &one);
}

void client_registry::release_connection(record& one) {
  if (one.has_connection) {
    one.has_connection = false;
    --one.at->connections;
  }
}

bool client_registry::hold(record& one, std::size_t bytes, steady_time now) {
  pending_hooks hooks;
  bool has_room = false;
  {
    const std::scoped_lock lock(this->mutex);
    has_room = !one.has_yielded && this->make_room(one, bytes, now, hooks);
    if (has_room) {
      this->budget.change(one.held, bytes);
      one.held = bytes;
      this->peak = std::max(this->peak, this->budget.used());
    }
  }
  for (const auto& hook : hooks) {
    hook();
  }
  return has_room;
}

bool client_registry::make_room(record& asking, std::size_t bytes, steady_time now,
                                pending_hooks& hooks) {
  while (!this->budget.allows(asking.held, bytes)) {
    record* victim = this->memory_victim(asking, bytes, now);
    if (victim == nullptr || victim == &asking) {
      ++this->counts.at(static_cast<std::size_t>(refusal_cause::no_memory));
      return false;
    }
    this->yield_memory(*victim, hooks);
  }
  return true;
}

client_registry::record* client_registry::memory_victim(record& asking, std::size_t bytes,
                                                        steady_time now) {
  if (bytes > this->budget.largest()) {
    return nullptr;
  }
  // Slow requests before others and large ones before small ones; then, of slow ones, the one that
  // holds most, and of others the youngest.
  const auto rank = [&](const record& one) {
    const std::size_t held = &one == &asking ? std::max(bytes, one.held) : one.held;
    const bool slow = is_slow(one.arrived, one.began, one.progressed, now);
    return std::tuple(slow, held > byte_budget::small_bytes, slow ? held : 0, one.began);
  };
  record* victim = nullptr;
  for (record* one : this->records) {
    const bool may_yield = one->phase == client_phase::receiving && !one->has_yielded &&
                           (one == &asking || one->held > 0);
    if (!may_yield) {
      continue;
    }
    if (victim == nullptr || rank(*one) > rank(*victim)) {
      victim = one;
    }
  }
  return victim;
}

client_registry::record* client_registry::connection_victim(const listener& at, steady_time now) {
  record* victim = nullptr;
  // Refused ones first, then idle ones, then those that are receiving; of each the one that has
  // been silent longest.
  const auto rank = [](const record& one) {
    return std::tuple(one.phase == client_phase::closing, one.phase == client_phase::idle,
                      -one.progressed.time_since_epoch().count());
  };
  for (record* one : this->records) {
    const bool is_stalled =
        one->phase == client_phase::receiving && now - one->progressed >= min_silence_to_yield;
    const bool may_yield =
        is_stalled || one->phase == client_phase::idle || one->phase == client_phase::closing;
    if (one->at != &at || !one->has_connection || !may_yield) {
      continue;
    }
    if (victim == nullptr || rank(*one) > rank(*victim)) {
      victim = one;
    }
  }
  return victim;
}

void client_registry::yield_memory(record& victim, pending_hooks& hooks) {
  this->budget.change(victim.held, 0);
  victim.held = 0;
  victim.has_yielded = true;
  ++this->counts.at(static_cast<std::size_t>(refusal_cause::yielded_memory));
  hooks.push_back([hook = victim.on_yield] { hook(yielded::memory); });
}

void client_registry::yield_connection(record& victim, pending_hooks& hooks) {
  this->budget.change(victim.held, 0);
  victim.held = 0;
  victim.has_yielded = true;
  this->release_connection(victim);
  ++this->counts.at(static_cast<std::size_t>(refusal_cause::yielded_connection));
  hooks.push_back([hook = victim.on_yield] { hook(yielded::connection); });
}

client_slot::client_slot(std::shared_ptr<client_registry> of, listener* at, steady_time now,
                         std::function<void(yielded what)> on_yield)
    : registry(std::move(of)) {
  this->record.at = at;
  this->record.on_yield = std::move(on_yield);
  this->connected = this->registry->connect(this->record, now);
}

client_slot::~client_slot() {
  if (this->registry) {
    this->registry->disconnect(this->record);
  }
}

void client_slot::received(std::size_t bytes, steady_time now) {
  if (!this->registry) {
    return;
  }
  const std::scoped_lock lock(this->registry->mutex);
  if (this->record.phase == client_phase::idle) {
    this->record.phase = client_phase::receiving;
    this->record.began = now;
    this->record.arrived = 0;
  }
  this->record.arrived += bytes;
  this->record.progressed = now;
}

bool client_slot::hold(std::size_t bytes, steady_time now) {
  return !this->registry || this->registry->hold(this->record, bytes, now);
}

void client_slot::enter(client_phase phase, steady_time now) {
  if (!this->registry) {
    return;
  }
  const std::scoped_lock lock(this->registry->mutex);
  this->record.phase = phase;
  this->record.progressed = now;
  if (phase == client_phase::idle) {
    this->record.arrived = 0;
  }
}

void client_slot::count_refusal(refusal_cause cause) const {
  if (this->registry) {
    this->registry->count_refusal(cause);
  }
}

std::size_t client_slot::largest_request() const {
  return this->registry ? this->registry->largest_request()
                        : std::numeric_limits<std::size_t>::max();
}

}  // namespace hawthornlane::overload
