// Where a call claims a place while the servers it would go to are full.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane {
namespace {

/// Two choices even a load nearly as well as all do, and each claim is a message.
constexpr std::size_t most_targets = 2;
/// A second server is claimed at while it costs at most this much of a call's time more: one
/// that must read the whole line again takes that time from others.
constexpr double most_dearer = 0.3;
/// Beside the calls that a server works on, one that it starts when one of them ends.
constexpr std::uint32_t spare_places = 1;

}  // namespace

std::vector<place_target> server_pool::claim_targets(const placement_request& request,
                                                     timestamp now) const {
  // A call that a server has refused must find another one soon.
  if (!this->rules.claims_places || request.prompt.empty() || !request.tried.empty()) {
    return {};
  }
  struct weighed_server {
    bool doubted = false;
    double cost = 0;
    const server_state* server = nullptr;
  };
  std::vector<weighed_server> weighed;
  for (const server_state* server : this->candidates_for(request, now)) {
    const bool doubted = server->health.doubted(this->rules.health, now);
    weighed.push_back({doubted, this->cost_at(*server, request, now), server});
  }
  if (weighed.empty()) {
    return {};
  }
  const auto is_cheaper = [](const weighed_server& a, const weighed_server& b) {
    return std::tie(a.doubted, a.cost) < std::tie(b.doubted, b.cost);
  };
  std::stable_sort(weighed.begin(), weighed.end(), is_cheaper);
  weighed.resize(std::min(weighed.size(), most_targets));
  std::erase_if(weighed, [first = weighed.front().cost](const weighed_server& item) {
    return item.cost > first + most_dearer;
  });
  std::vector<place_target> targets;
  for (const weighed_server& item : weighed) {
    place_target target;
    target.server = item.server->entry.id;
    target.key = item.server->key;
    target.places = item.server->entry.slots + spare_places;
    // A count fades from when it is heard, by a part of a call in some milliseconds.
    target.full = std::lround(this->calls_at(*item.server, now)) >= target.places;
    targets.push_back(std::move(target));
  }
  return targets;
}

std::optional<placement> server_pool::place_at(const placement_request& request,
                                               const backend_server_id& server, timestamp now) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end() || !this->may_weigh(found->second, request, now)) {
    return std::nullopt;
  }
  std::vector<placement> placed;
  this->place(request, found->second, now, placed);
  return std::move(placed.front());
}

}  // namespace hawthornlane
