// Which backend server of one service takes a call, and which call goes next.
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

/// Names one call that waits for a server or is at one.
using placement_id = strong_value<struct placement_id_tag, std::uint64_t>;

/// A call that wants a server.
struct placement_request {
  placement_id id;
  /// Calls with the same value do better at the same server; 0: any server.
  std::uint64_t affinity = 0;
  /// Of a call to a model engine: the parts of its prompt, the one that all programs of a
  /// kind share first, the program's own line of turns behind it.
  std::vector<prompt_piece> prompt;
  /// An earlier turn of its line has been answered.
  bool begun = false;
  /// Calls of one kind take about the same time until they start to be answered.
  std::uint64_t kind = 0;
  /// Lower goes first.
  std::uint32_t priority = 0;
  /// Empty: callers show no account.
  client_account account;
  /// When the program, or the call itself, should be done.
  timestamp wanted_by;
  /// After this the call cannot be served in its time any more.
  timestamp give_up_at;
  /// Servers that have refused or failed this call already.
  std::set<backend_server_id> tried;
};

/// What a call's server was chosen by, for the log.
struct placement_basis {
  /// Calls of all hosts at the server, and how old the count of the other hosts' is.
  double calls = 0;
  duration load_age{};
  token_count missing_tokens{0};
  /// The server had read the call's line before.
  bool holds_line = false;
};

/// Send that call to that server now.
struct placement {
  placement_id id;
  backend_entry server;
  /// Of a call with a prompt.
  std::optional<placement_basis> basis;
};

/// A server that a call would go to, for a claim at its keeper.
struct place_target {
  backend_server_id server;
  server_key key;
  /// Calls that may be there: it is not idle while a message travels.
  std::uint32_t places = 0;
  /// By what is known here.
  bool full = false;
};

/// What happens with a call that was submitted.
enum class submit_outcome : std::uint8_t { placed, queued, refused };

/// Limits and weights of a pool.
struct pool_rules {
  /// Calls that this host has at one server at once, as a share of its slots.
  /// Several hosts send to each server; a server works fastest below its slots.
  double slots_share = 1.0;
  /// Least limit a server, so that one host alone can still use it.
  std::uint32_t least_limit = 2;
  /// Calls that wait at most, as a multiple of all places of this host. A longer
  /// queue only holds calls that run out of time.
  double queue_factor = 2.0;
  /// A call without a prompt goes to the server of its object while that has at most this
  /// many calls of this host more than the least busy one.
  std::uint32_t affinity_slack = 2;
  /// A call for a server whose places are taken waits at the server's keeper.
  bool claims_places = false;
  /// Servers are weighed by the speed that calls at them have shown.
  bool learns_speed = false;
  choice_rules choice;
  health_rules health;
  speed_rules speed;
};

/// What a host believes of a server's speed, for operators.
struct server_slowdown {
  backend_server_id id;
  /// How many times longer calls take there than usual.
  double factor = 1;
  /// What that rests on; 1 is as much as knowing nothing.
  double weight = 0;
};

/// Decides for one service at one host. No I/O, clock or randomness.
class server_pool {
public:
  server_pool(pool_rules rules, const host_id& own, availability_zone here);

  /// The servers that may get calls now: listed and not draining.
  std::vector<placement> set_servers(const std::vector<backend_entry>& servers, timestamp now);
  /// What is worth asking other hosts before `request` is submitted.
  [[nodiscard]] directory_request directory_request_for(const placement_request& request,
                                                        timestamp now) const;
  /// What other hosts answered.
  void set_remote_load(const server_load& load, timestamp now);
  void add_prompt_location(const part_location& location);
  /// What other hosts should know and have not been told yet.
  directory_update take_update();
  /// Calls of this host at each server that has any.
  [[nodiscard]] std::vector<server_load> own_loads() const;
  /// How many calls all hosts have for each place of the servers, as far as this host has heard.
  /// Calls without a prompt are told and asked about only when that is high.
  void set_utilization(double calls_per_place) { this->fill_heard = calls_per_place; }
  /// Ends of calls without a prompt are told together; those due by `now` are part of the next
  /// `take_update`. True: there are some.
  bool flush_ended_calls(timestamp now);
  /// Adds what calls of this host have said of the servers that `update` names, and has not
  /// been told.
  void add_speeds(directory_update& update, timestamp now);
  /// What other hosts believe.
  void set_remote_speed(const speed_report& speed, timestamp now);
  /// Of the listed servers of which something is known.
  [[nodiscard]] std::vector<server_slowdown> slowdowns(timestamp now) const;
  /// Some server is known to have read this part of a prompt.
  [[nodiscard]] bool has_prompt_part(prompt_part_key part) const {
    return this->caches.has_prompt_part(part);
  }
  /// Places the call, queues it, or refuses it at once because it cannot be served.
  submit_outcome submit(const placement_request& request, timestamp now,
                        std::vector<placement>& placed);
  /// Where the call claims a place, the cheapest server first; none: it is submitted. While the
  /// first one is not full the call is placed there without a claim.
  [[nodiscard]] std::vector<place_target> claim_targets(const placement_request& request,
                                                        timestamp now) const;
  /// Places the call at this server, which has a place for it; nothing when the server is gone,
  /// or excluded by now.
  std::optional<placement> place_at(const placement_request& request,
                                    const backend_server_id& server, timestamp now);
  /// A call left its server; calls that can be placed now come back.
  std::vector<placement> finished(placement_id id, server_outcome outcome, timestamp now);
  /// The first part of a call's answer came; the rest is as long as the call itself.
  void started(placement_id id, timestamp now);
  /// While places are scarce: so many calls may be at servers.
  std::vector<placement> set_in_flight_limit(std::optional<std::uint32_t> most, timestamp now);
  /// The call leaves the queue.
  void cancel(placement_id id);
  /// Calls whose time is over; they have left the queue.
  std::vector<placement_id> expire(timestamp now);
  /// Holds late calls against their servers, and tries the queue again, since an
  /// exclusion may have ended.
  std::vector<placement> tick(timestamp now);

  [[nodiscard]] std::size_t waiting() const { return this->queue.size(); }
  /// Calls at servers and waiting for one.
  [[nodiscard]] std::size_t demand() const { return this->queue.size() + this->calls_inside; }
  /// Servers that get nothing for now after failures.
  [[nodiscard]] std::set<backend_server_id> excluded(timestamp now) const;
  /// Servers that get nothing, or nothing while others are free, because of how calls
  /// at them went.
  [[nodiscard]] std::set<backend_server_id> unhealthy(timestamp now) const;
  /// Calls that the servers which are not set aside work on at once.
  [[nodiscard]] double healthy_places(timestamp now) const;
  [[nodiscard]] std::vector<backend_server_id> listed() const;

private:
  /// Numbers what this pool knows of one server from its listing, or its last start, on. The
  /// start that an entry names may come again, when the store lists an older entry.
  using server_life = strong_value<struct server_life_tag, std::uint64_t>;
  struct server_state {
    backend_entry entry;
    server_life life;
    /// What hosts call it between themselves.
    server_key key;
    /// Invariant: equals the entries of `running` with this server's `life`.
    std::uint32_t inside = 0;
    /// Calls of other hosts when they were last heard of.
    double others = 0;
    timestamp others_heard{};
    /// Those of `inside` that other hosts are told of.
    std::uint32_t shared = 0;
    server_health health;
    server_speed speed;
    /// How many times longer calls take there than usual; renewed with each word of it and
    /// once a second, since thousands of servers are weighed for one call.
    double slow_factor = 1;
    bool listed = true;
  };
  /// The servers that a choice is made among.
  enum class choice_range : std::uint8_t { trusted, any };
  /// A call at a server.
  struct running_call {
    backend_server_id server;
    /// Of its server; another one there by now knows nothing of the call.
    server_life life;
    std::uint64_t kind = 0;
    /// Other hosts want to know of it: it has a prompt, or servers are rather full.
    bool is_shared = false;
    timestamp since{};
    /// Its time until the answer began is known.
    bool timed = false;
    /// It has no prompt, and its end is told with others.
    bool ends_later = false;
    /// Calls that have about as much to read take about the same time.
    std::uint64_t timed_kind = 0;
    /// How many times longer than alone it takes at the load that its server had.
    double load = 1;
    /// Its server had no place free.
    bool waits = false;
  };
  /// Priority, whether it begins a program, whether its time is over already, when it is
  /// wanted, and its name.
  using queue_key = std::tuple<std::uint32_t, bool, bool, timestamp, placement_id>;
  using server_list = std::vector<const server_state*>;
  /// A listed server, with what each choice looks at.
  struct listed_server {
    server_state* server = nullptr;
    std::uint64_t name_hash = 0;
    /// Its place in this host's own order of equally busy servers.
    std::uint64_t rank = 0;
    bool near = false;
  };
  /// A server and its weight for a key.
  using weighted_server = std::pair<std::uint64_t, const server_state*>;

  [[nodiscard]] std::uint32_t limit_of(const server_state& server) const;
  [[nodiscard]] bool is_set_aside(const server_state& server, timestamp now) const;
  [[nodiscard]] bool may_take(const server_state& server, choice_range range, timestamp now) const;
  [[nodiscard]] server_state* choose(const placement_request& request, timestamp now);
  [[nodiscard]] server_state* choose_among(const placement_request& request,
                                           const server_list& candidates, choice_range range,
                                           timestamp now);
  [[nodiscard]] server_state* choose_for_prompt(const placement_request& request,
                                                const server_list& candidates, choice_range range,
                                                timestamp now);
  [[nodiscard]] server_state* choose_least_busy(const placement_request& request,
                                                choice_range range, timestamp now);
  /// What it costs to send the call there.
  [[nodiscard]] double cost_at(const server_state& server, const placement_request& request,
                               timestamp now) const;
  /// The same by the calls of all hosts and the servers' speeds.
  [[nodiscard]] server_state* choose_by_speed(const placement_request& request, choice_range range,
                                              timestamp now);
  /// The few servers that a call without a prompt is weighed at, that of its object first. Faster
  /// ones come up more often, so that hosts which know old loads share the work by speed.
  [[nodiscard]] std::vector<const listed_server*> candidates_by_speed(
      const placement_request& request, choice_range range, timestamp now) const;
  /// How many usual calls' work is at the server with one more call.
  [[nodiscard]] double plain_cost(const listed_server& item, timestamp now) const;
  /// What this host believes of the server for the call.
  [[nodiscard]] server_prospect prospect_of(const server_state& server,
                                            const placement_request& request, timestamp now) const;
  /// Has other hosts told of a call without a prompt as the load wants.
  void note_plain_call(running_call& call, const server_state& server);
  [[nodiscard]] directory_request plain_question(const placement_request& request,
                                                 timestamp now) const;
  /// Of a call that is about to be placed.
  void note_load_met(running_call& call, const server_state& server,
                     const placement_request& request, timestamp now) const;
  /// Holds a call's time for or against its server's speed.
  void note_speed_of(const running_call& call, timed_part part, timestamp now);
  /// A call whose end is told later has ended.
  void note_end(const server_state& server, timestamp now);
  void renew_slow_factor(server_state& server, timestamp now);
  /// Beliefs fade.
  void renew_slow_factors(timestamp now);
  /// What the server can do, in parts of what servers can do on average.
  [[nodiscard]] double part_of_work(const server_state& server) const;
  /// Calls at the server that other hosts are told of.
  [[nodiscard]] std::uint32_t told_calls(const server_state& server) const;
  /// The servers that hold the call's line, and a few others.
  [[nodiscard]] server_list candidates_for(const placement_request& request, timestamp now) const;
  [[nodiscard]] bool holds_line(const server_state& server, const placement_request& request) const;
  /// Adds to `chosen` the servers that hold the call's line.
  void add_holders(const placement_request& request, timestamp now,
                   std::vector<weighted_server>& chosen) const;
  [[nodiscard]] bool may_weigh(const server_state& server, const placement_request& request,
                               timestamp now) const;
  [[nodiscard]] placement_basis basis_of(const server_state& server,
                                         const placement_request& request, timestamp now) const;
  /// Nothing: unknown here, of another service, or of a former incarnation.
  [[nodiscard]] server_state* find_server(server_key key);
  /// The call's server; nothing when that has started again since.
  [[nodiscard]] server_state* server_of(const running_call& call);
  /// The server has started again: nothing known of it before counts.
  void forget_incarnation(server_state& server);
  /// Makes what is derived from `servers` anew.
  void index_servers();
  /// Of servers that are gone nobody is told.
  void drop_old_news();
  /// A server that is listed no more has no call left.
  void remove_server(const backend_server_id& id);
  /// Calls of all hosts at the server now, as well as this host can tell.
  [[nodiscard]] double calls_at(const server_state& server, timestamp now) const;
  void note_prompt(const placement_request& request, const server_state& server);
  [[nodiscard]] static queue_key key_of(const placement_request& request, timestamp now);
  void place(const placement_request& request, server_state& server, timestamp now,
             std::vector<placement>& placed);
  /// Holds what a call took so far for or against its server.
  void note_time(const running_call& call, bool lower_bound, timestamp now);
  /// Holds calls that are much later than usual against their servers.
  void note_late_calls(timestamp now);
  std::vector<placement> fill(timestamp now);

  pool_rules rules;
  availability_zone zone;
  std::map<backend_server_id, server_state> servers;
  // Derived from `servers`, whose entries stay where they are: 2,200 servers would else be
  // visited several times for each call, 2.5 ms.
  std::vector<listed_server> listed_servers;
  std::unordered_map<server_key, server_state*> by_key;
  /// Invariant: the sum of `others`.
  double calls_of_others = 0;
  /// Calls that this host may have at the listed servers, and those that it has.
  std::size_t places = 0;
  std::size_t calls_at_listed = 0;
  /// Invariant: the sum of `inside`. Calls at former incarnations have no place any more.
  std::size_t calls_inside = 0;
  std::map<placement_id, running_call> running;
  server_life last_life;
  std::map<queue_key, placement_request> queue;
  std::map<placement_id, queue_key> queued;
  usual_times usual;
  prefix_cache_view caches;
  /// Not told yet: where lines went, and servers at which this host's count has changed.
  std::vector<part_location> moved;
  std::set<server_key> changed;
  /// The same by ends of calls without a prompt, and since when.
  std::set<server_key> ended;
  timestamp ended_since{};
  typical_times typical;
  /// Servers of whose speed this host has learnt more than it has told.
  std::set<server_key> speed_news;
  timestamp next_renewal{};
  /// Of 1 / `slow_factor`, as of the last renewal.
  double mean_speed = 1;
  double fill_heard = 0;
  /// Calls that may be at servers while places are scarce; nothing: as many as fit.
  std::optional<std::uint32_t> window;
  /// Makes the order in which this host prefers equally busy servers its own.
  std::uint64_t own_key;
};

}  // namespace hawthornlane
