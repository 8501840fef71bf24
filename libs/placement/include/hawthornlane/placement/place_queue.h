// Gives out the places at backend servers while more calls want one than there are: the
// keeper's side. No I/O, clock or randomness.
//
// Answers a load of 1.2 to 2.3 times what the servers can do, for 5 to 15 s. A call is bound
// to a server only when it can start there, so that order of urgency holds until then.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/placement/placement_directory.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Names a call between hosts: its host, and its number there.
struct claimant {
  host_id host;
  std::uint64_t call = 0;

  friend auto operator<=>(const claimant&, const claimant&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->call);
  }
};

/// A call that wants a place at a server. Times are durations left: hosts' clocks differ.
struct place_claim {
  claimant from;
  server_key server;
  /// Calls that may be at the server.
  std::uint32_t places = 0;
  /// Servers at which the call claims a place; it leaves all but one of them without a grant.
  std::uint32_t targets = 1;
  /// Lower goes first.
  std::uint32_t priority = 0;
  /// An earlier turn of its line has been answered.
  bool begun = false;
  client_account account;
  /// Until its program should be done.
  duration wanted_in{};
  /// Until the call cannot be served in its time any more.
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
  /// The expected wait is longer than the call has.
  refused,
  /// This keeper cannot tell how many calls the server has.
  unknown
};

struct claim_response {
  claim_outcome outcome = claim_outcome::unknown;
  /// To be expected until a place is free; of a claim that waits or is refused.
  duration wait{};
  /// Calls and claims at the server that go before this one.
  std::uint32_t ahead = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t left = this->wait.count();
    archive(this->outcome, left, this->ahead);
    this->wait = duration(left);
  }
};

/// The call may go to the server now.
struct place_grant {
  claimant to;
  server_key server;

  friend bool operator==(const place_grant&, const place_grant&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->to, this->server);
  }
};

/// The claims at all servers that this host keeps.
class place_queue {
public:
  /// Between two repeats of a claim by its host.
  static constexpr duration repeat_interval = std::chrono::milliseconds(150);
  /// A claim that has not been repeated for this long is dropped: its host is gone, or has
  /// missed two repeats.
  static constexpr duration claim_lifetime = 3 * repeat_interval;
  /// A grant that no count shows after this long is free again: a message takes 1 to 10 ms,
  /// and a host with a full core answers within 50 ms.
  static constexpr duration grant_lifetime = std::chrono::milliseconds(100);
  /// Hosts tell their counts again within this time, so that a new keeper knows them then.
  static constexpr duration warm_up_time = std::chrono::milliseconds(1000);
  /// Hosts learn of another host's start or end, and so which host keeps a server, within this
  /// time of each other. A server that is first heard of later than this and the learning time
  /// after a change was kept here before, and idle or not there.
  static constexpr duration settling_time = std::chrono::milliseconds(1000);
  /// A server without a message for so long is forgotten: hosts tell the counts of one that is in
  /// use once a second, so somebody else keeps it, or it is idle.
  static constexpr duration memory = std::chrono::seconds(4);
  /// What cannot be in time any more goes behind what still can, for so long; then it goes by when
  /// it was wanted. A turn is given up after 3 s, and with it a program that was served before.
  static constexpr duration late_patience = std::chrono::seconds(1);
  /// A claim that has waited this long is overdue: a program of some ten turns has lost
  /// its slack by then.
  static constexpr duration overdue_after = std::chrono::milliseconds(1500);
  /// One grant in so many goes to the claim that is overdue the longest, whatever its
  /// priority. More would serve in order of arrival as soon as all claims are overdue.
  static constexpr std::uint32_t overdue_share = 32;
  /// Places of one server are freed at least at this pace by expectation, each: turns take
  /// 0.2 to 1 s at the engines in use.
  static constexpr double least_freed_per_second = 1;
  /// Claims that wait at one server at most: 0.1 MB.
  static constexpr std::size_t most_waiting = 512;

  /// `counts`: the calls that hosts tell of; outlives the queue.
  explicit place_queue(const placement_directory& counts) : directory(counts) {}

  /// Other hosts live now than before: this one may keep servers that another one kept.
  void hosts_changed(timestamp now) { this->hosts_changed_at = now; }
  /// Answers a new claim, or one repeated. A claim that was granted already is granted again.
  claim_response claim(const place_claim& claim, timestamp now);
  /// The call wants no place at this server any more; a place granted to it is free.
  void withdraw(const claimant& from, server_key server, timestamp now);
  /// `host` has told the directory a new count in place of `before`.
  void count_changed(const host_id& host, const server_load& load, std::uint32_t before,
                     timestamp now);
  /// Places granted since, beside those answered to a claim at once: to be told to their hosts.
  std::vector<place_grant> take_grants();
  /// Gives out what lapsed grants and counts leave free, and forgets servers.
  void sweep(timestamp now);
  /// Claims that wait at the server, each by the part that it is likely to take of a place there.
  [[nodiscard]] double waiting(server_key server) const;

private:
  struct waiting_claim {
    place_claim claim;
    timestamp since{};
    timestamp heard{};
    timestamp wanted_by{};
  };
  struct open_grant {
    claimant to;
    timestamp given{};
  };
  /// Start-time fair queueing in calls granted.
  struct fair_share {
    /// The start tag of the latest grant.
    double virtual_time = 0;
    /// Of each account the finish tag of its latest grant. Invariant: above `virtual_time`.
    std::map<client_account, double> finish;

    [[nodiscard]] double start_of(const client_account& account) const;
    void grant(const client_account& account);
  };
  struct kept_server {
    std::uint32_t places = 0;
    timestamp first_heard{};
    timestamp last_heard{};
    std::vector<waiting_claim> waiting;
    /// Not shown by a count yet.
    std::vector<open_grant> grants;
    /// Places freed lately, fading by a factor of e a second: so many a second.
    double freed = 0;
    timestamp freed_at{};
    /// By priority: what is granted to one takes nothing from the shares of another.
    std::map<std::uint32_t, fair_share> shares;
    std::uint32_t grants_since_overdue = 0;
  };
  /// Lower goes first.
  struct claim_rank {
    std::uint32_t priority = 0;
    bool late = false;
    bool is_new = false;
    double share = 0;
    timestamp wanted_by{};
    timestamp since{};
    claimant from;

    friend auto operator<=>(const claim_rank&, const claim_rank&) = default;
  };

  [[nodiscard]] bool is_learning(const kept_server& server, timestamp now) const;
  kept_server& heard_of(server_key server, timestamp now);
  [[nodiscard]] static claim_rank rank_of(const kept_server& server, const waiting_claim& item,
                                          timestamp now);
  static void drop_old(kept_server& server, timestamp now);
  /// Calls at the server and grants to it.
  [[nodiscard]] std::uint32_t used(server_key key, const kept_server& server, timestamp now) const;
  static std::vector<waiting_claim>::iterator next_claim(kept_server& server, timestamp now);
  /// Grants what is free.
  void grant_free(server_key key, kept_server& server, timestamp now);
  /// Takes a grant that was made but not told yet; false: there is none.
  bool take_untold(const claimant& to, server_key server);
  [[nodiscard]] claim_response expect(server_key key, const kept_server& server,
                                      const waiting_claim& item, timestamp now) const;
  static void note_freed(kept_server& server, double places, timestamp now);
  static double fading(const kept_server& server, timestamp now);

  const placement_directory& directory;
  std::map<server_key, kept_server> servers;
  /// Nothing: not known.
  std::optional<timestamp> hosts_changed_at;
  /// Invariant: each is in the `grants` of its server, unless that has lapsed.
  std::vector<place_grant> untold;
};

}  // namespace hawthornlane
