// Everything that a disk host holds, and what it does with it: disk_host.cc listens and follows
// the store, disk_membership.cc takes part in changes of the set.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
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
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/turn_ledger/set_change.h"

namespace hawthornlane::disk {

struct disk_host::state : std::enable_shared_from_this<disk_host::state> {
  /// Another disk host.
  struct peer {
    host_entry entry;
    std::shared_ptr<net::rpc_client> link;
    probe_response heard;
    net::steady_time received_at{};
    /// `heard_at` is the time of an answer, and not of the first news of the host.
    bool answered = false;
  };

  state(boost::asio::io_context& io, disk_settings with)
      : context(io),
        settings(std::move(with)),
        sweeper(io),
        store(settings.store),
        quotas(settings.quotas, make_quota_hooks()),
        ledger(io, settings.data_folder, settings.disk_mb * 1024 * 1024,
               turn_log::usual_segment_bytes, quotas.journal()) {}

  boost::asio::io_context& context;
  disk_settings settings;
  net::deadline_sweeper sweeper;
  platform_adapter::store_client store;
  discovery::fleet_state fleet;
  quota_service quotas;
  ledger_store ledger;
  std::unique_ptr<net::rpc_server> server;
  std::unique_ptr<http::server> metrics_server;
  std::vector<std::unique_ptr<discovery::store_follower>> followers;
  std::map<host_id, peer> peers;
  host_entry self;
  discovery::object_faults faults;
  std::optional<ledger_set> set;
  store_revision set_revision;
  /// When the store last named the set, while this process ran.
  net::steady_time set_confirmed_at{};
  /// Hosts to be emptied, and since when this host knows.
  struct known_retirement {
    platform_adapter::retirement request;
    net::steady_time since;
  };
  std::map<host_id, known_retirement> retirements;
  net::steady_time started = std::chrono::steady_clock::now();
  net::steady_time next_quota_sweep{};
  net::steady_time next_probe{};
  net::steady_time next_duty{};
  net::steady_time next_tick{};
  bool duty_running = false;
  /// Since when a change of the set of that epoch is due.
  net::steady_time due_since{};
  set_epoch due_at_epoch;
  set_epoch copied;
  std::map<std::string, std::uint64_t> counts;

  void start();
  quota_hooks make_quota_hooks();
  void serve_metrics();
  std::string metrics_text();
  void follow_store();
  void take_retirements(const platform_adapter::object_page& page);
  void adopt_ledger_set(const platform_adapter::object_page& page);
  void adopt_ledger_set(const platform_adapter::stored_object& object);
  void refresh_peers();
  void on_sweep();
  void probe_peers();
  void probe(const host_id& name, const peer& other);

  // The set of disks.
  [[nodiscard]] bool may_grant_quotas() const;
  [[nodiscard]] bool is_retiring(const host_id& name) const {
    return this->retirements.contains(name);
  }
  /// Half of the time to empty a host is left for a spare to come.
  [[nodiscard]] bool must_leave(const host_id& name) const;
  /// So many disks before this one have had their time to make a change that is due.
  std::size_t skipped_candidates();
  [[nodiscard]] set_view view() const;
  static boost::asio::awaitable<void> run_duties(std::shared_ptr<state> self);
  static boost::asio::awaitable<void> change_set(std::shared_ptr<state> self);
  /// True when the store holds the proposed set now.
  static boost::asio::awaitable<bool> propose(std::shared_ptr<state> self, set_decision decision);
  /// Raises the fence at the old members and copies what they hold, until a read
  /// quorum of them is done.
  static boost::asio::awaitable<bool> copy_from_members(std::shared_ptr<state> self);
  /// A call to another disk host, or to this one's own ledger.
  static boost::asio::awaitable<std::optional<std::string>> ask(std::shared_ptr<state> self,
                                                                disk_id where, ledger_method method,
                                                                std::string payload,
                                                                duration limit);
  static boost::asio::awaitable<bool> copy_from(std::shared_ptr<state> self, ledger_set joint,
                                                disk_id member);
  /// Tells the platform that this host may be taken away, once no set holds its disk.
  static boost::asio::awaitable<void> complete_retirement(std::shared_ptr<state> self);
};

}  // namespace hawthornlane::disk
