// What all clients together make a process hold: memory and connections.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornlane/overload/byte_budget.h"

namespace hawthornlane::overload {

using steady_time = std::chrono::steady_clock::time_point;

/// Why a client is refused or its connection closed.
enum class refusal_cause : std::uint8_t {
  /// Its request would have taken more memory than is left, and no other request had to yield.
  no_memory,
  /// Its request had to yield to another one: it moved too slowly or was the youngest.
  yielded_memory,
  /// All connections of its listener were in use.
  no_connection,
  /// Its connection, silent, slow or already refused, had to yield to a new one.
  yielded_connection,
  /// Its request exceeds a limit that is its own, came too slowly, or is malformed.
  head_too_large,
  body_too_large,
  timeout,
  malformed,
};
constexpr std::size_t refusal_cause_count = 8;
const char* name_of(refusal_cause cause);

/// What a client's connection does.
enum class client_phase : std::uint8_t {
  /// No byte of a request has arrived.
  idle,
  /// A request has begun to arrive; it has not run.
  receiving,
  /// The whole request has arrived. Only the end of its call frees what it holds.
  running,
  /// The response to a refused request was sent; what still arrives is dropped.
  closing,
};

/// What a client must yield to others.
enum class yielded : std::uint8_t {
  /// All that its request holds; the request is to be refused as not run.
  memory,
  /// Its connection, at once; a request that has begun is refused if that takes no wait.
  connection,
};

/// One listener's connections.
struct listener {
  std::string name;
  std::size_t max_connections = 0;
  std::size_t connections = 0;
};

/// Totals since the start of the process.
using refusal_counts = std::array<std::uint64_t, refusal_cause_count>;

class client_slot;

/// Counts what the clients of all listeners hold, and decides which of them has to yield when it
/// is too much. Thread-safe.
///
/// What is counted is what is allocated, not what was announced: an announcement takes nothing from
/// others. A request that is whole is never interrupted. Among those that still arrive, one that
/// moves slowly yields first, then the youngest: so the oldest that moves is always completed, and
/// requests cannot wait for each other.
class client_registry {
public:
  /// Large requests share `memory_bytes` less a quarter, which is reserved for small ones.
  explicit client_registry(std::size_t memory_bytes);
  client_registry(const client_registry&) = delete;
  client_registry& operator=(const client_registry&) = delete;
  ~client_registry() = default;

  /// Adds a listener. The pointer is valid as long as the registry.
  listener* add_listener(std::string name, std::size_t max_connections);

  /// Sum of what all requests hold, bytes.
  [[nodiscard]] std::size_t held_bytes() const;
  /// The largest request that can be served at all, bytes.
  [[nodiscard]] std::size_t largest_request() const;
  [[nodiscard]] std::size_t connections() const;
  [[nodiscard]] refusal_counts refusals() const;
  void count_refusal(refusal_cause cause);
  /// Largest sum since the last call of this.
  std::size_t take_peak_bytes();

private:
  friend class client_slot;
  struct record {
    listener* at = nullptr;
    client_phase phase = client_phase::idle;
    /// Bytes that the request holds, and that have arrived of it.
    std::size_t held = 0;
    std::size_t arrived = 0;
    steady_time began{};
    steady_time progressed{};
    /// Yields are requested once; a connection that was refused may still have to be closed.
    bool has_yielded = false;
    bool has_connection = false;
    std::function<void(yielded what)> on_yield;
  };
  /// Calls of hooks, made once the registry is unlocked.
  using pending_hooks = std::vector<std::function<void()>>;

  bool connect(record& one, steady_time now);
  void disconnect(record& one);
  bool hold(record& one, std::size_t bytes, steady_time now);
  bool make_room(record& asking, std::size_t bytes, steady_time now, pending_hooks& hooks);
  [[nodiscard]] record* memory_victim(record& asking, std::size_t bytes, steady_time now);
  [[nodiscard]] record* connection_victim(const listener& at, steady_time now);
  void yield_memory(record& victim, pending_hooks& hooks);
  void yield_connection(record& victim, pending_hooks& hooks);
  void release_connection(record& one);

  mutable std::mutex mutex;
  byte_budget budget;
  std::size_t peak = 0;
  std::list<listener> listeners;
  std::list<record*> records;
  refusal_counts counts{};
};

/// One client's connection in a registry. Not thread-safe by itself; the hook may be called on
/// another client's thread.
class client_slot {
public:
  /// Without a registry nothing is limited.
  client_slot() = default;
  /// `on_yield` has to free what the client must yield, or to have it freed soon.
  client_slot(std::shared_ptr<client_registry> registry, listener* at, steady_time now,
              std::function<void(yielded what)> on_yield);
  client_slot(const client_slot&) = delete;
  client_slot& operator=(const client_slot&) = delete;
  ~client_slot();

  /// False if the listener has no room for the connection; it has to be closed.
  [[nodiscard]] bool is_connected() const { return this->connected; }
  /// Counts bytes of a request that have arrived.
  void received(std::size_t bytes, steady_time now);
  /// Counts all that the request holds now. Returns false if it has to be refused instead.
  [[nodiscard]] bool hold(std::size_t bytes, steady_time now);
  void enter(client_phase phase, steady_time now);
  void count_refusal(refusal_cause cause) const;
  /// The largest request that can be served at all, bytes.
  [[nodiscard]] std::size_t largest_request() const;

private:
  std::shared_ptr<client_registry> registry;
  client_registry::record record;
  bool connected = true;
};

}  // namespace hawthornlane::overload
