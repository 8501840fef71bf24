// Chooses a backend server of one service for each call, and queues calls that have to wait.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/placement/prefix_cache_view.h"
#include "hawthornlane/placement/server_choice.h"
#include "hawthornlane/placement/server_health.h"
#include "hawthornlane/placement/server_speed.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Identifies a call that waits for a server or is at one.
using placement_id = strong_value<struct placement_id_tag, std::uint64_t>;

/// A call that needs a server.
struct placement_request {
  placement_id id;
  /// Affinity key: a call is served faster by a server that has served calls with the same key. 0:
  /// any server.
  std::uint64_t affinity = 0;
  /// Parts of the prompt of a call to a model engine: first the part that all programs of a kind
  /// share, then the parts of the program's own session. Empty for other calls.
  std::vector<prompt_piece> prompt;
  /// True if an earlier turn of the call's session has been answered.
  bool begun = false;
  /// Calls of the same kind take about the same time until the first part of their answer.
  std::uint64_t kind = 0;
  /// A lower value is served first.
  std::uint32_t priority = 0;
  /// Empty if callers send no account.
  client_account account;
  /// Soft deadline: when the program, or the call itself, should be done.
  timestamp wanted_by;
  /// From this time on the call can no longer be served within its deadline.
  timestamp give_up_at;
  /// Servers that have already refused or failed this call.
  std::set<backend_server_id> tried;
  /// Set for a call that takes up a stream: only servers of this version may get it.
  std::optional<software_version> version;
};

/// The inputs of a server choice, for the log.
struct placement_basis {
  /// Estimated calls of all hosts at the server, and the age of the count of other hosts' calls.
  double calls = 0;
  duration load_age{};
  token_count missing_tokens{0};
  /// True if the server had cached a part of the call's session.
  bool holds_line = false;
};

/// Assigns a call to a server; the call is to be sent now.
struct placement {
  placement_id id;
  backend_entry server;
  /// Set for a call with a prompt.
  std::optional<placement_basis> basis;
};

/// A candidate server for a call, at which the call can claim a place.
struct place_target {
  backend_server_id server;
  server_key key;
  /// Number of the server's places. A place lets one call be at the server. There are more places
  /// than slots (calls that the server works on at once), so that the server is not idle while the
  /// message about a free place is in transit.
  std::uint32_t places = 0;
  /// True if all places are taken, by this host's estimate.
  bool full = false;
};

/// Result of submitting a call.
enum class submit_outcome : std::uint8_t { placed, queued, refused };

/// Limits and weights of a pool.
struct pool_rules {
  /// Limit of this host's calls at one server, as a fraction of the server's slots. Several hosts
  /// send to each server, and a server is fastest when not all of its slots are used.
  double slots_share = 1.0;
  /// Lower bound of this limit, so that a single host can still use the server.
  std::uint32_t min_limit = 2;
  /// Limit of queued calls, as a multiple of the calls that this host may have at all servers. In a
  /// longer queue calls would only reach their deadlines.
  double queue_factor = 2.0;
  /// A call without a prompt goes to the server of its affinity key while that server has at most
  /// this many more calls of this host than the least busy server.
  std::uint32_t affinity_slack = 2;
  /// If set, a call whose server is full waits in the place queue of the host that holds the
  /// server's directory entry.
  bool claims_places = false;
  /// While servers of several versions are listed, a call that begins a stream counts this part of
  /// the slots as taken at the last `last_servers` servers of a version, which only streams that
  /// began at this version can use instead.
  double resumption_share = 0.25;
  std::uint32_t last_servers = 2;
  /// If set, servers' speeds are estimated from the times of calls and used in the choice.
  bool learns_speed = false;
  choice_rules choice;
  health_rules health;
  speed_rules speed;
};

/// A host's estimate of a server's slowdown, for operators.
struct server_slowdown {
  backend_server_id id;
  /// Time of calls at this server as a multiple of the time at a typical server.
  double factor = 1;
  /// Weight of the samples behind the estimate; 1 is the weight of the prior.
  double weight = 0;
};

/// Places the calls of one service on one host. No I/O, clock or randomness.
class server_pool {
public:
  server_pool(pool_rules rules, const host_id& own_host, availability_zone own_zone);

  /// Sets the servers that may get calls: those that are listed and not draining. Returns queued
  /// calls that can be placed now.
  std::vector<placement> set_servers(const std::vector<backend_entry>& servers, timestamp now);
  /// Directory entries that are worth requesting from other hosts before `request` is submitted.
  [[nodiscard]] directory_request directory_request_for(const placement_request& request,
                                                        timestamp now) const;
  /// Sets the number of calls that other hosts have at a server. Unknown servers are ignored.
  void set_remote_load(const server_load& load, timestamp now);
  /// Records that a server has read a part of a prompt, as another host reports it.
  void add_prompt_location(const part_location& location);
  /// Returns and clears the changes that have not been reported to the directory yet.
  directory_update take_update();
  /// Calls of this host at each server that has any.
  [[nodiscard]] std::vector<server_load> own_loads() const;
  /// Sets the utilization of the servers: calls of all hosts per slot, by the latest counts
  /// received. Hosts report and request loads for calls without a prompt only while the utilization
  /// is high.
  void set_utilization(double calls_per_slot) { this->utilization = calls_per_slot; }
  /// Ends of calls without a prompt are reported in batches. Moves a batch that is due by `now`
  /// into the next `take_update`. Returns false if none is due.
  bool flush_ended_calls(timestamp now);
  /// Adds this host's speed estimates to `update`: those of the servers in `update.loads` that have
  /// changed since the last report.
  void add_speeds(directory_update& update, timestamp now);
  /// Sets the mean of other hosts' estimates of a server's speed. Unknown servers are ignored.
  void set_remote_speed(const speed_report& speed, timestamp now);
  /// Slowdowns of the listed servers that have an estimate of sufficient weight.
  [[nodiscard]] std::vector<server_slowdown> slowdowns(timestamp now) const;
  /// True if some server is known to have read this part of a prompt.
  [[nodiscard]] bool has_prompt_part(prompt_part_key part) const {
    return this->caches.has_prompt_part(part);
  }
  /// Places the call, queues it, or refuses it at once because it cannot be served.
  submit_outcome submit(const placement_request& request, timestamp now,
                        std::vector<placement>& placed);
  /// Servers at which the call should claim a place, the cheapest first. If there are none, pass
  /// the call to `submit` instead. If the first one is not full, place the call there without a
  /// claim.
  [[nodiscard]] std::vector<place_target> claim_targets(const placement_request& request,
                                                        timestamp now) const;
  /// Places the call at a server that has granted it a place. Empty if the server has been removed
  /// or excluded meanwhile, or has failed this call.
  std::optional<placement> place_at(const placement_request& request,
                                    const backend_server_id& server, timestamp now);
  /// Records the end of a call at its server. Returns queued calls that can be placed now.
  std::vector<placement> finished(placement_id id, server_outcome outcome, timestamp now);
  /// Records that the first part of a call's answer has arrived. Only the time until then is
  /// compared between calls; the remaining time depends on the length of the answer.
  void started(placement_id id, timestamp now);
  /// Limits the calls of this host in flight at all servers together, for use under overload; empty
  /// for no limit. Returns queued calls that can be placed now.
  std::vector<placement> set_in_flight_limit(std::optional<std::uint32_t> limit, timestamp now);
  /// Removes a call from the queue.
  void cancel(placement_id id);
  /// Removes from the queue the calls whose `give_up_at` has passed, and those that take up a
  /// stream of a version of which no server is listed any more. Returns them.
  std::vector<placement_id> expire(timestamp now);
  /// Updates server health with the times of pending late calls, and places queued calls, since an
  /// exclusion may have ended.
  std::vector<placement> tick(timestamp now);

  [[nodiscard]] std::size_t waiting() const { return this->queue.size(); }
  /// Number of calls at servers and in the queue.
  [[nodiscard]] std::size_t demand() const { return this->queue.size() + this->calls_in_flight; }
  /// Servers that get no calls for now because of failures.
  [[nodiscard]] std::set<backend_server_id> excluded(timestamp now) const;
  /// Servers that are excluded, or degraded and used only if no other server is available.
  [[nodiscard]] std::set<backend_server_id> unhealthy(timestamp now) const;
  /// Total number of slots of the healthy servers, i.e. of calls that they process at once. Not to
  /// be confused with the places that limit this host's calls.
  [[nodiscard]] double healthy_places(timestamp now) const;
  [[nodiscard]] std::vector<backend_server_id> listed() const;
  /// The versions of the listed servers, with the number of servers.
  [[nodiscard]] const std::map<software_version, std::uint32_t>& listed_versions() const {
    return this->versions;
  }

private:
  /// Version of this pool's state for a server; a new one begins when the server is first listed
  /// and when it restarts. The `start` of an entry can't be used for this: it may repeat when the
  /// store lists an older entry.
  using server_state_version = strong_value<struct server_state_version_tag, std::uint64_t>;
  struct server_state {
    backend_entry entry;
    server_state_version state_version;
    /// Key of the server in messages between hosts.
    server_key key;
    /// Number of this host's calls at the server. Invariant: equals the number of entries of
    /// `running` with this server's `state_version`.
    std::uint32_t in_flight = 0;
    /// Number of other hosts' calls, and when it was received.
    double remote_calls = 0;
    timestamp remote_calls_at{};
    /// Number of the calls in `in_flight` that are reported to other hosts.
    std::uint32_t shared = 0;
    server_health health;
    server_speed speed;
    /// Time of calls at this server as a multiple of the time at a typical server. Cached, since
    /// thousands of servers are compared for one call; updated with each sample or report and once
    /// a second.
    double slow_factor = 1;
    bool listed = true;
  };
  /// Which servers a choice considers: those that are not degraded, or any.
  enum class choice_scope : std::uint8_t { healthy, any };
  /// A call at a server.
  struct running_call {
    backend_server_id server;
    /// The server's `state_version` when the call was sent. If the server has another one now, it
    /// has restarted, and the call's result says nothing about the new process.
    server_state_version state_version;
    /// Kind of the call for the server's health, as in `placement_request`.
    std::uint64_t kind = 0;
    /// True if the call is reported to other hosts: it has a prompt, or utilization is high.
    bool is_reported = false;
    timestamp sent_at{};
    /// True once the time until the first part of the answer has been recorded.
    bool first_event_timed = false;
    /// True if the call has no prompt and its end is reported in a batch.
    bool has_batched_end = false;
    /// Kind of the call for speed samples: `kind` combined with the number of tokens to read, since
    /// calls with about as many tokens to read take about the same time.
    std::uint64_t speed_kind = 0;
    /// Expected slowdown by the load that the server had when the call was sent: the call's time as
    /// a multiple of its time at an idle server.
    double load_slowdown = 1;
    /// True if the server had no free slot when the call was sent.
    bool is_queued = false;
  };
  /// Sort key of a queued call; the lowest is served first, and false sorts before true. Priority,
  /// whether the call starts a session, whether `wanted_by` has passed, `wanted_by`, and the call's
  /// id.
  using queue_key = std::tuple<std::uint32_t, bool, bool, timestamp, placement_id>;
  using server_list = std::vector<const server_state*>;
  /// A listed server with the values that each choice reads.
  struct listed_server {
    server_state* server = nullptr;
    std::uint64_t name_hash = 0;
    /// Order among equally busy servers, specific to this host.
    std::uint64_t rank = 0;
    /// True if the server is in this host's availability zone.
    bool same_zone = false;
  };
  /// A server and its rendezvous weight for a key.
  using weighted_server = std::pair<std::uint64_t, const server_state*>;

  [[nodiscard]] std::uint32_t limit_of(const server_state& server) const;
  [[nodiscard]] bool is_unhealthy(const server_state& server, timestamp now) const;
  [[nodiscard]] bool may_take(const server_state& server, choice_scope scope, timestamp now) const;
  [[nodiscard]] server_state* choose(const placement_request& request, timestamp now);
  [[nodiscard]] server_state* choose_among(const placement_request& request,
                                           const server_list& candidates, choice_scope scope,
                                           timestamp now);
  [[nodiscard]] server_state* choose_for_prompt(const placement_request& request,
                                                const server_list& candidates, choice_scope scope,
                                                timestamp now);
  [[nodiscard]] server_state* choose_least_busy(const placement_request& request,
                                                choice_scope scope, timestamp now);
  /// Cost of sending the call to the server.
  [[nodiscard]] double cost_at(const server_state& server, const placement_request& request,
                               timestamp now) const;
  /// Like `choose_least_busy`, but by the calls of all hosts and the servers' speeds.
  [[nodiscard]] server_state* choose_by_speed(const placement_request& request, choice_scope scope,
                                              timestamp now);
  /// The few candidates for a call without a prompt; the server of its affinity key is the first.
  /// Faster servers are chosen more often, so that work is shared by speed even if hosts have
  /// outdated counts.
  [[nodiscard]] std::vector<const listed_server*> candidates_by_speed(
      const placement_request& request, choice_scope scope, timestamp now) const;
  /// Work at the server with one more call without a prompt, in calls of typical duration.
  [[nodiscard]] double promptless_cost(const listed_server& item, timestamp now) const;
  /// This host's estimate of the server's state for the call.
  [[nodiscard]] server_estimate estimate_server(const server_state& server,
                                                const placement_request& request,
                                                timestamp now) const;
  /// Decides by the utilization whether a call without a prompt is reported to other hosts.
  void mark_reported(running_call& call, const server_state& server);
  [[nodiscard]] directory_request promptless_directory_request(const placement_request& request,
                                                               timestamp now) const;
  /// Records the server's load in a call that is about to be placed.
  void record_load(running_call& call, const server_state& server, const placement_request& request,
                   timestamp now) const;
  /// Updates the speed estimate of the call's server with the call's time.
  void record_speed(const running_call& call, timed_part part, timestamp now);
  /// Adds the end of a call to the batch that is reported later.
  void batch_end(const server_state& server, timestamp now);
  void update_slow_factor(server_state& server, timestamp now);
  /// Updates the cached factors once a second, since estimates decay.
  void update_slow_factors(timestamp now);
  /// Speed of the server relative to the mean speed of all servers.
  [[nodiscard]] double relative_speed(const server_state& server) const;
  /// Number of this host's calls at the server that are reported to other hosts.
  [[nodiscard]] std::uint32_t reported_calls(const server_state& server) const;
  /// Candidates for a call with a prompt: the servers that have cached its session, and a few
  /// others. Empty for a call without a prompt.
  [[nodiscard]] server_list candidates_for(const placement_request& request, timestamp now) const;
  [[nodiscard]] bool holds_line(const server_state& server, const placement_request& request) const;
  /// Adds the servers that have cached the call's session to `chosen`.
  void add_holders(const placement_request& request, timestamp now,
                   std::vector<weighted_server>& chosen) const;
  /// False if the server has failed the call, or cannot take up the call's stream.
  [[nodiscard]] static bool suits(const server_state& server, const placement_request& request);
  /// True if no listed server suits the call.
  [[nodiscard]] bool is_hopeless(const placement_request& request) const;
  /// Slots that a call which begins a stream leaves to resumptions.
  [[nodiscard]] double reserved_slots(const server_state& server,
                                      const placement_request& request) const;
  [[nodiscard]] bool is_candidate(const server_state& server, const placement_request& request,
                                  timestamp now) const;
  [[nodiscard]] placement_basis basis_of(const server_state& server,
                                         const placement_request& request, timestamp now) const;
  /// Null if the server is unknown, belongs to another service, or has restarted.
  [[nodiscard]] server_state* find_server(server_key key);
  /// The call's server; null if it has been removed or has restarted since.
  [[nodiscard]] server_state* server_of(const running_call& call);
  /// Resets the state of a server that has restarted.
  void reset_server(server_state& server);
  /// Rebuilds all data that is derived from `servers`.
  void index_servers();
  /// Drops unreported speed changes of servers that have been removed.
  void drop_unknown_speeds();
  /// Removes a server that is no longer listed and has no calls left.
  void remove_server(const backend_server_id& id);
  /// Estimated number of calls of all hosts at the server now.
  [[nodiscard]] double calls_at(const server_state& server, timestamp now) const;
  void record_prompt(const placement_request& request, const server_state& server);
  [[nodiscard]] static queue_key key_of(const placement_request& request, timestamp now);
  void place(const placement_request& request, server_state& server, timestamp now,
             std::vector<placement>& placed);
  /// Updates the health of the call's server with the time that the call has taken so far.
  void record_elapsed(const running_call& call, bool lower_bound, timestamp now);
  /// Updates server health with the pending calls that have no answer yet. Only calls that are
  /// later than usual have an effect.
  void record_pending_calls(timestamp now);
  /// Places as many queued calls as possible, in order.
  std::vector<placement> fill(timestamp now);

  pool_rules rules;
  availability_zone zone;
  std::map<backend_server_id, server_state> servers;
  // Indexes of `servers`, whose entries have stable addresses. Without them each call would visit
  // 2,200 servers several times, which takes 2.5 ms.
  std::vector<listed_server> listed_servers;
  /// Number of the listed servers of each version.
  std::map<software_version, std::uint32_t> versions;
  std::unordered_map<server_key, server_state*> by_key;
  /// Invariant: the sum of `remote_calls` of all servers.
  double total_remote_calls = 0;
  /// Limit of this host's calls at all listed servers together, and the number of its calls there.
  std::size_t places = 0;
  std::size_t calls_at_listed_servers = 0;
  /// Invariant: the sum of `in_flight`. Calls at former incarnations are not included.
  std::size_t calls_in_flight = 0;
  std::map<placement_id, running_call> running;
  server_state_version last_state_version;
  std::map<queue_key, placement_request> queue;
  std::map<placement_id, queue_key> queued;
  baseline_times baselines;
  prefix_cache_view caches;
  /// Unreported changes: locations of sessions, and servers at which this host's count has changed.
  std::vector<part_location> unreported_locations;
  std::set<server_key> unreported_loads;
  /// Servers with unreported ends of calls without a prompt, and the time of the first of them.
  std::set<server_key> batched_ends;
  timestamp batch_started{};
  typical_times typical;
  /// Servers with speed samples that this host has not reported yet.
  std::set<server_key> unreported_speeds;
  timestamp next_factor_update{};
  /// Mean of 1 / `slow_factor` at the last update of all factors.
  double mean_speed = 1;
  double utilization = 0;
  /// Limit of this host's calls in flight under overload; empty for no limit.
  std::optional<std::uint32_t> window;
  /// Hash seed that makes the order of equally busy servers differ from host to host.
  std::uint64_t host_seed;
};

}  // namespace hawthornlane
