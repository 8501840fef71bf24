// Limits how many state copies a host sends at a time, and names other hosts that have the state.
#include "hawthornlane/front/copy_send_limiter.h"

#include <algorithm>

namespace hawthornlane::front {

bool copy_send_limiter::try_begin(copy_kind kind, const host_id& receiver, std::size_t bytes,
                                  timestamp now) {
  auto& in_flight = this->send_states[kind].in_flight;
  std::erase_if(in_flight, [&](const auto& item) {
    return item.first == receiver || now - item.second.began >= confirmation_timeout;
  });
  std::size_t sum = bytes;
  std::size_t count = 0;
  for (const auto& [to, copy] : in_flight) {
    if (copy.has_arrived) {
      continue;
    }
    sum += copy.bytes;
    ++count;
  }
  if (count >= min_concurrent_copies && sum > max_burst_bytes) {
    return false;
  }
  in_flight.emplace(receiver, copy_in_flight{now, bytes});
  return true;
}

void copy_send_limiter::received(copy_kind kind, const host_id& receiver) {
  auto& in_flight = this->send_states[kind].in_flight;
  const auto copy = in_flight.find(receiver);
  if (copy != in_flight.end()) {
    copy->second.has_arrived = true;
  }
}

void copy_send_limiter::taken(copy_kind kind, const host_id& receiver) {
  send_state& one = this->send_states[kind];
  const auto copy = one.in_flight.extract(receiver);
  if (copy.empty() || !copy.mapped().is_newest) {
    return;
  }
  std::erase(one.holders, receiver);
  one.holders.push_front(receiver);
  if (one.holders.size() > max_holders) {
    one.holders.pop_back();
  }
}

void copy_send_limiter::invalidate(copy_kind kind) {
  send_state& one = this->send_states[kind];
  one.holders.clear();
  for (auto& [receiver, copy] : one.in_flight) {
    copy.is_newest = false;
  }
}

std::vector<host_id> copy_send_limiter::holders(copy_kind kind) const {
  const auto& held = this->send_states[kind].holders;
  return {held.begin(), held.end()};
}

}  // namespace hawthornlane::front
