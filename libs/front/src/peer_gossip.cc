// Gossip between front hosts: failure detection and exchange of state.
#include "hawthornlane/front/peer_gossip.h"

#include <algorithm>
#include <utility>

#include "hawthornlane/front/peer_failure_detector.h"
#include "hawthornlane/front/probe_schedule.h"
#include "hawthornlane/front/relay_choice.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace {

using steady = std::chrono::steady_clock;

/// Probe interval of a pair of hosts: the larger of a minimum and a fixed time per peer. The cost
/// of probing grows with the number of peers, so the interval grows with it.
constexpr std::chrono::milliseconds min_probe_interval{400};
constexpr std::chrono::milliseconds probe_interval_per_peer{16};
/// Interval of probe rounds; a quarter of the shortest probe interval.
constexpr duration probe_round_interval = std::chrono::milliseconds(100);
/// A peer that has missed this many probes is left out of address answers.
constexpr int max_missed_probes = 3;
constexpr std::chrono::milliseconds silence_margin{100};
/// Timeout of a probe: long enough for the kernel to retransmit a lost packet, which it does after
/// 200 ms. A failed probe only causes a suspicion.
constexpr duration probe_timeout = std::chrono::milliseconds(500);
/// A host whose latest store read is younger than this may be the only one with the new state.
constexpr duration recent_read_age = std::chrono::milliseconds(50);
constexpr duration copy_timeout = copy_send_limiter::confirmation_timeout;

}  // namespace

/// Another front host, as this host sees it.
struct peer_gossip::peer {
  peer(host_entry what, const host_id& watched_by, timestamp now)
      : entry(std::move(what)),
        key(host_key_of(this->entry.name)),
        watch(now, probe_phase(watched_by, this->entry.name)) {}

  host_entry entry;
  host_key key;
  std::unique_ptr<net::rpc_client> client;
  gossip_digest last_digest;
  peer_failure_detector watch;
  /// When it last answered a request of this host; reset when a copy request fails.
  net::steady_time answered_at{};
  bool reachable = true;
};

peer_gossip::peer_gossip(boost::asio::io_context& io, net::deadline_sweeper& sweep,
                         discovery::fleet_state& state, store_read_schedule& schedule,
                         gossip_hooks callbacks)
    : context(io),
      sweeper(sweep),
      fleet(state),
      read_schedule(schedule),
      hooks(std::move(callbacks)),
      copies(state, static_cast<const copy_hooks&>(this->hooks)),
      loop_lag(discovery::scheduler_now()),
      fetches(schedule.owner(), [this](const host_id& other) { return this->reaches(other); }) {}

peer_gossip::~peer_gossip() = default;

std::chrono::milliseconds peer_gossip::probe_interval() const {
  return std::max(min_probe_interval,
                  probe_interval_per_peer * static_cast<int>(this->peers.size()));
}

std::chrono::milliseconds peer_gossip::silence_timeout() const {
  return this->probe_interval() * max_missed_probes + silence_margin;
}

void peer_gossip::add_peer(const host_entry& entry) {
  if (entry.role != host_role::front || entry.name == this->fetches.owner()) {
    return;
  }
  const auto known = this->peers.find(entry.name);
  if (known != this->peers.end() && known->second->entry == entry) {
    return;
  }
  if (known != this->peers.end() && known->second->entry.start > entry.start) {
    return;
  }
  auto other = std::make_shared<peer>(entry, this->fetches.owner(), discovery::scheduler_now());
  other->client = std::make_unique<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
  this->peers[entry.name] = other;
  this->fetches.set_host_count(this->peers.size() + 1);
  this->probe(*other, this->probe_bytes());
}

void peer_gossip::refresh_hosts() {
  const auto& listed = this->fleet.hosts().listed();
  std::erase_if(this->peers, [&](const auto& item) {
    return !listed.contains(item.first) && !this->is_alive(*item.second);
  });
  for (const auto& [name, entry] : listed) {
    this->add_peer(entry);
  }
  this->fetches.set_host_count(this->peers.size() + 1);
}

void peer_gossip::tick() {
  const timestamp now = discovery::scheduler_now();
  this->loop_lag.record_pass(now);
  this->request_due_copies();
  if (now < this->next_probe_round) {
    return;
  }
  this->next_probe_round = now + probe_round_interval;
  this->encoder.mark_stale();
  this->mark_silent_peers();
  this->run_probe_round();
}

void peer_gossip::run_probe_round() {
  const timestamp now = discovery::scheduler_now();
  std::set<host_key> confirmation_due;
  for (const auto& [name, other] : this->peers) {
    if (this->regular_probe_due(*other)) {
      this->probe(*other, this->probe_bytes());
    } else if (other->watch.confirmation_due(now)) {
      confirmation_due.insert(other->key);
    }
  }
  const std::vector<host_key> chosen = this->limits.select_to_probe(confirmation_due);
  const std::set<host_key> asked(chosen.begin(), chosen.end());
  for (const auto& [name, other] : this->peers) {
    if (asked.contains(other->key)) {
      this->probe(*other, this->probe_bytes());
    }
  }
}

bool peer_gossip::regular_probe_due(const peer& other) const {
  const bool goes_first = this->fetches.owner() < other.entry.name;
  return other.watch.regular_probe_due(goes_first, this->timing(), discovery::scheduler_now());
}

detector_timing peer_gossip::timing() const {
  return {this->probe_interval(), this->silence_timeout()};
}

bool peer_gossip::is_alive(const peer& other) const {
  return other.watch.is_alive(this->timing(), discovery::scheduler_now());
}

bool peer_gossip::reaches(const host_id& other) const {
  const auto known = this->peers.find(other);
  return known != this->peers.end() &&
         steady::now() - known->second->answered_at < this->silence_timeout();
}

duration peer_gossip::event_loop_lag_total() const {
  return this->loop_lag.total(discovery::scheduler_now());
}

void peer_gossip::broadcast_state() {
  this->encoder.mark_stale();
  const std::string payload = this->probe_bytes();
  for (const auto& [name, other] : this->peers) {
    this->probe(*other, payload);
  }
}

void peer_gossip::mark_silent_peers() {
  for (const auto& [name, other] : this->peers) {
    if (other->reachable && !this->is_alive(*other)) {
      other->reachable = false;
      this->fetches.forget(name);
      log(event::host_silent, {{"peer", name.get()}});
    }
  }
}

void peer_gossip::probe(peer& other, const std::string& payload) {
  const auto known = this->peers.find(other.entry.name)->second;
  const timestamp sent = discovery::scheduler_now();
  const duration lag = this->loop_lag.total(sent);
  other.watch.record_probe_sent(sent, lag);
  this->call(
      other, gossip_method::digest, payload, probe_timeout,
      [this, sent, lag, weak = std::weak_ptr(known)](net::rpc_failure why, std::string answer) {
        const auto target = weak.lock();
        const auto message = probe_message_from(answer);
        if (!target) {
          return;
        }
        if (why != net::rpc_failure::none || !message) {
          const duration lag_now = this->loop_lag.total(discovery::scheduler_now());
          target->watch.record_probe_failed(sent, lag_now - lag);
          return;
        }
        target->answered_at = steady::now();
        target->watch.record_probe_answered(sent);
        this->handle_message(*target, *message);
      });
}

void peer_gossip::call(peer& other, gossip_method method, std::string payload, duration timeout,
                       net::rpc_done done) {
  auto counted =
      this->hooks.traffic.count_sent_request(kind_of(method), payload.size(), std::move(done));
  other.client->call(static_cast<std::uint16_t>(method), std::move(payload), timeout,
                     std::move(counted));
}

const std::string& peer_gossip::probe_bytes() {
  const timestamp now = discovery::scheduler_now();
  if (this->encoder.is_stale()) {
    this->encoder.update({this->hooks.self(), this->limits.select_to_name(this->suspected()),
                          this->hooks.crash_checksum()},
                         now);
  }
  return this->encoder.encoded(now);
}

std::set<host_key> peer_gossip::suspected() const {
  std::set<host_key> keys;
  const timestamp now = discovery::scheduler_now();
  const duration lag = this->loop_lag.total(now);
  for (const auto& [name, other] : this->peers) {
    if (other->watch.suspected(now, lag)) {
      keys.insert(other->key);
    }
  }
  return keys;
}

void peer_gossip::handle_suspicions(const host_id& from, const std::vector<host_key>& suspected) {
  if (suspected.empty()) {
    return;
  }
  const timestamp now = discovery::scheduler_now();
  const std::set<host_key> keys(suspected.begin(), suspected.end());
  for (const auto& [name, other] : this->peers) {
    if (!keys.contains(other->key)) {
      continue;
    }
    other->watch.record_suspicion(from, now);
    if (other->watch.confirmation_due(now) && this->limits.admit_reported_probe()) {
      this->probe(*other, this->probe_bytes());
    }
  }
}

void peer_gossip::handle_message(peer& other, const probe_message& message) {
  const timestamp now = discovery::scheduler_now();
  const gossip_digest& digest = message.digest;
  other.last_digest = digest;
  other.watch.record_message(now);
  this->handle_suspicions(other.entry.name, message.suspected);
  this->hooks.on_crash_checksum(other.entry.name, message.crash_checksum);
  if (!other.reachable) {
    other.reachable = true;
    log(event::host_reachable, {{"peer", other.entry.name.get()}});
  }
  if (!digest.store_read_by.get().empty()) {
    this->read_schedule.record_read(
        {digest.store_read_by, digest.store_read_id, now - digest.store_read_age});
  }
  this->read_schedule.record_contact(now);
  this->detect_state_changes();
  const newer_kinds newer = find_newer_kinds(digest, this->last_versions);
  const bool from_store_reader = digest.store_read_age < recent_read_age;
  for (const copy_kind kind : all_copy_kinds) {
    this->fetches.update_peer(kind, other.entry.name, newer.contains(kind), from_store_reader, now);
  }
  this->request_due_copies();
}

void peer_gossip::detect_state_changes() {
  const known_versions own = this->own_versions();
  if (own == this->last_versions) {
    return;
  }
  const known_versions before = std::exchange(this->last_versions, own);
  this->encoder.mark_stale();
  const auto invalidate = [this](copy_kind kind, bool changed) {
    if (changed) {
      this->send_limiter.invalidate(kind);
      this->copies.invalidate(kind);
      this->compare_with_peers(kind);
    }
  };
  invalidate(copy_kind::configuration, own.configuration != before.configuration);
  invalidate(copy_kind::backends, own.backends_changed_at != before.backends_changed_at);
  invalidate(copy_kind::hosts, own.hosts_revision != before.hosts_revision);
  invalidate(copy_kind::ledger, own.ledger != before.ledger);
}

void peer_gossip::compare_with_peers(copy_kind kind) {
  this->fetches.invalidate(kind);
  for (const auto& [name, other] : this->peers) {
    const bool ahead = this->is_alive(*other) &&
                       find_newer_kinds(other->last_digest, this->last_versions).contains(kind);
    this->fetches.update_peer(kind, name, ahead, false, discovery::scheduler_now());
  }
}

void peer_gossip::request_due_copies() {
  this->detect_state_changes();
  const known_versions& own = this->last_versions;
  const bool urgent = !own.configuration || !this->fleet.backends().heard() || !own.ledger;
  for (const copy_kind kind : all_copy_kinds) {
    const auto from = this->fetches.next(kind, urgent, discovery::scheduler_now());
    if (!from) {
      continue;
    }
    const auto known = this->peers.find(*from);
    if (known == this->peers.end()) {
      this->fetches.failed(kind, discovery::scheduler_now());
      this->fetches.forget(*from);
      continue;
    }
    this->request_copy(known->second, kind);
  }
}

void peer_gossip::relay(const relayed_request& relayed, duration timeout, net::rpc_done done) {
  std::vector<relay_candidate> candidates;
  for (const auto& [name, other] : this->peers) {
    if (this->is_alive(*other)) {
      candidates.push_back({name, other->entry.zone, other->last_digest.disks_reached});
    }
  }
  const availability_zone zone = this->hooks.self().self.zone;
  const auto chosen = choose_relay(candidates, this->fetches.owner(), zone);
  if (!chosen) {
    done(net::rpc_failure::unreachable, {});
    return;
  }
  this->call(*this->peers.at(*chosen), gossip_method::relay, to_bytes(relayed), timeout,
             std::move(done));
}

std::size_t peer_gossip::rank() const {
  // Called at each pass of the event loop: building a digest only for the own name is too slow.
  const host_id& own = this->fetches.owner();
  std::size_t before = 0;
  for (const auto& [name, other] : this->peers) {
    before += name < own && this->is_alive(*other) ? 1 : 0;
  }
  return before;
}

void peer_gossip::request_copy(const std::shared_ptr<peer>& other, copy_kind kind) {
  ++this->counts.asked;
  const copy_request request{kind, this->fetches.owner()};
  this->call(*other, gossip_method::copy, to_bytes(request), copy_timeout,
             [this, alive = std::weak_ptr(this->lifetime), asked = std::weak_ptr(other),
              from = other->entry.name, kind](net::rpc_failure why, std::string bytes) {
               if (alive.expired()) {
                 return;
               }
               if (const auto known = asked.lock()) {
                 const bool answered = why == net::rpc_failure::none;
                 known->answered_at = answered ? steady::now() : net::steady_time{};
               }
               if (why != net::rpc_failure::none) {
                 ++this->counts.failed;
                 this->fetches.failed(kind, discovery::scheduler_now());
                 return;
               }
               this->handle_copy_response(from, kind, std::move(bytes));
             });
}

void peer_gossip::handle_copy_response(const host_id& from, copy_kind kind, std::string bytes) {
  const auto answer = copy_response_from(std::move(bytes));
  if (answer && !answer->copy) {
    ++this->counts.put_off;
    this->fetches.busy(kind, answer->holders, discovery::scheduler_now());
    return;
  }
  if (answer) {
    // Before the copy is applied, which takes a slow host long enough to delay all others.
    this->confirm_copy(from, gossip_method::copy_received, kind);
  }
  if (!answer || !this->copies.apply(from, kind, *answer->copy)) {
    ++this->counts.failed;
    this->fetches.failed(kind, discovery::scheduler_now());
    return;
  }
  ++this->counts.taken;
  this->counts.bytes_taken += answer->copy->size();
  this->log_copy(from, kind, answer->copy->size());
  this->fetches.taken(kind);
  this->compare_with_peers(kind);
  this->confirm_copy(from, gossip_method::copy_taken, kind);
  this->request_due_copies();
}

std::optional<std::string> peer_gossip::serve(gossip_method method, const std::string& payload) {
  switch (method) {
    case gossip_method::digest: {
      const auto message = probe_message_from(payload);
      if (!message) {
        return std::nullopt;
      }
      // A host may send a probe before its registry entry arrives from the store.
      this->add_peer(message->digest.self);
      const auto known = this->peers.find(message->digest.self.name);
      if (known != this->peers.end()) {
        known->second->watch.record_probe_received(discovery::scheduler_now());
        this->handle_message(*known->second, *message);
      }
      return this->probe_bytes();
    }
    case gossip_method::copy: {
      const auto request = copy_request_from(payload);
      return request ? this->send_copy(*request) : std::nullopt;
    }
    case gossip_method::copy_received: {
      const auto request = copy_request_from(payload);
      if (!request) {
        return std::nullopt;
      }
      this->send_limiter.received(request->kind, request->requester);
      return "";
    }
    case gossip_method::copy_taken: {
      const auto request = copy_request_from(payload);
      if (!request) {
        return std::nullopt;
      }
      this->send_limiter.taken(request->kind, request->requester);
      return "";
    }
    case gossip_method::relay:
    case gossip_method::directory:
    case gossip_method::claim:
    case gossip_method::withdraw:
    case gossip_method::grant:
    case gossip_method::crashes:
      // Served elsewhere: by the ledger client, which answers asynchronously, by the placement
      // directory, by the place exchange, and by the crash tracker.
      return std::nullopt;
  }
  return std::nullopt;
}

std::vector<host_entry> peer_gossip::ready_hosts() const {
  std::vector<host_entry> ready;
  for (const auto& [name, other] : this->peers) {
    if (other->last_digest.ready && !other->last_digest.leaving && this->is_alive(*other)) {
      ready.push_back(other->entry);
    }
  }
  return ready;
}

std::vector<host_id> peer_gossip::live_hosts() const {
  std::vector<host_id> hosts;
  for (const auto& [name, other] : this->peers) {
    if (this->is_alive(*other) && !other->last_digest.leaving) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

void peer_gossip::send(const host_id& to, gossip_method method, const std::string& payload,
                       net::rpc_done done) {
  const auto found = this->peers.find(to);
  if (found == this->peers.end()) {
    done(net::rpc_failure::unreachable, {});
    return;
  }
  this->call(*found->second, method, payload, probe_timeout, std::move(done));
}

std::vector<service_demand> peer_gossip::demand_of_others() const {
  std::vector<service_demand> all;
  for (const auto& [name, other] : this->peers) {
    if (this->is_alive(*other)) {
      all.insert(all.end(), other->last_digest.demand.begin(), other->last_digest.demand.end());
    }
  }
  return all;
}

}  // namespace hawthornlane::front
