// Counts the bytes exchanged with other hosts, by purpose.
#include "hawthornlane/front/peer_traffic.h"

#include <optional>
#include <string>
#include <utility>

namespace hawthornlane::front {

std::string_view name_of(traffic_kind kind) {
  switch (kind) {
    case traffic_kind::probes:
      return "probes";
    case traffic_kind::copies:
      return "copies";
    case traffic_kind::directory:
      return "directory";
    case traffic_kind::relays:
      return "relays";
    case traffic_kind::disks:
      return "disks";
    case traffic_kind::crashes:
      return "crashes";
  }
  return "";
}

traffic_kind kind_of(gossip_method method) {
  switch (method) {
    case gossip_method::digest:
      return traffic_kind::probes;
    case gossip_method::relay:
      return traffic_kind::relays;
    case gossip_method::directory:
    case gossip_method::claim:
    case gossip_method::grant:
    case gossip_method::withdraw:
      return traffic_kind::directory;
    case gossip_method::crashes:
      return traffic_kind::crashes;
    case gossip_method::copy:
    case gossip_method::copy_received:
    case gossip_method::copy_taken:
      return traffic_kind::copies;
  }
  return traffic_kind::probes;
}

net::rpc_done peer_traffic::count_sent_request(traffic_kind kind, std::size_t request,
                                               net::rpc_done done) const {
  const auto index = static_cast<std::size_t>(kind);
  this->counts->at(index).sent += request;
  return [shared = this->counts, index, done = std::move(done)](net::rpc_failure why,
                                                                std::string answer) {
    shared->at(index).received += answer.size();
    done(why, std::move(answer));
  };
}

net::rpc_reply peer_traffic::count_received_request(traffic_kind kind, std::size_t request,
                                                    net::rpc_reply reply) const {
  const auto index = static_cast<std::size_t>(kind);
  this->counts->at(index).received += request;
  return
      [shared = this->counts, index, reply = std::move(reply)](std::optional<std::string> answer) {
        shared->at(index).sent += answer ? answer->size() : 0;
        reply(std::move(answer));
      };
}

}  // namespace hawthornlane::front
