// Locks around the membership core.
#include "hawthornlane/node/host_view.h"

namespace hawthornlane {

membership_actions host_view::tick(timestamp now, std::uint64_t random) {
  const std::lock_guard lock(this->mutex);
  return this->core.tick(now, random);
}

membership_actions host_view::receive(const probe_message& message, timestamp now) {
  const std::lock_guard lock(this->mutex);
  return this->core.receive(message, now);
}

membership_actions host_view::listed(const member& seen, timestamp now) {
  const std::lock_guard lock(this->mutex);
  return this->core.listed(seen, now);
}

void host_view::leave() {
  const std::lock_guard lock(this->mutex);
  this->core.leave();
}

void host_view::set_documents(std::uint64_t digest, bool current) {
  const std::lock_guard lock(this->mutex);
  this->core.set_documents(digest, current);
}

member host_view::self() const {
  const std::lock_guard lock(this->mutex);
  return this->core.self();
}

std::vector<member> host_view::all() const {
  const std::lock_guard lock(this->mutex);
  std::vector<member> hosts;
  for (const auto& [host, item] : this->core.members()) {
    hosts.push_back(item);
  }
  return hosts;
}

std::vector<member> host_view::usable() const {
  const std::lock_guard lock(this->mutex);
  return this->core.usable();
}

std::optional<member> host_view::find(const host_id& host) const {
  const std::lock_guard lock(this->mutex);
  const member* found = this->core.find(host);
  return found == nullptr ? std::nullopt : std::optional(*found);
}

std::optional<member> host_view::find_live(const host_incarnation& host) const {
  const std::lock_guard lock(this->mutex);
  const member* found = this->core.find_live(host);
  return found == nullptr ? std::nullopt : std::optional(*found);
}

bool host_view::has_ended(const host_incarnation& host) const {
  const std::lock_guard lock(this->mutex);
  const member* found = this->core.find(host.host);
  if (found == nullptr) {
    return false;
  }
  return found->id.start > host.start || (found->id == host && found->state == member_state::gone);
}

}  // namespace hawthornlane
