// Chooses the front host addresses that a caller gets.
#include "hawthornlane/front/address_choice.h"

#include <set>

namespace hawthornlane::front {

std::vector<std::string> addresses_for(const availability_zone& zone,
                                       const std::vector<host_entry>& ready) {
  std::vector<std::string> near;
  std::vector<std::string> all;
  std::set<availability_zone> zones;
  for (const host_entry& host : ready) {
    all.push_back(host.callers_at);
    zones.insert(host.zone);
    if (host.zone == zone) {
      near.push_back(host.callers_at);
    }
  }
  const double even_share =
      zones.empty() ? 0 : static_cast<double>(all.size()) / static_cast<double>(zones.size());
  const bool enough = near.size() >= min_hosts_in_zone &&
                      static_cast<double>(near.size()) >= min_zone_share * even_share;
  return enough ? near : all;
}

}  // namespace hawthornlane::front
