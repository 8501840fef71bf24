// Reads the store for all front hosts, in turns with the others.
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

/// What a reader works with; it all outlives the reader.
struct store_reader_parts {
  boost::asio::io_context& context;
  host_id self;
  platform_adapter::store_client& store;
  discovery::fleet_state& fleet;
  store_read_schedule& checks;
  ledger_client& ledger;
  peer_gossip& gossip;
  discovery::object_faults& faults;
};

/// For one thread.
class store_reader {
public:
  explicit store_reader(store_reader_parts parts);

  /// Begins the reads that are due. `owner` lives until they have ended, and the reader with it.
  void tick(net::steady_time now, const std::shared_ptr<const void>& owner);

private:
  /// Reads the store for all hosts and tells them.
  boost::asio::awaitable<void> check_store(std::shared_ptr<const void> owner);
  /// Reads the other hosts' entries: a new host needs them to hear the rest from
  /// them, and a new disk's host cannot be asked before its address is known.
  boost::asio::awaitable<void> read_hosts(std::shared_ptr<const void> owner);
  /// A new disk's address is read by one host for all: 57 hosts that each read it on
  /// their own made 2,500 to 4,800 calls to the store in 50 s with two new disks, in place
  /// of 1,250; calls are paid for.
  [[nodiscard]] bool reads_for_all() const;
  /// The store stopped answering this host, or answers again.
  void note_store(bool reachable, const std::string& detail);
  void take_configuration(const platform_adapter::object_page& page);

  store_reader_parts parts;
  bool checking = false;
  bool reading_hosts = false;
  net::steady_time next_host_read{};
  net::steady_time next_host_check{};
  /// Revision of the newest configuration that was read from the store itself.
  store_revision configuration_at;
  bool store_reachable = true;
  net::steady_time store_lost_at{};
};

}  // namespace hawthornlane::front
