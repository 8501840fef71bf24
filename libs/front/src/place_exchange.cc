// Claims places at full backend servers at their directory hosts.
#include "hawthornlane/front/place_exchange.h"

#include <fmt/format.h>

#include <algorithm>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Time limit for a directory host's answer; the call is then placed without it. This is five
/// round trips to another zone.
constexpr std::chrono::milliseconds answer_timeout{10};

}  // namespace

/// Shared with the answer callbacks, which may run after the call has continued.
struct place_wait::open_claim {
  enum class claim_state : std::uint8_t { asked, waiting, refused, unknown };
  struct claimed_target {
    place_target target;
    claim_state state = open_claim::claim_state::asked;
    /// The directory host has answered the latest message with this claim.
    bool answered = false;
    duration wait{};
    std::uint32_t ahead = 0;
  };

  explicit open_claim(asio::io_context& context) : changed(context) {}

  [[nodiscard]] std::size_t count(claim_state state) const {
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [state](const claimed_target& item) { return item.state == state; }));
  }

  net::async_signal changed;
  placement_request request;
  std::vector<claimed_target> targets;
  std::optional<place_target> granted;
  bool left = false;
};

void place_wait::cancel() {
  this->left = true;
  if (const auto item = this->open.lock()) {
    item->left = true;
    item->changed.wake();
  }
}

place_exchange::place_exchange(asio::io_context& io, host_id own_host,
                               const placement_directory& counts, call_metrics& counters,
                               place_hooks callbacks)
    : context(io),
      self(std::move(own_host)),
      metrics(counters),
      hooks(std::move(callbacks)),
      queue(counts) {}

void place_exchange::tick() {
  std::vector<host_id> hosts = this->hooks.hosts();
  std::sort(hosts.begin(), hosts.end());
  if (hosts != this->live_hosts) {
    this->live_hosts = std::move(hosts);
    this->queue.hosts_changed(discovery::scheduler_now());
  }
  this->queue.sweep(discovery::scheduler_now());
  this->send_grants();
}

host_id place_exchange::directory_host_of(server_key server) const {
  std::vector<host_id> hosts = this->hooks.hosts();
  hosts.push_back(this->self);
  return directory_host_for(server.get(), hosts).value_or(this->self);
}

asio::awaitable<claim_result> place_exchange::claim(const placement_request& request,
                                                    std::vector<place_target> targets,
                                                    place_wait& wait) {
  const auto item = std::make_shared<open_claim>(this->context);
  item->request = request;
  for (place_target& target : targets) {
    item->targets.push_back({std::move(target)});
  }
  item->left = wait.left;
  wait.open = item;
  this->open[request.id] = item;
  const auto began = steady::now();
  co_await this->wait_for_grant(item);
  this->open.erase(request.id);
  this->withdraw_others(*item);
  const claim_result result = this->result_of(*item);
  if (result.outcome == claim_result::kind::granted) {
    this->metrics.record("place_wait", std::chrono::duration_cast<duration>(steady::now() - began));
  }
  co_return result;
}

asio::awaitable<void> place_exchange::wait_for_grant(open_claim_ptr item) {
  const auto is_over = [&item] {
    return item->left || item->granted || discovery::scheduler_now() >= item->request.give_up_at;
  };
  while (!is_over()) {
    const auto sent = steady::now();
    this->send_claims(item);
    while (!is_over() && item->count(open_claim::claim_state::asked) > 0 &&
           steady::now() < sent + answer_timeout) {
      co_await item->changed.wait_until(sent + answer_timeout);
    }
    for (auto& target : item->targets) {
      target.state = target.state == open_claim::claim_state::asked
                         ? open_claim::claim_state::unknown
                         : target.state;
    }
    if (item->count(open_claim::claim_state::waiting) == 0) {
      break;
    }
    const auto left = item->request.give_up_at - discovery::scheduler_now();
    const auto until = std::min(sent + place_queue::repeat_interval, steady::now() + left);
    while (!is_over() && item->count(open_claim::claim_state::waiting) > 0 &&
           steady::now() < until) {
      co_await item->changed.wait_until(until);
    }
  }
}

claim_result place_exchange::result_of(const open_claim& item) {
  claim_result result;
  if (item.left) {
    result.outcome = claim_result::kind::caller_left;
    return result;
  }
  if (item.granted) {
    this->metrics.count("claims_granted");
    result.outcome = claim_result::kind::granted;
    result.server = item.granted->server;
    result.key = item.granted->key;
    return result;
  }
  const bool out_of_time = discovery::scheduler_now() >= item.request.give_up_at;
  if (!out_of_time && item.count(open_claim::claim_state::unknown) > 0) {
    const bool silent = std::any_of(item.targets.begin(), item.targets.end(),
                                    [](const auto& target) { return !target.answered; });
    this->metrics.count(silent ? "claims_unanswered" : "claims_unknown");
    return result;
  }
  result.outcome = claim_result::kind::refused;
  result.wait = item.targets.front().wait;
  for (const auto& target : item.targets) {
    result.wait = std::min(result.wait, target.wait);
  }
  this->metrics.count("claims_refused");
  log_refused(item, result.wait);
  return result;
}

void place_exchange::send_claims(const open_claim_ptr& item) {
  const timestamp now = discovery::scheduler_now();
  for (std::size_t number = 0; number < item->targets.size(); ++number) {
    auto& target = item->targets[number];
    if (item->granted || target.state == open_claim::claim_state::refused) {
      continue;
    }
    // A directory host that is briefly busy still holds the claim: a waiting claim goes back to
    // `asked` only if the previous message with it was not answered.
    const bool still_waits = target.state == open_claim::claim_state::waiting && target.answered;
    target.state = still_waits ? open_claim::claim_state::waiting : open_claim::claim_state::asked;
    target.answered = false;
    place_claim claim;
    claim.from = {this->self, item->request.id.get()};
    claim.server = target.target.key;
    claim.places = target.target.places;
    claim.targets = static_cast<std::uint32_t>(item->targets.size());
    claim.priority = item->request.priority;
    claim.begun = item->request.begun;
    claim.account = item->request.account;
    claim.wanted_in = std::chrono::duration_cast<duration>(item->request.wanted_by - now);
    claim.given_up_in = std::chrono::duration_cast<duration>(item->request.give_up_at - now);
    const host_id directory_host = this->directory_host_of(claim.server);
    if (directory_host == this->self) {
      this->apply_response(item, number, this->queue.claim(claim, now));
      this->send_grants();
      continue;
    }
    this->hooks.send(directory_host, gossip_method::claim, to_bytes(claim),
                     [this, item, number](net::rpc_failure why, const std::string& bytes) {
                       const bool good = why == net::rpc_failure::none;
                       const auto answer = good ? from_bytes<claim_response>(bytes) : std::nullopt;
                       if (answer) {
                         this->apply_response(item, number, *answer);
                       } else {
                         handle_missing_answer(*item, number);
                       }
                     });
  }
}

void place_exchange::handle_missing_answer(open_claim& item, std::size_t number) {
  auto& target = item.targets[number];
  target.answered = false;
  if (target.state == open_claim::claim_state::asked) {
    target.state = open_claim::claim_state::unknown;
  }
  item.changed.wake();
}

void place_exchange::apply_response(const open_claim_ptr& item, std::size_t number,
                                    const claim_response& answer) {
  auto& target = item->targets[number];
  target.wait = answer.wait;
  target.ahead = answer.ahead;
  target.answered = true;
  switch (answer.outcome) {
    case claim_outcome::granted:
      this->accept_grant({{this->self, item->request.id.get()}, target.target.key});
      target.state = open_claim::claim_state::waiting;
      break;
    case claim_outcome::waiting:
      if (target.state == open_claim::claim_state::asked) {
        this->metrics.count("claims_waited");
      }
      target.state = open_claim::claim_state::waiting;
      break;
    case claim_outcome::refused:
      // After waiting, the call may fit at servers that were not among its targets.
      target.state = target.state == open_claim::claim_state::waiting
                         ? open_claim::claim_state::unknown
                         : open_claim::claim_state::refused;
      break;
    case claim_outcome::unknown:
      target.state = open_claim::claim_state::unknown;
      break;
  }
  item->changed.wake();
}

void place_exchange::withdraw_others(const open_claim& item) {
  for (const auto& target : item.targets) {
    const bool taken = !item.left && item.granted && item.granted->key == target.target.key;
    if (!taken && target.state != open_claim::claim_state::refused) {
      this->send_withdrawal({{this->self, item.request.id.get()}, target.target.key});
    }
  }
}

void place_exchange::return_place(placement_id call, server_key server) {
  this->send_withdrawal({{this->self, call.get()}, server});
}

void place_exchange::send_withdrawal(const place_grant& withdrawn) {
  const host_id directory_host = this->directory_host_of(withdrawn.server);
  if (directory_host == this->self) {
    this->queue.withdraw(withdrawn.to, withdrawn.server, discovery::scheduler_now());
    this->send_grants();
    return;
  }
  this->hooks.send(directory_host, gossip_method::withdraw, to_bytes(withdrawn),
                   [](net::rpc_failure, const std::string&) {});
}

void place_exchange::count_changed(const host_id& host, const server_load& load,
                                   std::uint32_t before) {
  this->queue.count_changed(host, load, before, discovery::scheduler_now());
  this->send_grants();
}

std::uint32_t place_exchange::waiting(server_key server) const {
  return static_cast<std::uint32_t>(this->queue.waiting(server));
}

void place_exchange::send_grants() {
  // A grant to a call of this host, or the withdrawal of an unwanted grant, can call this function
  // again; the outer loop then sends the next grants.
  if (this->sending_grants) {
    return;
  }
  this->sending_grants = true;
  std::vector<place_grant> grants = this->queue.take_grants();
  while (!grants.empty()) {
    for (const place_grant& grant : grants) {
      this->send_grant(grant);
    }
    grants = this->queue.take_grants();
  }
  this->sending_grants = false;
}

void place_exchange::send_grant(const place_grant& grant) {
  const auto unwanted = [this, grant] {
    this->metrics.count("grants_unwanted");
    this->queue.withdraw(grant.to, grant.server, discovery::scheduler_now());
    this->send_grants();
  };
  if (grant.to.host == this->self) {
    if (!this->accept_grant(grant)) {
      unwanted();
    }
    return;
  }
  this->hooks.send(grant.to.host, gossip_method::grant, to_bytes(grant),
                   [unwanted](net::rpc_failure why, const std::string& bytes) {
                     const auto answer = from_bytes<grant_answer>(bytes);
                     const bool not_seen = why == net::rpc_failure::unreachable;
                     const bool refused = why == net::rpc_failure::none && answer;
                     if (not_seen || (refused && !answer->wanted)) {
                       unwanted();
                     }
                   });
}

bool place_exchange::accept_grant(const place_grant& grant) {
  const auto found = this->open.find(placement_id(grant.to.call));
  if (found == this->open.end() || found->second->left) {
    return false;
  }
  open_claim& item = *found->second;
  if (item.granted) {
    return item.granted->key == grant.server;
  }
  for (const auto& target : item.targets) {
    if (target.target.key == grant.server) {
      item.granted = target.target;
      item.changed.wake();
      return true;
    }
  }
  return false;
}

void place_exchange::log_refused(const open_claim& item, duration wait) {
  const auto in_ms = [](auto time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  const timestamp now = discovery::scheduler_now();
  std::string servers;
  for (const auto& target : item.targets) {
    servers += fmt::format("{}{}:{}/{}", servers.empty() ? "" : ",", target.target.server.get(),
                           target.ahead, target.target.places);
  }
  log(event::place_refused, {{"servers", servers},
                             {"expected_wait_ms", in_ms(wait)},
                             {"left_ms", in_ms(item.request.give_up_at - now)},
                             {"wanted_in_ms", in_ms(item.request.wanted_by - now)},
                             {"priority", std::to_string(item.request.priority)},
                             {"begun", item.request.begun ? "yes" : "no"},
                             {"account", item.request.account.get()}});
}

std::optional<std::string> place_exchange::serve(gossip_method method, const std::string& payload) {
  const timestamp now = discovery::scheduler_now();
  if (method == gossip_method::claim) {
    const auto claim = from_bytes<place_claim>(payload);
    if (!claim) {
      return std::nullopt;
    }
    const claim_response answer = this->queue.claim(*claim, now);
    this->send_grants();
    return to_bytes(answer);
  }
  const auto grant = from_bytes<place_grant>(payload);
  if (!grant) {
    return std::nullopt;
  }
  if (method == gossip_method::grant) {
    return to_bytes(grant_answer{grant->to.host == this->self && this->accept_grant(*grant)});
  }
  this->queue.withdraw(grant->to, grant->server, now);
  this->send_grants();
  return std::string();
}

}  // namespace hawthornlane::front
