// Chooses the servers at which a call claims a place when its candidates are full.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane {
namespace {

/// Upper bound of the servers at which one call claims a place. Two choices balance load nearly as
/// well as more, and each claim is a message.
constexpr std::size_t max_targets = 2;
/// A call claims a place at a second server only if the cost there is at most this much higher, as
/// a fraction of a call's time. A server that has to read the whole session again takes that time
/// from other calls.
constexpr double max_extra_cost = 0.3;
/// Places of a server beyond its slots: a call that it can start as soon as another one ends.
constexpr std::uint32_t spare_places = 1;

}  // namespace

std::vector<place_target> server_pool::claim_targets(const placement_request& request,
                                                     timestamp now) const {
  // A call that a server has refused or failed makes no claim, so that its retry is not delayed;
  // nor does one that takes up a stream.
  const bool is_retry = !request.tried.empty() || request.version;
  if (!this->rules.claims_places || request.prompt.empty() || is_retry) {
    return {};
  }
  struct candidate {
    bool degraded = false;
    double cost = 0;
    const server_state* server = nullptr;
  };
  std::vector<candidate> candidates;
  for (const server_state* server : this->candidates_for(request, now)) {
    const bool degraded = server->health.degraded(this->rules.health, now);
    candidates.push_back({degraded, this->cost_at(*server, request, now), server});
  }
  if (candidates.empty()) {
    return {};
  }
  const auto is_cheaper = [](const candidate& a, const candidate& b) {
    return std::tie(a.degraded, a.cost) < std::tie(b.degraded, b.cost);
  };
  std::stable_sort(candidates.begin(), candidates.end(), is_cheaper);
  candidates.resize(std::min(candidates.size(), max_targets));
  std::erase_if(candidates, [first = candidates.front().cost](const candidate& item) {
    return item.cost > first + max_extra_cost;
  });
  std::vector<place_target> targets;
  for (const candidate& item : candidates) {
    place_target target;
    target.server = item.server->entry.id;
    target.key = item.server->key;
    target.places = item.server->entry.slots + spare_places;
    // Rounded, since a received count decays by a fraction of a call within milliseconds.
    target.full = std::lround(this->calls_at(*item.server, now)) >= target.places;
    targets.push_back(std::move(target));
  }
  return targets;
}

std::optional<placement> server_pool::place_at(const placement_request& request,
                                               const backend_server_id& server, timestamp now) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end() || !this->is_candidate(found->second, request, now)) {
    return std::nullopt;
  }
  std::vector<placement> placed;
  this->place(request, found->second, now, placed);
  return std::move(placed.front());
}

}  // namespace hawthornlane
