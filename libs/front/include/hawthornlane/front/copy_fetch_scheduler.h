// Chooses the peer from which this host fetches a copy of newer state. No I/O or clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/front/copy_messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// What it took to fetch one copy.
struct fetch_progress {
  /// Since a peer was first known to have newer state.
  duration since_known{};
  int requests = 0;
  int refusals = 0;
  int failures = 0;
};

/// Fetches each new state once: at most one copy of each kind is in flight, and another peer is
/// asked only after the previous one has refused or failed. Without that bound each host asked
/// every peer with newer state: 585 copies for 23 hosts and one change of 700 KB, with 34 MB queued
/// for one link of 30 Mbit/s (configuration_spread_test).
class copy_fetch_scheduler {
public:
  /// Delay before a peer with newer state is asked, if it is still ahead then: usually the message
  /// of the host that read the store is about to arrive.
  static constexpr duration request_delay = std::chrono::milliseconds(120);
  /// Backoff after a peer refuses because it is busy; doubles with each further refusal, up to
  /// `max_busy_backoff`. 60 hosts that all ask one host every 40 ms would send it 1,500 requests
  /// a second, about what an eighth of a core can answer. Above `backoff_scaling_hosts` hosts both
  /// limits grow with the number of hosts, since all of them ask the host that reads the store. If
  /// they grew from 60 hosts on, hosts that are cut off from a third of the others would wait too
  /// long for one that reaches them.
  static constexpr duration busy_backoff = std::chrono::milliseconds(60);
  static constexpr duration max_busy_backoff = std::chrono::milliseconds(240);
  static constexpr std::size_t backoff_scaling_hosts = 120;
  /// Delay between a refusal and the next request to any peer.
  static constexpr duration refusal_delay = std::chrono::milliseconds(20);
  /// Backoff after a peer does not answer; other peers are asked meanwhile. Four times as long
  /// after each further failure, up to `max_failure_backoff`. A request to an unreachable peer
  /// costs a second. When such a peer could be chosen again every second time, 60 hosts with a
  /// fifth of all pairs cut needed 3.1 to 4.2 s for one change.
  static constexpr duration failure_backoff = std::chrono::milliseconds(500);
  static constexpr duration max_failure_backoff = std::chrono::seconds(2);

  /// Whether a peer has recently answered this host.
  using reaches_hook = std::function<bool(const host_id& other)>;

  explicit copy_fetch_scheduler(
      host_id own_host, reaches_hook answers = [](const host_id&) { return true; })
      : self(std::move(own_host)), reaches(std::move(answers)) {}

  /// Sets the number of hosts that may ask the same peer, including this host.
  void set_host_count(std::size_t count) { this->hosts = count; }
  /// Records whether peer `from` has newer state of a kind. `immediate`: `from` may be the only
  /// host that has it, so it is asked without delay.
  void update_peer(copy_kind kind, const host_id& from, bool ahead, bool immediate, timestamp now);
  /// Chooses the peer to ask now and records the request. `urgent`: this host cannot serve without
  /// the state, so it does not wait. A peer that does not answer this host is asked only when no
  /// other has newer state: a third host that reaches it may have named it, or its messages may
  /// arrive here while ours do not reach it, and each request to it takes as long as a lost copy.
  std::optional<host_id> next(copy_kind kind, bool urgent, timestamp now);

  /// The asked peer has sent its copy.
  void taken(copy_kind kind);
  /// The progress of the fetch under way.
  [[nodiscard]] fetch_progress progress(copy_kind kind, timestamp now) const;
  /// This host's own state has changed: clears which peers have newer state.
  void invalidate(copy_kind kind);
  /// The asked peer refused because it is busy, and named hosts that already have the state.
  void busy(copy_kind kind, const std::vector<host_id>& holders, timestamp now);
  /// The asked peer did not answer, or not with a valid copy.
  void failed(copy_kind kind, timestamp now);
  [[nodiscard]] const host_id& owner() const { return this->self; }
  /// Removes a peer that has failed.
  void forget(const host_id& gone);

private:
  struct source {
    timestamp ahead_since{};
    bool immediate = false;
  };
  /// Backoff of a peer that has refused or failed; kept until it sends a copy.
  struct backoff_state {
    timestamp until{};
    /// Refusals in a row.
    int refusals = 0;
    duration next_failure_backoff = failure_backoff;
  };
  struct fetch {
    std::map<host_id, source> ahead;
    std::map<host_id, backoff_state> backoffs;
    /// The peer with a request in flight. Invariant: at most one, until `taken`, `busy` or
    /// `failed` is called.
    std::optional<host_id> asked;
    /// Number of requests so far; spreads them over the peers with newer state.
    std::uint64_t request_count = 0;
    /// Since the last copy; `since_known` is not used.
    fetch_progress counts;
    /// When a peer became known to have newer state; not set while none is.
    std::optional<timestamp> known_since;
    timestamp no_request_until{};
  };

  /// Backoff after this many refusals in a row.
  [[nodiscard]] duration backoff_after(int refusals) const;

  host_id self;
  reaches_hook reaches;
  std::size_t hosts = 1;
  per_copy_kind<fetch> fetches;
};

}  // namespace hawthornlane::front
