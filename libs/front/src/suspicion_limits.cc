// How many suspected hosts a message names, and how many are probed on others' word.
#include "hawthornlane/front/suspicion_limits.h"

#include <algorithm>

namespace hawthornlane::front {

std::vector<host_key> host_round_robin::next(const std::set<host_key>& all, std::size_t most) {
  std::vector<host_key> taken;
  const std::size_t count = std::min(most, all.size());
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

std::vector<host_key> suspicion_limits::to_name(const std::set<host_key>& suspected) {
  return this->naming.next(suspected, most_named);
}

std::vector<host_key> suspicion_limits::to_probe(const std::set<host_key>& doubted) {
  std::vector<host_key> chosen = this->probing.next(doubted, most_probes);
  this->probed = chosen.size();
  return chosen;
}

bool suspicion_limits::admit_probe() {
  if (this->probed >= most_probes) {
    return false;
  }
  ++this->probed;
  return true;
}

}  // namespace hawthornlane::front
