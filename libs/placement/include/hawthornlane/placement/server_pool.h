// Which backend server of one service takes a call, and which call goes next.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Names one call that waits for a server or is at one.
using placement_id = strong_value<struct placement_id_tag, std::uint64_t>;

/// A call that wants a server.
struct placement_request {
  placement_id id;
  /// Calls with the same value do better at the same server; 0: any server.
  std::uint64_t affinity = 0;
  /// Lower goes first.
  std::uint32_t priority = 0;
  /// When the program, or the call itself, should be done.
  timestamp wanted_by;
  /// After this the call cannot be served in its time any more.
  timestamp give_up_at;
  /// Servers that have refused or failed this call already.
  std::set<backend_server_id> tried;
};

/// Send that call to that server now.
struct placement {
  placement_id id;
  backend_entry server;
};

/// How a call at a server ended, as it bears on the server's health.
enum class server_outcome : std::uint8_t { answered, refused, failed, unreachable, caller_left };

/// What happens with a call that was submitted.
enum class submit_outcome : std::uint8_t { placed, queued, refused };

/// Limits and weights of a pool.
struct pool_rules {
  /// Calls that this host has at one server at once, as a share of its slots.
  /// Several hosts send to each server; a server works fastest below its slots.
  double slots_share = 1.0;
  /// Least limit a server, so that one host alone can still use it.
  std::uint32_t least_limit = 2;
  /// A call goes to the server of its affinity while that has at most this many
  /// calls of this host more than the least busy one.
  std::uint32_t affinity_slack = 2;
  /// Calls that wait at most, as a multiple of all places of this host. A longer
  /// queue only holds calls that run out of time.
  double queue_factor = 2.0;
  /// First exclusion after a failure; doubles up to the longest.
  duration first_exclusion = std::chrono::milliseconds(250);
  duration longest_exclusion = std::chrono::seconds(4);
  /// Consecutive failures that exclude a server; one lost answer is no sign.
  std::uint32_t failures_to_exclude = 2;
};

/// Decides for one service at one host. No I/O, clock or randomness.
class server_pool {
public:
  server_pool(pool_rules rules, const host_id& own, availability_zone here);

  /// The servers that may get calls now: listed and not draining.
  std::vector<placement> set_servers(const std::vector<backend_entry>& servers, timestamp now);
  /// Places the call, queues it, or refuses it at once because it cannot be served.
  submit_outcome submit(const placement_request& request, timestamp now,
                        std::vector<placement>& placed);
  /// A call left its server; calls that can be placed now come back.
  std::vector<placement> finished(placement_id id, server_outcome outcome, timestamp now);
  /// The call leaves the queue.
  void cancel(placement_id id);
  /// Calls whose time is over; they have left the queue.
  std::vector<placement_id> expire(timestamp now);
  /// Tries the queue again, since an exclusion may have ended.
  std::vector<placement> tick(timestamp now);

  [[nodiscard]] std::size_t waiting() const { return this->queue.size(); }
  /// Servers that are excluded after failures, for the operator.
  [[nodiscard]] std::vector<backend_server_id> excluded(timestamp now) const;
  [[nodiscard]] std::vector<backend_server_id> listed() const;

private:
  struct server_state {
    backend_entry entry;
    /// Invariant: equals the entries of `running` for this server.
    std::uint32_t inside = 0;
    std::uint32_t failures = 0;
    timestamp excluded_until{};
    bool listed = true;
  };
  using queue_key = std::tuple<std::uint32_t, timestamp, placement_id>;

  [[nodiscard]] std::uint32_t limit_of(const server_state& server) const;
  [[nodiscard]] bool may_take(const server_state& server, timestamp now) const;
  [[nodiscard]] server_state* choose(const placement_request& request, timestamp now);
  [[nodiscard]] static queue_key key_of(const placement_request& request);
  [[nodiscard]] std::size_t places() const;
  void place(const placement_request& request, server_state& server,
             std::vector<placement>& placed);
  std::vector<placement> fill(timestamp now);
  void note(server_state& server, server_outcome outcome, timestamp now);

  pool_rules rules;
  availability_zone zone;
  std::map<backend_server_id, server_state> servers;
  std::map<placement_id, backend_server_id> running;
  std::map<queue_key, placement_request> queue;
  std::map<placement_id, queue_key> queued;
  /// Makes the order in which this host prefers equally busy servers its own.
  std::uint64_t own_key;
};

}  // namespace hawthornlane
