// Limits the suspected hosts named in a message, and the probes sent because others suspect a host.
#include "hawthornlane/front/suspicion_limits.h"

#include <algorithm>

namespace hawthornlane::front {

std::vector<host_key> host_round_robin::next(const std::set<host_key>& all, std::size_t max_count) {
  std::vector<host_key> taken;
  const std::size_t count = std::min(max_count, all.size());
  auto item = all.upper_bound(this->last);
  while (taken.size() < count) {
    if (item == all.end()) {
      item = all.begin();
    }
    taken.push_back(*item);
    ++item;
  }
  if (!taken.empty()) {
    this->last = taken.back();
  }
  return taken;
}

std::vector<host_key> suspicion_limits::select_to_name(const std::set<host_key>& suspected) {
  return this->naming_rotation.next(suspected, max_named);
}

std::vector<host_key> suspicion_limits::select_to_probe(
    const std::set<host_key>& confirmation_due) {
  std::vector<host_key> chosen = this->probe_rotation.next(confirmation_due, max_probes_per_round);
  this->probes_in_round = chosen.size();
  return chosen;
}

bool suspicion_limits::admit_reported_probe() {
  if (this->probes_in_round >= max_probes_per_round) {
    return false;
  }
  ++this->probes_in_round;
  return true;
}

}  // namespace hawthornlane::front
