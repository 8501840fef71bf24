// How many whole copies a host gives at a time, and whom it names instead.
#include "hawthornlane/front/copy_send_limiter.h"

#include <algorithm>

namespace hawthornlane::front {

bool copy_send_limiter::begin(copy_kind kind, const host_id& receiver, std::size_t bytes,
                              timestamp now) {
  auto& under_way = this->outlets[kind].under_way;
  std::erase_if(under_way, [&](const auto& item) {
    return item.first == receiver || now - item.second.began >= longest_copy;
  });
  std::size_t sum = bytes;
  for (const auto& [to, copy] : under_way) {
    sum += copy.bytes;
  }
  if (under_way.size() >= least_at_once && sum > burst_bytes) {
    return false;
  }
  under_way.emplace(receiver, copy_under_way{now, bytes});
  return true;
}

void copy_send_limiter::taken(copy_kind kind, const host_id& receiver) {
  outlet& one = this->outlets[kind];
  const auto copy = one.under_way.extract(receiver);
  if (copy.empty() || !copy.mapped().newest) {
    return;
  }
  std::erase(one.holders, receiver);
  one.holders.push_front(receiver);
  if (one.holders.size() > most_holders) {
    one.holders.pop_back();
  }
}

void copy_send_limiter::renew(copy_kind kind) {
  outlet& one = this->outlets[kind];
  one.holders.clear();
  for (auto& [receiver, copy] : one.under_way) {
    copy.newest = false;
  }
}

std::vector<host_id> copy_send_limiter::holders(copy_kind kind) const {
  const auto& held = this->outlets[kind].holders;
  return {held.begin(), held.end()};
}

}  // namespace hawthornlane::front
