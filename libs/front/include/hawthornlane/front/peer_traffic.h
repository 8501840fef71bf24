// Counts the bytes exchanged with other hosts, by purpose.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/net/rpc.h"

namespace hawthornlane::front {

/// Purpose of a message between hosts.
enum class traffic_kind : std::uint8_t { probes, copies, directory, relays, disks, crashes };

constexpr std::array all_traffic_kinds{traffic_kind::probes,    traffic_kind::copies,
                                       traffic_kind::directory, traffic_kind::relays,
                                       traffic_kind::disks,     traffic_kind::crashes};

std::string_view name_of(traffic_kind kind);
/// Kind of a message between front hosts; unknown methods count as probes.
traffic_kind kind_of(gossip_method method);

/// Bytes of requests and answers, without frame headers (below 20 bytes each).
struct traffic_bytes {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// Byte counters. Copies share the counters and may outlive each other. Not thread-safe.
class peer_traffic {
public:
  /// Counts a request of this host. Returns `done` wrapped so that the answer is counted too, if
  /// one arrives. `request`: bytes.
  [[nodiscard]] net::rpc_done count_sent_request(traffic_kind kind, std::size_t request,
                                                 net::rpc_done done) const;
  /// Counts a request of another host. Returns `reply` wrapped so that the answer is counted too.
  /// `request`: bytes.
  [[nodiscard]] net::rpc_reply count_received_request(traffic_kind kind, std::size_t request,
                                                      net::rpc_reply reply) const;
  [[nodiscard]] const traffic_bytes& of(traffic_kind kind) const {
    return this->counts->at(static_cast<std::size_t>(kind));
  }

private:
  using counters = std::array<traffic_bytes, all_traffic_kinds.size()>;

  std::shared_ptr<counters> counts = std::make_shared<counters>();
};

}  // namespace hawthornlane::front
