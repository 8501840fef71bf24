// Reads the store on behalf of all front hosts, taking turns with them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/fleet/store_read_schedule.h"
#include "hawthornlane/front/ledger_client.h"
#include "hawthornlane/front/peer_gossip.h"

namespace hawthornlane::front {

/// Dependencies of a reader; all of them must outlive it.
struct store_reader_parts {
  boost::asio::io_context& context;
  host_id self;
  platform_adapter::store_client& store;
  discovery::fleet_state& fleet;
  store_read_schedule& read_schedule;
  ledger_client& ledger;
  peer_gossip& gossip;
  discovery::object_faults& faults;
};

/// Not thread-safe.
class store_reader {
public:
  explicit store_reader(store_reader_parts parts);

  /// Starts the reads that are due. They hold `owner`, which must own this reader, until they end.
  void tick(net::steady_time now, const std::shared_ptr<const void>& owner);

private:
  struct check_log;
  /// A read of the configuration; shared with whoever waits for it.
  struct configuration_read;

  /// Reads the store for all hosts and broadcasts the result.
  boost::asio::awaitable<void> check_store(std::shared_ptr<const void> owner);
  /// Reads the configuration. Its response is used however late it comes: revisions order them.
  boost::asio::awaitable<void> read_configuration(std::shared_ptr<configuration_read> read,
                                                  std::shared_ptr<const void> owner);
  /// Starts a read of the configuration and waits for it, unless earlier ones are late, too. False
  /// if the store refuses.
  boost::asio::awaitable<bool> check_configuration(std::shared_ptr<const void> owner);
  /// Reads the host registry. A new host needs it to get the other state from its peers, and a new
  /// disk host cannot be contacted before its address is known.
  boost::asio::awaitable<void> read_hosts(std::shared_ptr<const void> owner);
  /// Whether this host reads the store for all. The address of a new disk is read by one host for
  /// all, since calls to the store cost money: 57 hosts that each read it made 2,500 to 4,800 calls
  /// in 50 s with two new disks, instead of 1,250.
  [[nodiscard]] bool reads_for_all() const;
  /// Records whether the store answers, and logs changes.
  void record_store_state(bool reachable, const std::string& detail);
  /// True if the page contains a configuration that is newer than this host's.
  bool apply_configuration(const platform_adapter::object_page& page);

  store_reader_parts parts;
  bool checking = false;
  timestamp last_check_began = discovery::scheduler_now();
  /// Invariant: at most `max_configuration_reads`.
  std::size_t configuration_reads = 0;
  bool reading_hosts = false;
  net::steady_time next_host_read{};
  net::steady_time next_host_check{};
  /// Revision of the newest configuration that was read from the store itself.
  store_revision configuration_at;
  /// False from a failed read of this host to the next good one of any host.
  bool store_reachable = true;
  timestamp store_lost_at{};
};

}  // namespace hawthornlane::front
