// Random faults and planned maintenance during a fault soak.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "soak_fleet.h"

namespace hawthornlane::scenarios {

/// Which faults a soak plays.
enum class fault_choice : std::uint8_t {
  all,
  /// Planned maintenance, in series and overlapping.
  planned,
  /// The same, while a server sends responses without an end at nearly all times.
  endless,
  /// All faults, and streams that may be resumed whose connection ends early, in order, while their
  /// server goes on.
  early_ends,
  /// Planned maintenance, while crowds of clients that don't behave are there at nearly all times.
  crowds,
  /// Planned maintenance, while a server responds to uploads before it has read them, and resets
  /// the connection, at nearly all times.
  uploads,
};

/// Starts and ends faults in an order that the seed determines. Several may be active at once.
/// Planned maintenance runs among the faults, and alone in periods without faults.
class soak_faults {
public:
  soak_faults(soak_fleet& fleet, std::uint64_t seed, fault_choice choice = fault_choice::all);

  /// Sets how to start a caller whose request ends servers.
  void on_fatal_request(std::function<void(std::uint64_t seed)> start) {
    this->start_fatal_request = std::move(start);
  }
  /// Ends and starts what is due at `now`.
  void tick(net::steady_time now);
  /// Adds a fault from elsewhere to the history; it counts as active now.
  void record(const std::string& what);
  /// Ends every active fault and starts no other.
  void end_all();
  /// True if no fault has been active since 3 s before `then`; planned maintenance does not count.
  [[nodiscard]] bool calm_since(net::steady_time then) const;
  /// The same, but responses without an end and crowds of clients do not count either.
  [[nodiscard]] bool only_endless_since(net::steady_time then) const;
  [[nodiscard]] const std::map<std::string, std::uint64_t>& counts() const { return this->begun; }
  /// One line per fault, to trace a seed.
  [[nodiscard]] const std::vector<std::string>& history() const { return this->lines; }

private:
  using undo = std::function<void()>;
  struct fault_kind {
    const char* name;
    /// Planned maintenance must have no effect that callers may see.
    bool planned;
    std::function<undo()> begin;
  };
  struct active_fault {
    const char* name;
    bool planned;
    net::steady_time until;
    undo end;
    /// Not drawn at random: a disk host that is away in its turn, an endless, invalid or early
    /// response, or a crowd.
    bool in_turn = false;
    /// An endless, invalid or early response, or a crowd: calls still have to end in time.
    bool is_endless = false;
  };

  [[nodiscard]] std::vector<fault_kind> process_faults();
  [[nodiscard]] std::vector<fault_kind> link_faults();
  [[nodiscard]] std::vector<fault_kind> environment_faults();
  [[nodiscard]] std::vector<fault_kind> planned_maintenance();
  void start_fault(net::steady_time now);
  void end_expired(net::steady_time now);
  /// Sets a random link fault at the proxy; the returned function ends it.
  undo disturb(fault_proxy& proxy);
  /// Takes the next step of the configuration's growth; after the last step it starts again.
  void grow(net::steady_time now);
  /// Lets disk hosts leave and return in turn: stopped, frozen or cut off.
  void take_disks_in_turn(net::steady_time now);
  /// Lets a server send responses without an end for a while.
  void send_endless_responses(net::steady_time now);
  /// Lets a server send responses that HTTP does not allow for a while.
  void send_invalid_responses(net::steady_time now);
  /// Lets a server respond before it has read the request, and reset the connection, for a while.
  void send_early_responses(net::steady_time now);
  /// Lets a crowd of clients come to one host or to all, for a while.
  void send_crowds(net::steady_time now);
  /// Starts callers whose requests end servers.
  void send_fatal_requests(net::steady_time now);
  /// Kills the processes of backend servers while they respond.
  void kill_servers(net::steady_time now);
  /// Lets model servers close connections early for a while.
  void end_streams_early(net::steady_time now);
  [[nodiscard]] bool plays_all() const {
    return this->choice == fault_choice::all || this->choice == fault_choice::early_ends;
  }
  void note(net::steady_time now, const std::string& what);
  undo set_behaviors(const std::shared_ptr<stand_ins::behavior_script>& behaviors);
  undo pause_process(soak_host& host);
  soak_host& pick_host(std::vector<soak_host>& hosts);
  std::chrono::milliseconds random_duration(int min_ms, int max_ms);
  std::size_t random_index(std::size_t count);

  soak_fleet& fleet;
  std::mt19937_64 random;
  std::vector<fault_kind> kinds;
  std::vector<active_fault> active;
  net::steady_time next{};
  net::steady_time period_ends{};
  fault_choice choice;
  bool maintenance_only = false;
  net::steady_time began;
  net::steady_time fault_active_until{};
  /// Of the faults other than endless responses.
  net::steady_time other_fault_until{};
  bool ended = false;
  /// The growth of the configuration is independent of the faults. It has its own random source,
  /// so that it does not change the faults of a seed.
  std::mt19937_64 growth_random;
  net::steady_time next_growth{};
  int growth_step = 0;
  /// Likewise for releases of the model servers.
  std::mt19937_64 release_random;
  net::steady_time next_release{};
  /// Likewise for disk hosts that leave in turn.
  std::mt19937_64 disk_random;
  net::steady_time next_disk{};
  std::size_t disks_taken = 0;
  /// Likewise for requests that end servers.
  std::mt19937_64 fatal_random;
  net::steady_time next_fatal{};
  /// Likewise for servers that are killed.
  std::mt19937_64 kill_random;
  net::steady_time next_kill{};
  /// Likewise for streams whose connection ends early.
  std::mt19937_64 early_end_random;
  net::steady_time next_early_end{};
  /// Likewise for responses without an end.
  std::mt19937_64 endless_random;
  net::steady_time next_endless{};
  /// Likewise for responses that HTTP does not allow.
  std::mt19937_64 invalid_random;
  net::steady_time next_invalid{};
  /// Likewise for responses to requests that have not been read.
  std::mt19937_64 early_response_random;
  net::steady_time next_early_response{};
  /// Likewise for crowds of clients.
  std::mt19937_64 crowd_random;
  net::steady_time next_crowd{};
  std::function<void(std::uint64_t seed)> start_fatal_request = [](std::uint64_t) {};
  std::map<std::string, std::uint64_t> begun;
  std::vector<std::string> lines;
};

}  // namespace hawthornlane::scenarios
