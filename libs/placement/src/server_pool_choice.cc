// Which server of a pool takes a call, and what hosts tell each other for that.
#include <algorithm>
#include <cmath>
#include <functional>

#include "hawthornlane/placement/rendezvous.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane {
namespace {

/// Set in the weight of a server of this zone, above all others.
constexpr std::uint64_t near_bit = std::uint64_t{1} << 63U;

/// What was heard of a server's load fades by a factor of e in this time, in favour of
/// the mean of all servers: a turn takes about as long, so the calls counted then are gone.
constexpr double load_fading_seconds = 0.3;
/// A load heard less long ago is not asked for again: hosts that ask more often ask each
/// other about the same calls.
constexpr duration fresh_load = std::chrono::milliseconds(20);

}  // namespace

server_pool::server_state* server_pool::choose_among(const placement_request& request,
                                                     const server_list& candidates,
                                                     choice_range range, timestamp now) {
  server_state* server = this->choose_for_prompt(request, candidates, range, now);
  return server != nullptr ? server : this->choose_least_busy(request, range, now);
}

double server_pool::cost_at(const server_state& server, const placement_request& request,
                            timestamp now) const {
  return cost_of(this->prospect_of(server, request, now), this->rules.choice);
}

server_pool::server_state* server_pool::choose_for_prompt(const placement_request& request,
                                                          const server_list& candidates,
                                                          choice_range range, timestamp now) {
  const server_state* best = nullptr;
  double best_cost = 0;
  for (const server_state* server : candidates) {
    if (!this->may_take(*server, range, now)) {
      continue;
    }
    const double cost = this->cost_at(*server, request, now);
    if (best == nullptr || cost < best_cost) {
      best = server;
      best_cost = cost;
    }
  }
  return best == nullptr ? nullptr : &this->servers.at(best->entry.id);
}

server_prospect server_pool::prospect_of(const server_state& server,
                                         const placement_request& request, timestamp now) const {
  server_prospect prospect;
  prospect.slots = server.entry.slots;
  prospect.calls = this->calls_at(server, now);
  const token_count missing = this->caches.missing(request.prompt, server.entry.id);
  prospect.missing_tokens = static_cast<double>(missing.get());
  prospect.near = server.entry.zone == this->zone;
  if (this->rules.learns_speed) {
    // By what the server is, not by the moment: a line that leaves a server for a short slowness
    // has its prompt read again.
    prospect.slowness = std::exp(server.speed.slow(this->rules.speed, now));
  }
  return prospect;
}

server_pool::server_state* server_pool::choose_least_busy(const placement_request& request,
                                                          choice_range range, timestamp now) {
  if (this->rules.learns_speed) {
    return this->choose_by_speed(request, range, now);
  }
  server_state* least = nullptr;
  server_state* preferred = nullptr;
  std::uint64_t preferred_weight = 0;
  std::uint64_t least_rank = 0;
  for (const auto& [server, name_hash, rank, near] : this->listed_servers) {
    if (!this->may_take(*server, range, now) || request.tried.contains(server->entry.id)) {
      continue;
    }
    // An object's server is one of this zone where it has any: callers stay in their
    // zone, so its front hosts agree, and prompts are the most of all bytes.
    std::uint64_t weight = 0;
    if (request.affinity != 0) {
      weight = rendezvous_weight(server->entry.id.get(), request.affinity) >> 1U;
      weight |= near ? near_bit : 0;
    }
    if (request.affinity != 0 && (preferred == nullptr || weight > preferred_weight)) {
      preferred = server;
      preferred_weight = weight;
    }
    const bool better = least == nullptr || server->inside < least->inside ||
                        (server->inside == least->inside && rank < least_rank);
    if (better) {
      least = server;
      least_rank = rank;
    }
  }
  if (preferred != nullptr && preferred->inside <= least->inside + this->rules.affinity_slack) {
    return preferred;
  }
  return least;
}

bool server_pool::holds_line(const server_state& server, const placement_request& request) const {
  // The first part is shared by so many programs that nearly all servers hold it.
  return request.prompt.size() > 1 &&
         this->caches.held(request.prompt, server.entry.id) > request.prompt.front().tokens;
}

bool server_pool::may_weigh(const server_state& server, const placement_request& request,
                            timestamp now) const {
  return server.listed && !server.health.excluded(now) && !request.tried.contains(server.entry.id);
}

void server_pool::add_holders(const placement_request& request, timestamp now,
                              std::vector<weighted_server>& chosen) const {
  for (const backend_server_id& id : this->caches.holders_of_line(request.prompt)) {
    const auto found = this->servers.find(id);
    if (found == this->servers.end() || !this->may_weigh(found->second, request, now)) {
      continue;
    }
    const std::uint64_t name_hash = rendezvous_weight(id.get(), 0);
    chosen.emplace_back(rendezvous_weight(name_hash, request.affinity), &found->second);
  }
}

server_pool::server_list server_pool::candidates_for(const placement_request& request,
                                                     timestamp now) const {
  if (request.prompt.empty()) {
    return {};
  }
  std::vector<weighted_server> of_all;
  std::vector<weighted_server> of_zone;
  const auto is_high = [](const std::vector<weighted_server>& highest, std::size_t most,
                          const weighted_server& item) {
    return highest.size() < most || item > highest.back();
  };
  const auto keep = [](std::vector<weighted_server>& highest, std::size_t most,
                       const weighted_server& item) {
    highest.insert(std::upper_bound(highest.begin(), highest.end(), item, std::greater<>()), item);
    highest.resize(std::min(highest.size(), most));
  };
  const choice_rules& choice = this->rules.choice;
  for (const auto& [server, name_hash, rank, near] : this->listed_servers) {
    const weighted_server item{rendezvous_weight(name_hash, request.affinity), server};
    const bool as_any = is_high(of_all, choice.choices, item);
    const bool as_near = near && is_high(of_zone, choice.near_choices, item);
    if ((!as_any && !as_near) || !this->may_weigh(*server, request, now)) {
      continue;
    }
    if (as_any) {
      keep(of_all, choice.choices, item);
    }
    if (as_near) {
      keep(of_zone, choice.near_choices, item);
    }
  }
  std::vector<weighted_server> chosen = std::move(of_all);
  chosen.insert(chosen.end(), of_zone.begin(), of_zone.end());
  this->add_holders(request, now, chosen);
  std::sort(chosen.begin(), chosen.end(), std::greater<>());
  chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
  server_list servers;
  for (const auto& [weight, server] : chosen) {
    servers.push_back(server);
  }
  return servers;
}

double server_pool::calls_at(const server_state& server, timestamp now) const {
  const double count = static_cast<double>(this->servers.size());
  double mean = this->servers.empty() ? 0 : this->calls_of_others / count;
  if (this->rules.learns_speed) {
    // A slow server is given less work, so fewer calls are expected there where none are known.
    mean *= this->part_of_work(server);
  }
  const double age = to_seconds(std::chrono::duration_cast<duration>(now - server.others_heard));
  const double weight = std::exp(-age / load_fading_seconds);
  return server.inside + weight * server.others + (1 - weight) * mean;
}

placement_basis server_pool::basis_of(const server_state& server, const placement_request& request,
                                      timestamp now) const {
  placement_basis basis;
  basis.calls = this->calls_at(server, now);
  basis.load_age = std::chrono::duration_cast<duration>(now - server.others_heard);
  basis.missing_tokens = this->caches.missing(request.prompt, server.entry.id);
  basis.holds_line = this->holds_line(server, request);
  return basis;
}

void server_pool::note_prompt(const placement_request& request, const server_state& server) {
  if (request.prompt.size() > 1) {
    // The last part is the line's own; a helper does not speak for its parent's line.
    const prompt_piece& line = request.prompt.back();
    this->moved.push_back({line.key, server.key, line.tokens});
  }
  this->caches.note(request.prompt, server.entry.id);
  this->changed.insert(server.key);
}

directory_request server_pool::directory_request_for(const placement_request& request,
                                                     timestamp now) const {
  directory_request question;
  if (request.prompt.empty()) {
    return this->plain_question(request, now);
  }
  for (const server_state* server : this->candidates_for(request, now)) {
    if (now - server->others_heard > fresh_load) {
      question.servers.push_back(server->key);
    }
  }
  for (std::size_t number = 1; number < request.prompt.size(); ++number) {
    question.parts.push_back(request.prompt[number].key);
  }
  return question;
}

server_pool::server_state* server_pool::find_server(server_key key) {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : found->second;
}

void server_pool::set_remote_load(const server_load& load, timestamp now) {
  if (server_state* server = this->find_server(load.server)) {
    this->calls_of_others += load.calls - server->others;
    server->others = load.calls;
    server->others_heard = now;
  }
}

void server_pool::add_prompt_location(const part_location& location) {
  if (const server_state* server = this->find_server(location.server)) {
    this->caches.note_part({location.part, location.tokens}, server->entry.id);
  }
}

directory_update server_pool::take_update() {
  directory_update update;
  if (!this->changed.empty() || !this->moved.empty()) {
    this->changed.merge(this->ended);
    this->ended.clear();
  }
  for (const server_key key : this->changed) {
    const server_state* server = this->find_server(key);
    update.loads.push_back({key, server == nullptr ? 0 : this->told_calls(*server)});
  }
  this->changed.clear();
  update.locations = std::move(this->moved);
  this->moved.clear();
  return update;
}

std::vector<server_load> server_pool::own_loads() const {
  std::vector<server_load> loads;
  for (const auto& [id, server] : this->servers) {
    if (this->told_calls(server) > 0) {
      loads.push_back({server.key, this->told_calls(server)});
    }
  }
  return loads;
}

}  // namespace hawthornlane
