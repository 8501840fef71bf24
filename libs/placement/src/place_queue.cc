// Queue of calls for places at backend servers.
#include "hawthornlane/placement/place_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornlane {

place_queue::server_queue& place_queue::touch_server(server_key server, timestamp now) {
  const auto [found, is_new] = this->servers.try_emplace(server);
  if (is_new || now - found->second.last_message_at > idle_lifetime) {
    found->second = {};
    found->second.first_message_at = now;
  }
  found->second.last_message_at = now;
  return found->second;
}

bool place_queue::is_warming_up(const server_queue& server, timestamp now) const {
  const bool settled =
      this->hosts_changed_at &&
      server.first_message_at - *this->hosts_changed_at >= convergence_time + warm_up_time;
  return !settled && now - server.first_message_at < warm_up_time;
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

place_queue::claim_rank place_queue::rank_of(const server_queue& server, const waiting_claim& item,
                                             timestamp now) {
  claim_rank rank;
  rank.priority = item.claim.priority;
  rank.late = item.wanted_by <= now && now - item.waiting_since < late_penalty_time;
  rank.is_new = !item.claim.begun;
  const auto share = server.shares.find(item.claim.priority);
  rank.share = share == server.shares.end() ? 0 : share->second.start_of(item.claim.account);
  rank.wanted_by = item.wanted_by;
  rank.waiting_since = item.waiting_since;
  rank.from = item.claim.from;
  return rank;
}

void place_queue::drop_expired(server_queue& server, timestamp now) {
  std::erase_if(server.waiting, [now](const waiting_claim& item) {
    return now - item.last_repeated > claim_lifetime ||
           now >= item.last_repeated + item.claim.given_up_in;
  });
  std::erase_if(server.grants, [now](const pending_grant& item) {
    return now - item.granted_at > grant_lifetime;
  });
}

std::uint32_t place_queue::used(server_key key, const server_queue& server, timestamp now) const {
  return this->directory.load_of_all(key, now) + static_cast<std::uint32_t>(server.grants.size());
}

std::vector<place_queue::waiting_claim>::iterator place_queue::next_claim(server_queue& server,
                                                                          timestamp now) {
  if (server.grants_since_overdue + 1 >= overdue_grant_interval) {
    const auto longest = std::min_element(server.waiting.begin(), server.waiting.end(),
                                          [](const waiting_claim& a, const waiting_claim& b) {
                                            return a.waiting_since < b.waiting_since;
                                          });
    if (now - longest->waiting_since > overdue_after) {
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

void place_queue::grant_free(server_key key, server_queue& server, timestamp now) {
  drop_expired(server, now);
  if (server.waiting.empty()) {
    return;
  }
  for (std::uint32_t taken = this->used(key, server, now);
       taken < server.places && !server.waiting.empty(); ++taken) {
    const auto next = next_claim(server, now);
    const place_claim& claim = next->claim;
    server.shares[claim.priority].grant(claim.account);
    server.grants.push_back({claim.from, now});
    this->unsent_grants.push_back({claim.from, key});
    server.waiting.erase(next);
  }
}

bool place_queue::take_unsent_grant(const global_call_id& to, server_key server) {
  return std::erase(this->unsent_grants, place_grant{to, server}) > 0;
}

double place_queue::decay_factor(const server_queue& server, timestamp now) {
  return std::exp(-to_seconds(std::chrono::duration_cast<duration>(now - server.freed_updated_at)));
}

void place_queue::record_freed(server_queue& server, double places, timestamp now) {
  server.freed_per_second = server.freed_per_second * decay_factor(server, now) + places;
  server.freed_updated_at = now;
}

claim_response place_queue::expect(server_key key, const server_queue& server,
                                   const waiting_claim& item, timestamp now) const {
  const claim_rank own_rank = rank_of(server, item, now);
  double claims = 0;
  for (const waiting_claim& other : server.waiting) {
    claims += rank_of(server, other, now) < own_rank ? 1.0 / other.claim.targets : 0;
  }
  const double taken = this->used(key, server, now);
  const double over = std::max(0.0, taken - server.places);
  const double rate = std::max(server.freed_per_second * decay_factor(server, now),
                               server.places * min_freed_per_second);
  claim_response answer;
  answer.ahead = static_cast<std::uint32_t>(taken + claims);
  answer.wait = from_seconds((over + claims + 1) / rate);
  const bool in_time = answer.wait < item.claim.given_up_in;
  answer.outcome = in_time ? claim_outcome::waiting : claim_outcome::refused;
  return answer;
}

claim_response place_queue::claim(const place_claim& claim, timestamp now) {
  server_queue& server = this->touch_server(claim.server, now);
  if (this->is_warming_up(server, now)) {
    return {};
  }
  server.places = claim.places;
  const auto granted =
      std::find_if(server.grants.begin(), server.grants.end(),
                   [&](const pending_grant& item) { return item.to == claim.from; });
  if (granted != server.grants.end()) {
    // The grant, or the answer with it, is still in transit or was lost.
    granted->granted_at = now;
    this->take_unsent_grant(claim.from, claim.server);
    return {claim_outcome::granted, {}, 0};
  }
  drop_expired(server, now);
  const auto is_same = [&](const waiting_claim& item) { return item.claim.from == claim.from; };
  auto item = std::find_if(server.waiting.begin(), server.waiting.end(), is_same);
  if (item == server.waiting.end()) {
    if (server.waiting.size() >= max_waiting) {
      claim_response answer =
          this->expect(claim.server, server, {claim, now, now, now + claim.wanted_in}, now);
      answer.outcome = claim_outcome::refused;
      return answer;
    }
    item = server.waiting.insert(item, {claim, now, now, now + claim.wanted_in});
  }
  item->claim = claim;
  item->last_repeated = now;
  item->wanted_by = now + claim.wanted_in;
  this->grant_free(claim.server, server, now);
  if (this->take_unsent_grant(claim.from, claim.server)) {
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

void place_queue::withdraw(const global_call_id& from, server_key key, timestamp now) {
  const auto found = this->servers.find(key);
  if (found == this->servers.end()) {
    return;
  }
  server_queue& server = found->second;
  std::erase_if(server.waiting, [&](const waiting_claim& item) { return item.claim.from == from; });
  std::erase_if(server.grants, [&](const pending_grant& item) { return item.to == from; });
  this->take_unsent_grant(from, key);
  this->grant_free(key, server, now);
}

void place_queue::count_changed(const host_id& host, const server_load& load, std::uint32_t before,
                                timestamp now) {
  server_queue& server = this->touch_server(load.server, now);
  // Each additional call uses up one grant to this host, the oldest first.
  for (std::uint32_t more = before; more < load.calls; ++more) {
    const auto counted =
        std::find_if(server.grants.begin(), server.grants.end(),
                     [&](const pending_grant& item) { return item.to.host == host; });
    if (counted == server.grants.end()) {
      break;
    }
    this->take_unsent_grant(counted->to, load.server);
    server.grants.erase(counted);
  }
  if (load.calls < before) {
    record_freed(server, before - load.calls, now);
  }
  this->grant_free(load.server, server, now);
}

void place_queue::sweep(timestamp now) {
  for (auto& [key, server] : this->servers) {
    this->grant_free(key, server, now);
  }
  std::erase_if(this->servers, [now](const auto& item) {
    return item.second.waiting.empty() && now - item.second.last_message_at > idle_lifetime;
  });
}

std::vector<place_grant> place_queue::take_grants() {
  return std::exchange(this->unsent_grants, {});
}

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
