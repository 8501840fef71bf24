// Keeps a request from crashing one backend server after the other, over all front hosts.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/front/call_metrics.h"
#include "hawthornlane/front/crash_messages.h"
#include "hawthornlane/front/turn_store.h"
#include "hawthornlane/limits/answered_requests.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/relay/backend_pool.h"

namespace hawthornlane::front {

/// Callbacks into the rest of the host.
struct crash_hooks {
  /// Names of the live front hosts.
  std::function<std::vector<host_id>()> hosts;
  std::function<void(const host_id&, const std::string& payload, net::rpc_done)> send;
  /// Watches a server's port for up to that time.
  std::function<boost::asio::awaitable<relay::listening_state>(http::endpoint, duration)>
      check_listening;
  /// The server's entry as listed now; null if there is none.
  std::function<const backend_entry*(const backend_server_id&)> entry_of;
  /// The disks of the ledger; nothing if they are not known yet.
  std::function<std::optional<ledger_set>()> disks;
  /// Reads a page of a disk's records (`copy_request`).
  std::function<void(const disk_id&, std::string payload, net::rpc_done)> read_disk;
};

/// Whether a suspected request may run.
enum class run_permission : std::uint8_t {
  granted,
  /// It has crashed too many servers.
  blocked,
  /// Other runs of it may still crash servers, or too few disk hosts answer.
  not_now,
};

/// One run of a suspected request.
struct suspected_run {
  turn_request reservation;
  /// Servers that had crashed under the request before the run.
  std::vector<server_process_key> crashed_before;
};

/// A run that a server has not answered whole.
struct failed_run {
  request_fingerprint request;
  backend_entry server;
  /// Set if the request was suspected.
  std::optional<suspected_run> run;
  request_id attempt;
  /// The server's connection ended before its response: its process may be ending.
  bool is_cut_off = false;
};

/// A request under which a server has crashed is suspected: all hosts and the ledger know it before
/// its caller is answered. From then on each run is reserved in the ledger, which grants as many as
/// servers may still crash. The request is blocked after `crash_table::max_crashes` crashes, and no
/// longer suspected once a later run is answered whole. A crash does not count at all if the
/// request has been answered whole many times in the last minute, for example as a poll. Not
/// thread-safe.
class crash_tracker {
public:
  crash_tracker(boost::asio::io_context& context, turn_store& ledger, call_metrics& metrics,
                crash_hooks hooks);
  crash_tracker(const crash_tracker&) = delete;
  crash_tracker& operator=(const crash_tracker&) = delete;
  ~crash_tracker() = default;

  [[nodiscard]] crash_standing standing(const request_fingerprint& request) const {
    return this->table.standing(request);
  }
  /// Asks for permission to run a suspected request. Sets `run` if it is granted.
  boost::asio::awaitable<run_permission> begin_run(request_fingerprint request,
                                                   std::optional<suspected_run>& run,
                                                   net::steady_time until);
  /// Call this when a server has not answered a run whole, before its caller is answered or the
  /// request is sent again. If the connection was cut off and the server still listens, this takes
  /// `watch_time`, and the server is watched further afterwards.
  boost::asio::awaitable<void> run_failed(failed_run failed, duration watch_time);
  /// Call this when a server has answered a run whole.
  void run_answered(const request_fingerprint& request, const software_version& version,
                    const std::optional<suspected_run>& run);
  /// The run was not sent.
  void run_withdrawn(const std::optional<suspected_run>& run);

  /// Serves a report of another front host; `nullopt` if it is malformed.
  std::optional<std::string> serve(const std::string& payload);
  /// Checksum of what this host knows, for its probes.
  [[nodiscard]] std::uint64_t checksum() const { return this->table.checksum(); }
  /// Call this with the checksum in each probe of another front host. If it differs, both tell each
  /// other what they know, so that a host learns of crashes although no other one reaches it.
  void compare(const host_id& other, std::uint64_t checksum);
  /// Call this regularly.
  void tick(net::steady_time now);
  /// False while this host, which has just started, may not know of all crashes.
  [[nodiscard]] bool informed() const { return this->is_informed; }

  /// The suspected and blocked requests, one a line, for operators.
  [[nodiscard]] std::string describe() const;
  /// Clears all crashes under a request; false if there are none.
  bool lift(const request_fingerprint& request);
  /// Number of requests with this standing.
  [[nodiscard]] std::size_t count(crash_standing standing) const {
    return this->table.count(standing);
  }

private:
  struct publication;
  /// A request and a server that has crashed under it.
  using crash_key = std::pair<request_fingerprint, server_process_key>;
  /// A server that does not answer, until it is known whether it has crashed.
  struct unconfirmed_crash {
    request_fingerprint request;
    backend_entry server;
    net::steady_time until;
  };
  /// A suspected run that was not answered whole by a server that still listens. The server may
  /// still begin or go on with it, so it keeps its reservation for a while.
  struct unfinished_run {
    failed_run failed;
    net::steady_time until;
    /// False if the server's entry had already gone, as in a planned removal.
    bool was_listed = true;
  };

  /// Watches a server that still listened when its run failed.
  boost::asio::awaitable<void> watch_further(failed_run failed, std::weak_ptr<bool> alive);
  /// Records the crash of a server that does not listen any longer, unless the request is not the
  /// cause. Keeps the reservation of a run at one that still listens.
  boost::asio::awaitable<void> conclude(failed_run failed, relay::listening_state state);
  /// Tells the other hosts and the ledger, for `publication_time` at most. The run's reservation is
  /// withdrawn once the ledger has the crash, so that it counts there all the time.
  boost::asio::awaitable<void> record(crash_report report, std::optional<suspected_run> run);
  /// Tells the other front hosts; calls `done` when all have answered or failed to. Clears a crash
  /// once enough hosts say that they have seen the request answered.
  void publish(const crash_report& report, std::function<void()> done);
  /// `other_hosts`: number of hosts that have seen the request answered.
  void clear_if_outweighed(const request_fingerprint& request, const software_version& version,
                           server_process_key server, std::size_t other_hosts);
  void send(const host_id& to, const crash_message& message);
  /// Merges what another host has answered to a message; true if anything was new. `votes`: cleared
  /// marks of reported crashes say that the host has seen the request answered, and are returned.
  bool handle_answer(const host_id& from, net::rpc_failure why, const std::string& bytes,
                     std::vector<server_process_key>* votes);
  boost::asio::awaitable<void> store(crash_key crash, std::optional<suspected_run> run,
                                     std::function<void()> done);
  /// Stores a crash in the ledger; true once a majority of disk hosts has it.
  boost::asio::awaitable<bool> settle(crash_key crash, net::steady_time until);
  /// Stores all crashes under the request that this host knows and that may not be in the ledger,
  /// for example because disk hosts were away; false if that fails.
  boost::asio::awaitable<bool> settle_known(request_fingerprint request, net::steady_time until);
  void clear(const request_fingerprint& request, const std::vector<server_process_key>& servers);
  /// Excuses, on all hosts, the confirmed ones of these crashes. The ledger keeps them.
  void excuse(const request_fingerprint& request, const std::vector<server_process_key>& servers);
  /// Merges a report of another host; returns what this host knows of the request. The reported
  /// crashes are cleared in it if a server of the same version has answered the request here.
  crash_report merged(const crash_report& report);
  /// Records the server's crash, which nothing excuses.
  boost::asio::awaitable<void> record_crash(failed_run failed, bool is_certain);
  /// True if the process of this entry is known to have ended.
  [[nodiscard]] bool has_ended(const backend_entry& server) const;
  void resolve_unconfirmed(net::steady_time now);
  void resolve_unfinished(net::steady_time now);
  void update_other_hosts();
  void read_ledger();
  void read_disk(const std::shared_ptr<std::set<disk_id>>& complete, const ledger_set& set,
                 const disk_id& disk, const copy_request& from);

  boost::asio::io_context& context;
  turn_store& ledger;
  call_metrics& metrics;
  crash_hooks hooks;
  crash_table table;
  answered_requests answered;
  std::list<unconfirmed_crash> unconfirmed;
  std::list<unfinished_run> unfinished;
  /// The crashes that this host has stored in the ledger.
  std::set<crash_key> stored;
  /// Live hosts that have all reports of this host.
  std::set<host_id> up_to_date;
  net::steady_time started_at;
  net::steady_time next_ledger_read{};
  net::steady_time next_update{};
  net::steady_time next_comparison{};
  duration comparison_interval{};
  bool is_informed = false;
  std::uint64_t runs = 0;
  /// Expires with this object; answers may arrive later.
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

}  // namespace hawthornlane::front
