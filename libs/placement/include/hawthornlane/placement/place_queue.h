// Queue of calls for places at backend servers, on the host that holds a server's entry in the
// placement directory. No I/O, clock or randomness.
//
// A place lets one call be at a server. Hosts claim places and the queue grants them. The queue is
// built for overload of 1.2 to 2.3 times the servers' capacity for 5 to 15 s. A call is assigned to
// a server only when it can start there, so calls stay ordered by urgency until then.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Identifies a call across hosts: its host and its number on that host.
struct global_call_id {
  host_id host;
  std::uint64_t call = 0;

  friend auto operator<=>(const global_call_id&, const global_call_id&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->call);
  }
};

/// A call's request for a place at a server. Times are sent as remaining durations because the
/// clocks of hosts differ.
struct place_claim {
  global_call_id from;
  server_key server;
  /// Calls that may be at the server at once.
  std::uint32_t places = 0;
  /// Number of servers at which the call claims a place. It uses the grant of at most one of them.
  std::uint32_t targets = 1;
  /// A lower value is served first.
  std::uint32_t priority = 0;
  /// True if an earlier turn of the call's session has been answered.
  bool begun = false;
  client_account account;
  /// Time left until the call's program should be done (soft deadline).
  duration wanted_in{};
  /// Time left until the call can no longer be served within its deadline.
  duration given_up_in{};

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t wanted = this->wanted_in.count();
    std::int64_t given_up = this->given_up_in.count();
    archive(this->from, this->server, this->places, this->targets, this->priority, this->begun,
            this->account, wanted, given_up);
    this->wanted_in = duration(wanted);
    this->given_up_in = duration(given_up);
  }
};

enum class claim_outcome : std::uint8_t {
  granted,
  waiting,
  /// The expected wait exceeds the time that the call has left.
  refused,
  /// This host does not know yet how many calls are at the server.
  unknown
};

struct claim_response {
  claim_outcome outcome = claim_outcome::unknown;
  /// Expected time until a place is free, for a claim that waits or is refused.
  duration wait{};
  /// Calls at the server, and claims that are served before this one.
  std::uint32_t ahead = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t left = this->wait.count();
    archive(this->outcome, left, this->ahead);
    this->wait = duration(left);
  }
};

/// Permits a call to be sent to a server now.
struct place_grant {
  global_call_id to;
  server_key server;

  friend bool operator==(const place_grant&, const place_grant&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->to, this->server);
  }
};

/// The claims at all servers whose directory entries this host holds.
class place_queue {
public:
  /// Interval at which a host repeats its claims.
  static constexpr duration repeat_interval = std::chrono::milliseconds(150);
  /// A claim is dropped if it has not been repeated for this long: its host is down or has missed
  /// two repeats.
  static constexpr duration claim_lifetime = 3 * repeat_interval;
  /// A grant expires if its host's reported count does not include the call after this long. A
  /// message takes 1 to 10 ms, and a host with a saturated core answers within 50 ms.
  static constexpr duration grant_lifetime = std::chrono::milliseconds(100);
  /// Hosts repeat their counts within this time, so a host that has just become responsible for a
  /// server knows all counts after it.
  static constexpr duration warm_up_time = std::chrono::milliseconds(1000);
  /// All hosts agree within this time on a host's start or end, and so on the host responsible for
  /// a server. If the first message about a server arrives later than this plus `warm_up_time`
  /// after a change, this host was responsible for it all along, and the server was idle or did not
  /// exist: its counts are known.
  static constexpr duration convergence_time = std::chrono::milliseconds(1000);
  /// A server is removed if no message about it has arrived for this long. Hosts report the counts
  /// of a server in use once a second, so another host is responsible for it now, or it is idle.
  static constexpr duration idle_lifetime = std::chrono::seconds(4);
  /// A claim past its soft deadline is served after claims that can still meet theirs, but only
  /// until it has waited this long; then it is ordered by its soft deadline again. A turn is given
  /// up after 3 s, which would waste the work already done for its program.
  static constexpr duration late_penalty_time = std::chrono::seconds(1);
  /// A claim that has waited this long is overdue: a program of about ten turns has used up its
  /// slack by then.
  static constexpr duration overdue_after = std::chrono::milliseconds(1500);
  /// One in this many grants goes to the claim that has waited longest, if it is overdue, whatever
  /// its priority. With a larger share, claims would be served in order of arrival once all of them
  /// are overdue.
  static constexpr std::uint32_t overdue_grant_interval = 32;
  /// Lower bound of the expected rate at which each place of a server becomes free: turns take 0.2
  /// to 1 s at the engines in use.
  static constexpr double min_freed_per_second = 1;
  /// Upper bound of the claims that wait at one server; they take 0.1 MB.
  static constexpr std::size_t max_waiting = 512;

  /// `counts` holds the calls that hosts report, and must outlive the queue.
  explicit place_queue(const placement_directory& counts) : directory(counts) {}

  /// The set of live hosts has changed, so this host may have become responsible for other servers.
  void hosts_changed(timestamp now) { this->hosts_changed_at = now; }
  /// Answers a new or repeated claim. A claim that already has a grant is granted again.
  claim_response claim(const place_claim& claim, timestamp now);
  /// Removes the call's claim at this server, and frees a place that was granted to it.
  void withdraw(const global_call_id& from, server_key server, timestamp now);
  /// `host` has reported a new count to the directory, which replaces `before`.
  void count_changed(const host_id& host, const server_load& load, std::uint32_t before,
                     timestamp now);
  /// Returns and clears the grants that are still to be sent to their hosts. Grants that were the
  /// immediate answer to a claim are not among them.
  std::vector<place_grant> take_grants();
  /// Grants places that expired grants and counts have freed, and removes unused servers.
  void sweep(timestamp now);
  /// Number of claims that wait at the server, each weighted by 1 / `targets`, the chance that it
  /// takes a place there.
  [[nodiscard]] double waiting(server_key server) const;

private:
  struct waiting_claim {
    place_claim claim;
    timestamp waiting_since{};
    timestamp last_repeated{};
    timestamp wanted_by{};
  };
  struct pending_grant {
    global_call_id to;
    timestamp granted_at{};
  };
  /// Start-time fair queueing between accounts; each granted call costs 1.
  struct fair_share {
    /// Start tag of the latest grant.
    double virtual_time = 0;
    /// Finish tag of each account's latest grant. Invariant: all are above `virtual_time`.
    std::map<client_account, double> finish;

    [[nodiscard]] double start_of(const client_account& account) const;
    void grant(const client_account& account);
  };
  struct server_queue {
    std::uint32_t places = 0;
    timestamp first_message_at{};
    timestamp last_message_at{};
    std::vector<waiting_claim> waiting;
    /// Grants that no reported count includes yet.
    std::vector<pending_grant> grants;
    /// Places freed per second: a sum of freed places that decays by a factor of e per second.
    double freed_per_second = 0;
    timestamp freed_updated_at{};
    /// One for each priority, so grants at one priority don't affect the shares at another.
    std::map<std::uint32_t, fair_share> shares;
    std::uint32_t grants_since_overdue = 0;
  };
  /// Sort key of a claim; the lowest is served first.
  struct claim_rank {
    std::uint32_t priority = 0;
    bool late = false;
    bool is_new = false;
    double share = 0;
    timestamp wanted_by{};
    timestamp waiting_since{};
    global_call_id from;

    friend auto operator<=>(const claim_rank&, const claim_rank&) = default;
  };

  [[nodiscard]] bool is_warming_up(const server_queue& server, timestamp now) const;
  server_queue& touch_server(server_key server, timestamp now);
  [[nodiscard]] static claim_rank rank_of(const server_queue& server, const waiting_claim& item,
                                          timestamp now);
  static void drop_expired(server_queue& server, timestamp now);
  /// Number of the server's places in use: calls at the server, and grants whose calls the
  /// reported counts do not include yet.
  [[nodiscard]] std::uint32_t used(server_key key, const server_queue& server, timestamp now) const;
  static std::vector<waiting_claim>::iterator next_claim(server_queue& server, timestamp now);
  /// Grants all free places to waiting claims.
  void grant_free(server_key key, server_queue& server, timestamp now);
  /// Removes a grant that has not been sent yet. Returns false if there is none.
  bool take_unsent_grant(const global_call_id& to, server_key server);
  [[nodiscard]] claim_response expect(server_key key, const server_queue& server,
                                      const waiting_claim& item, timestamp now) const;
  static void record_freed(server_queue& server, double places, timestamp now);
  static double decay_factor(const server_queue& server, timestamp now);

  const placement_directory& directory;
  std::map<server_key, server_queue> servers;
  /// Empty until the first change.
  std::optional<timestamp> hosts_changed_at;
  /// Grants that are still to be sent. Invariant: each is in the `grants` of its server, unless it
  /// has expired there.
  std::vector<place_grant> unsent_grants;
};

}  // namespace hawthornlane
