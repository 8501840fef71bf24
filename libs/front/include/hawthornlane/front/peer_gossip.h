// Front hosts tell each other that they live and what they know, so that news
// reach a host that the store turns away.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/fleet/check_schedule.h"
#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/net/rpc.h"

namespace hawthornlane::front {

/// One host's talk with the other front hosts. For one thread.
class peer_gossip {
public:
  using digest_source = std::function<gossip_digest()>;
  /// Decodes a configuration as the store holds it.
  using configuration_decoder =
      std::function<std::optional<configuration>(const std::string& text)>;

  peer_gossip(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
              discovery::fleet_state& fleet, check_schedule& checks, digest_source self,
              configuration_decoder decode);
  peer_gossip(const peer_gossip&) = delete;
  peer_gossip& operator=(const peer_gossip&) = delete;
  ~peer_gossip();

  /// Serves another front host; nothing when the request is malformed.
  std::optional<std::string> serve(gossip_method method, const std::string& payload);
  /// The front hosts may have changed.
  void refresh_hosts();
  /// Probes the others when it is time to.
  void tick();
  /// Tells everybody at once, for a planned stop.
  void tell_all();

  /// This host's place among the front hosts that live, by name.
  [[nodiscard]] std::size_t rank() const;
  /// Where callers reach the front hosts that are ready, this one left out.
  [[nodiscard]] std::vector<host_entry> ready_hosts() const;

private:
  struct peer;

  void probe(peer& other);
  void hear(peer& other, const gossip_digest& digest);
  void pull(peer& other);

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  discovery::fleet_state& fleet;
  check_schedule& checks;
  digest_source self;
  configuration_decoder decode;
  std::map<host_id, std::shared_ptr<peer>> peers;
  net::steady_time next_probe{};
};

}  // namespace hawthornlane::front
