// Gives out the places at backend servers while more calls want one than there are.
#include "hawthornlane/placement/place_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornlane {

place_queue::kept_server& place_queue::heard_of(server_key server, timestamp now) {
  const auto [found, is_new] = this->servers.try_emplace(server);
  if (is_new || now - found->second.last_heard > memory) {
    found->second = {};
    found->second.first_heard = now;
  }
  found->second.last_heard = now;
  return found->second;
}

bool place_queue::is_learning(const kept_server& server, timestamp now) const {
  const bool settled = this->hosts_changed_at &&
                       server.first_heard - *this->hosts_changed_at >= settling_time + warm_up_time;
  return !settled && now - server.first_heard < warm_up_time;
}

double place_queue::fair_share::start_of(const client_account& account) const {
  const auto used = this->finish.find(account);
  return used == this->finish.end() ? this->virtual_time : used->second;
}

void place_queue::fair_share::grant(const client_account& account) {
  const double start = this->start_of(account);
  this->virtual_time = std::max(this->virtual_time, start);
  std::erase_if(this->finish,
                [this](const auto& item) { return item.second <= this->virtual_time; });
  this->finish[account] = start + 1;
}

place_queue::claim_rank place_queue::rank_of(const kept_server& server, const waiting_claim& item,
                                             timestamp now) {
  claim_rank rank;
  rank.priority = item.claim.priority;
  rank.late = item.wanted_by <= now && now - item.since < late_patience;
  rank.is_new = !item.claim.begun;
  const auto share = server.shares.find(item.claim.priority);
  rank.share = share == server.shares.end() ? 0 : share->second.start_of(item.claim.account);
  rank.wanted_by = item.wanted_by;
  rank.since = item.since;
  rank.from = item.claim.from;
  return rank;
}

void place_queue::drop_old(kept_server& server, timestamp now) {
  std::erase_if(server.waiting, [now](const waiting_claim& item) {
    return now - item.heard > claim_lifetime || now >= item.heard + item.claim.given_up_in;
  });
  std::erase_if(server.grants,
                [now](const open_grant& item) { return now - item.given > grant_lifetime; });
}

std::uint32_t place_queue::used(server_key key, const kept_server& server, timestamp now) const {
  return this->directory.load_of_all(key, now) + static_cast<std::uint32_t>(server.grants.size());
}

std::vector<place_queue::waiting_claim>::iterator place_queue::next_claim(kept_server& server,
                                                                          timestamp now) {
  if (server.grants_since_overdue + 1 >= overdue_share) {
    const auto longest = std::min_element(
        server.waiting.begin(), server.waiting.end(),
        [](const waiting_claim& a, const waiting_claim& b) { return a.since < b.since; });
    if (now - longest->since > overdue_after) {
      server.grants_since_overdue = 0;
      return longest;
    }
  }
  ++server.grants_since_overdue;
  auto first = server.waiting.begin();
  claim_rank lowest = rank_of(server, *first, now);
  for (auto item = std::next(first); item != server.waiting.end(); ++item) {
    claim_rank rank = rank_of(server, *item, now);
    if (rank < lowest) {
      first = item;
      lowest = std::move(rank);
    }
  }
  return first;
}

void place_queue::grant_free(server_key key, kept_server& server, timestamp now) {
  drop_old(server, now);
  if (server.waiting.empty()) {
    return;
  }
  for (std::uint32_t taken = this->used(key, server, now);
       taken < server.places && !server.waiting.empty(); ++taken) {
    const auto next = next_claim(server, now);
    const place_claim& claim = next->claim;
    server.shares[claim.priority].grant(claim.account);
    server.grants.push_back({claim.from, now});
    this->untold.push_back({claim.from, key});
    server.waiting.erase(next);
  }
}

bool place_queue::take_untold(const claimant& to, server_key server) {
  return std::erase(this->untold, place_grant{to, server}) > 0;
}

double place_queue::fading(const kept_server& server, timestamp now) {
  return std::exp(-to_seconds(std::chrono::duration_cast<duration>(now - server.freed_at)));
}

void place_queue::note_freed(kept_server& server, double places, timestamp now) {
  server.freed = server.freed * fading(server, now) + places;
  server.freed_at = now;
}

claim_response place_queue::expect(server_key key, const kept_server& server,
                                   const waiting_claim& item, timestamp now) const {
  const claim_rank own = rank_of(server, item, now);
  double claims = 0;
  for (const waiting_claim& other : server.waiting) {
    claims += rank_of(server, other, now) < own ? 1.0 / other.claim.targets : 0;
  }
  const double taken = this->used(key, server, now);
  const double over = std::max(0.0, taken - server.places);
  const double pace =
      std::max(server.freed * fading(server, now), server.places * least_freed_per_second);
  claim_response answer;
  answer.ahead = static_cast<std::uint32_t>(taken + claims);
  answer.wait = from_seconds((over + claims + 1) / pace);
  const bool in_time = answer.wait < item.claim.given_up_in;
  answer.outcome = in_time ? claim_outcome::waiting : claim_outcome::refused;
  return answer;
}

claim_response place_queue::claim(const place_claim& claim, timestamp now) {
  kept_server& server = this->heard_of(claim.server, now);
  if (this->is_learning(server, now)) {
    return {};
  }
  server.places = claim.places;
  const auto granted = std::find_if(server.grants.begin(), server.grants.end(),
                                    [&](const open_grant& item) { return item.to == claim.from; });
  if (granted != server.grants.end()) {
    // The grant, or the answer to it, is still on its way or was lost.
    granted->given = now;
    this->take_untold(claim.from, claim.server);
    return {claim_outcome::granted, {}, 0};
  }
  drop_old(server, now);
  const auto is_same = [&](const waiting_claim& item) { return item.claim.from == claim.from; };
  auto item = std::find_if(server.waiting.begin(), server.waiting.end(), is_same);
  if (item == server.waiting.end()) {
    if (server.waiting.size() >= most_waiting) {
      claim_response answer =
          this->expect(claim.server, server, {claim, now, now, now + claim.wanted_in}, now);
      answer.outcome = claim_outcome::refused;
      return answer;
    }
    item = server.waiting.insert(item, {claim, now, now, now + claim.wanted_in});
  }
  item->claim = claim;
  item->heard = now;
  item->wanted_by = now + claim.wanted_in;
  this->grant_free(claim.server, server, now);
  if (this->take_untold(claim.from, claim.server)) {
    return {claim_outcome::granted, {}, 0};
  }
  item = std::find_if(server.waiting.begin(), server.waiting.end(), is_same);
  if (item == server.waiting.end()) {
    return {claim_outcome::refused, {}, 0};
  }
  const claim_response answer = this->expect(claim.server, server, *item, now);
  if (answer.outcome == claim_outcome::refused) {
    server.waiting.erase(item);
  }
  return answer;
}

void place_queue::withdraw(const claimant& from, server_key key, timestamp now) {
  const auto found = this->servers.find(key);
  if (found == this->servers.end()) {
    return;
  }
  kept_server& server = found->second;
  std::erase_if(server.waiting, [&](const waiting_claim& item) { return item.claim.from == from; });
  std::erase_if(server.grants, [&](const open_grant& item) { return item.to == from; });
  this->take_untold(from, key);
  this->grant_free(key, server, now);
}

void place_queue::count_changed(const host_id& host, const server_load& load, std::uint32_t before,
                                timestamp now) {
  kept_server& server = this->heard_of(load.server, now);
  // Each call more shows one grant, the oldest first.
  for (std::uint32_t more = before; more < load.calls; ++more) {
    const auto shown = std::find_if(server.grants.begin(), server.grants.end(),
                                    [&](const open_grant& item) { return item.to.host == host; });
    if (shown == server.grants.end()) {
      break;
    }
    this->take_untold(shown->to, load.server);
    server.grants.erase(shown);
  }
  if (load.calls < before) {
    note_freed(server, before - load.calls, now);
  }
  this->grant_free(load.server, server, now);
}

void place_queue::sweep(timestamp now) {
  for (auto& [key, server] : this->servers) {
    this->grant_free(key, server, now);
  }
  std::erase_if(this->servers, [now](const auto& item) {
    return item.second.waiting.empty() && now - item.second.last_heard > memory;
  });
}

std::vector<place_grant> place_queue::take_grants() { return std::exchange(this->untold, {}); }

double place_queue::waiting(server_key server) const {
  const auto found = this->servers.find(server);
  double calls = 0;
  if (found != this->servers.end()) {
    for (const waiting_claim& item : found->second.waiting) {
      calls += 1.0 / item.claim.targets;
    }
  }
  return calls;
}

}  // namespace hawthornlane
