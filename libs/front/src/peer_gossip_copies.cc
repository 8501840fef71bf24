// Gossip between front hosts: the versions of this host's state, and the copies of it that are sent
// and received.
#include <utility>

#include "hawthornlane/front/peer_gossip.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {

known_versions peer_gossip::own_versions() const {
  known_versions own;
  if (const auto& table = this->fleet.table()) {
    own.configuration = table->version();
  }
  own.backends_changed_at = this->fleet.backends().at();
  own.hosts_revision = this->fleet.hosts().at();
  if (const auto set = this->hooks.ledger()) {
    own.ledger = set->epoch;
  }
  return own;
}

std::optional<std::string> peer_gossip::send_copy(const copy_request& request) {
  this->detect_state_changes();
  const auto& copy = this->copies.ready(request.kind);
  if (!copy) {
    return std::nullopt;
  }
  const timestamp now = discovery::scheduler_now();
  if (!this->hooks.may_send_copy() ||
      !this->send_limiter.try_begin(request.kind, request.requester, copy->size(), now)) {
    return to_response_bytes({std::nullopt, this->send_limiter.holders(request.kind)});
  }
  ++this->counts.given;
  this->counts.bytes_given += copy->size();
  return to_response_bytes({copy, {}});
}

void peer_gossip::confirm_copy(const host_id& from, gossip_method method, copy_kind kind) {
  this->send(from, method, to_bytes(copy_request{kind, this->fetches.owner()}),
             [](net::rpc_failure, const std::string&) {});
}

void peer_gossip::log_copy(const host_id& from, copy_kind kind, std::size_t bytes) const {
  const fetch_progress progress = this->fetches.progress(kind, discovery::scheduler_now());
  log(event::copy_applied, {{"kind", std::string(name_of(kind))},
                            {"from", from.get()},
                            {"bytes", std::to_string(bytes)},
                            {"wait_ms", milliseconds_text(progress.since_known)},
                            {"asked", std::to_string(progress.requests)},
                            {"put_off", std::to_string(progress.refusals)},
                            {"failed", std::to_string(progress.failures)}});
}

}  // namespace hawthornlane::front
