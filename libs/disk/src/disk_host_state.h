// The state of a disk host. disk_host.cc listens and follows the platform's store,
// disk_membership.cc takes part in changes of the ledger set, disk_copies.cc copies records from
// other disks.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/discovery/store_follower.h"
#include "hawthornlane/disk/disk_host.h"
#include "hawthornlane/disk/ledger_store.h"
#include "hawthornlane/disk/quota_service.h"
#include "hawthornlane/http/server.h"
#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/overload/process_clients.h"
#include "hawthornlane/turn_ledger/copy_cursor.h"
#include "hawthornlane/turn_ledger/set_change.h"

namespace hawthornlane::disk {

struct disk_host::state : std::enable_shared_from_this<disk_host::state> {
  /// Another disk host and its last probe response.
  struct peer {
    host_entry entry;
    std::shared_ptr<net::rpc_client> client;
    probe_response heard;
    net::steady_time received_at{};
    /// True if `received_at` is the time of a probe response. False if no probe of the current
    /// entry was answered; `received_at` is then the time at which the entry was first listed.
    bool answered = false;
    /// The disk hosts that this one has not heard for a while, by its last probe response.
    std::vector<silent_disk> silent;
  };

  state(boost::asio::io_context& io, disk_settings with)
      : context(io),
        settings(std::move(with)),
        sweeper(io),
        store(settings.store),
        quotas(settings.quotas, make_quota_hooks()),
        ledger(io, settings.data_folder, settings.disk_mb * 1024 * 1024,
               turn_log::usual_segment_bytes, quotas.journal(), settings.added_sync_time),
        clients({settings.memory_mb * 1024 * 1024, settings.max_descriptors},
                client_memory_divisor) {}

  /// Clients read only metrics here.
  static constexpr std::size_t client_memory_divisor = 32;

  boost::asio::io_context& context;
  disk_settings settings;
  net::deadline_sweeper sweeper;
  platform_adapter::store_client store;
  discovery::fleet_state fleet;
  quota_service quotas;
  ledger_store ledger;
  overload::process_clients clients;
  std::unique_ptr<net::rpc_server> server;
  std::unique_ptr<http::server> metrics_server;
  std::vector<std::unique_ptr<discovery::store_follower>> followers;
  std::map<host_id, peer> peers;
  host_entry self;
  discovery::object_faults faults;
  std::optional<ledger_set> set;
  quota_share_tracker share_tracker;
  /// The share that the quota service has; nothing before the first set.
  std::optional<double> managed_quota_share;
  store_revision set_revision;
  /// When this process first knew the current set.
  net::steady_time set_since{};
  /// When this process last read the set from the store.
  net::steady_time set_confirmed_at{};
  /// A request to empty a host, and when this host first read it.
  struct known_retirement {
    platform_adapter::retirement request;
    net::steady_time since;
  };
  std::map<host_id, known_retirement> retirements;
  net::steady_time started = std::chrono::steady_clock::now();
  net::steady_time next_quota_sweep{};
  net::steady_time next_probe{};
  net::steady_time next_membership_run{};
  net::steady_time next_tick{};
  net::steady_time next_report{};
  bool membership_running = false;
  bool registering = false;
  /// When a change of the set became due. Valid only while the set's epoch is `due_at_epoch`.
  net::steady_time due_since{};
  set_epoch due_at_epoch;
  set_epoch copied;
  /// Per member of the set, what has been copied from its disk.
  std::map<disk_id, copy_cursor> cursors;
  net::steady_time next_copy{};
  /// This disk does not join before this time.
  net::steady_time join_again_at{};
  net::steady_time next_copy_ahead{};
  bool fetching_turns = false;
  net::steady_time next_turn_fetch{};
  /// The turns that this disk lacked when it last looked.
  std::set<request_id> lacked_turns;
  std::map<std::string, std::uint64_t> counts;

  void start();
  quota_hooks make_quota_hooks();
  void serve_metrics();
  std::string metrics_text();
  void follow_store();
  void apply_retirements(const platform_adapter::object_page& page);
  void adopt_ledger_set(const platform_adapter::object_page& page);
  void adopt_ledger_set(const platform_adapter::stored_object& object);
  void refresh_peers();
  static boost::asio::awaitable<void> register_self(std::shared_ptr<state> self);
  void on_sweep();
  void probe_peers();
  /// Logs what a change of the set, or the set itself, waits for; nothing if it waits for nothing.
  void report_waiting();
  /// How long ago the member last answered; nothing if its host is not registered.
  [[nodiscard]] std::optional<std::chrono::milliseconds> silence_of(const disk_id& member) const;
  void probe(const host_id& name, const peer& other);
  [[nodiscard]] std::string probe_answer() const;
  /// How long ago the disk host last answered. If it has never answered this process, others' word
  /// counts too.
  [[nodiscard]] duration silence_of(const peer& other) const;

  // Membership in the ledger set.
  /// The newest sets that the disks know, this one included.
  [[nodiscard]] std::vector<member_probe_result> probe_results() const;
  [[nodiscard]] bool may_grant_quotas() const;
  /// Gives the quota service the share that this host manages now.
  void update_quota_share();
  /// Notes if a change that should have added this disk was taken back because it took too long.
  void note_set_change(const ledger_set& newer);
  [[nodiscard]] bool is_retiring(const host_id& name) const {
    return this->retirements.contains(name);
  }
  /// True if the host is retiring and half of the time allowed for it has passed. The first
  /// half is left for a disk host that is not in the set to appear, which can replace it.
  [[nodiscard]] bool must_leave(const host_id& name) const;
  /// When a change of the set is due, each disk in turn has a fixed time to make it. Returns how
  /// many of these times have passed since the change became due; 0 if none is due.
  std::size_t skipped_candidates();
  /// A disk host that has been silent for `wait` counts as unreachable.
  [[nodiscard]] set_view view(duration wait) const;
  /// How long a disk host may be silent before it is replaced.
  [[nodiscard]] duration time_to_replacement() const;
  /// True if this disk joins the set as soon as members that are silent now have been so for
  /// longer.
  [[nodiscard]] bool may_join_soon() const;
  /// Copies from members that this disk may soon have to copy from as a joining disk, so that the
  /// joint set lasts only for what has changed since.
  static boost::asio::awaitable<void> copy_ahead(std::shared_ptr<state> self);
  static boost::asio::awaitable<void> run_membership_tasks(std::shared_ptr<state> self);
  static boost::asio::awaitable<void> change_set(std::shared_ptr<state> self);
  /// Writes the proposed set to the store; true if the store holds it afterwards.
  static boost::asio::awaitable<bool> propose(std::shared_ptr<state> self, set_decision decision);
  /// Raises the fence at the old members and copies their records, until the records of a read
  /// quorum of the old members are copied. True on success.
  static boost::asio::awaitable<bool> copy_from_members(std::shared_ptr<state> self);
  /// Sends a request to a disk host, or serves it from the local ledger.
  static boost::asio::awaitable<std::optional<std::string>> send_request(
      std::shared_ptr<state> self, disk_id where, ledger_method method, std::string payload,
      duration timeout);
  /// Copies from a member all records that it accepted below the joint set's epoch, or only raises
  /// its fence if the member is this disk. True on success.
  static boost::asio::awaitable<bool> copy_old_records(std::shared_ptr<state> self,
                                                       ledger_set joint, disk_id member);
  /// Makes the member refuse epochs below the joint set's. True on success.
  static boost::asio::awaitable<bool> fence_member(std::shared_ptr<state> self, ledger_set joint,
                                                   disk_id member);
  /// Copies from a member until a pass ends that began after its fence was raised to `epoch`, or
  /// any pass if `epoch` is 0. True on success; a later call goes on where this one failed.
  static boost::asio::awaitable<bool> copy_from(std::shared_ptr<state> self, disk_id member,
                                                set_epoch epoch);
  /// Stores records of another disk; true once they are on this one.
  static boost::asio::awaitable<bool> adopt_records(std::shared_ptr<state> self,
                                                    const std::vector<ledger_record>& records);
  /// Copies the next page from a member; true on success.
  static boost::asio::awaitable<bool> copy_next_page(std::shared_ptr<state> self, disk_id member,
                                                     bool& pass_ended);
  /// Fetches turns of stored chains that this disk has missed, for example while it restarted, from
  /// the other disks of the set.
  static boost::asio::awaitable<void> fetch_missing_turns(std::shared_ptr<state> self);
  /// Fetches from one disk; removes from `wanted` the turns that it had and adds those before them
  /// that are missing too. True if it had any.
  static boost::asio::awaitable<bool> fetch_turns(std::shared_ptr<state> self, disk_id from,
                                                  std::vector<request_id>& wanted);
  /// If this host is retiring and its disk is no longer a member of the set, reports to the
  /// platform that the host may be removed.
  static boost::asio::awaitable<void> complete_retirement(std::shared_ptr<state> self);
};

}  // namespace hawthornlane::disk
