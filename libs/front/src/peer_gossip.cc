// Front hosts tell each other that they live and what they know.
#include "hawthornlane/front/peer_gossip.h"

#include <algorithm>
#include <utility>

#include "hawthornlane/front/peer_failure_detector.h"
#include "hawthornlane/front/relay_choice.h"
#include "hawthornlane/placement/rendezvous.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace {

using steady = std::chrono::steady_clock;

/// Between two probes of each other host, at least, and for each other host: what
/// probes cost a host grows with their number, so many hosts probe more slowly.
constexpr std::chrono::milliseconds least_probe_pause{400};
constexpr std::chrono::milliseconds probe_pause_each{16};
/// Between two looks at whom to probe; a fourth of the least pause between probes.
constexpr duration look_pause = std::chrono::milliseconds(100);
/// A host that has missed so many probes is left out of address answers.
constexpr int probes_missed = 3;
constexpr std::chrono::milliseconds probe_slack{100};
/// Long enough for a packet that is lost to be sent again, which kernels do after 200 ms. What
/// fails makes a suspicion, no more.
constexpr duration probe_limit = std::chrono::milliseconds(500);
/// A host that has read the store this lately tells news that nobody else may have.
constexpr duration just_read = std::chrono::milliseconds(50);
constexpr duration copy_limit = copy_send_limiter::longest_copy;

/// Where in a pause two hosts begin to probe each other; pairs spread evenly.
double phase_of(const host_id& host, const host_id& other) {
  constexpr std::uint64_t steps = 1 << 16;
  const std::uint64_t step = rendezvous_weight(host.get(), host_key_of(other).get()) % steps;
  return static_cast<double>(step) / steps;
}

}  // namespace

/// Another front host.
struct peer_gossip::peer {
  peer(host_entry what, const host_id& watched_by, timestamp now)
      : entry(std::move(what)),
        key(host_key_of(this->entry.name)),
        watch(now, phase_of(watched_by, this->entry.name)) {}

  host_entry entry;
  host_key key;
  std::unique_ptr<net::rpc_client> link;
  gossip_digest heard;
  peer_failure_detector watch;
  /// When it last answered a call of this host, unless a question for a copy failed since.
  net::steady_time answered_at{};
  bool reachable = true;
};

peer_gossip::peer_gossip(boost::asio::io_context& io, net::deadline_sweeper& sweep,
                         discovery::fleet_state& state, store_read_schedule& schedule,
                         gossip_hooks with)
    : context(io),
      sweeper(sweep),
      fleet(state),
      checks(schedule),
      hooks(std::move(with)),
      copies(state, static_cast<const copy_hooks&>(this->hooks)),
      lateness(discovery::scheduler_now()),
      intake(schedule.owner(), [this](const host_id& other) { return this->reaches(other); }) {}

peer_gossip::~peer_gossip() = default;

std::chrono::milliseconds peer_gossip::probe_pause() const {
  return std::max(least_probe_pause, probe_pause_each * static_cast<int>(this->peers.size()));
}

std::chrono::milliseconds peer_gossip::silence() const {
  return this->probe_pause() * probes_missed + probe_slack;
}

void peer_gossip::add_peer(const host_entry& entry) {
  if (entry.role != host_role::front || entry.name == this->intake.owner()) {
    return;
  }
  const auto known = this->peers.find(entry.name);
  if (known != this->peers.end() && known->second->entry == entry) {
    return;
  }
  if (known != this->peers.end() && known->second->entry.start > entry.start) {
    return;
  }
  auto other = std::make_shared<peer>(entry, this->intake.owner(), discovery::scheduler_now());
  other->link = std::make_unique<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
  this->peers[entry.name] = other;
  this->intake.count_hosts(this->peers.size() + 1);
  this->probe(*other, this->probe_bytes());
}

void peer_gossip::refresh_hosts() {
  const auto& listed = this->fleet.hosts().listed();
  std::erase_if(this->peers, [&](const auto& item) {
    return !listed.contains(item.first) && !this->lives(*item.second);
  });
  for (const auto& [name, entry] : listed) {
    this->add_peer(entry);
  }
  this->intake.count_hosts(this->peers.size() + 1);
}

void peer_gossip::tick() {
  const timestamp now = discovery::scheduler_now();
  this->lateness.pass(now);
  this->ask_due();
  if (now < this->next_look) {
    return;
  }
  this->next_look = now + look_pause;
  this->encoder.expire();
  this->note_silent();
  this->probe_due_ones();
}

void peer_gossip::probe_due_ones() {
  const timestamp now = discovery::scheduler_now();
  std::set<host_key> doubted;
  for (const auto& [name, other] : this->peers) {
    if (this->turn_due(*other)) {
      this->probe(*other, this->probe_bytes());
    } else if (other->watch.doubted(now)) {
      doubted.insert(other->key);
    }
  }
  const std::vector<host_key> chosen = this->limits.to_probe(doubted);
  const std::set<host_key> asked(chosen.begin(), chosen.end());
  for (const auto& [name, other] : this->peers) {
    if (asked.contains(other->key)) {
      this->probe(*other, this->probe_bytes());
    }
  }
}

bool peer_gossip::turn_due(const peer& other) const {
  const bool goes_first = this->intake.owner() < other.entry.name;
  return other.watch.turn_due(goes_first, this->pace(), discovery::scheduler_now());
}

detector_timing peer_gossip::pace() const { return {this->probe_pause(), this->silence()}; }

bool peer_gossip::lives(const peer& other) const {
  return other.watch.lives(this->pace(), discovery::scheduler_now());
}

bool peer_gossip::reaches(const host_id& other) const {
  const auto known = this->peers.find(other);
  return known != this->peers.end() && steady::now() - known->second->answered_at < this->silence();
}

void peer_gossip::broadcast_state() {
  this->encoder.expire();
  const std::string payload = this->probe_bytes();
  for (const auto& [name, other] : this->peers) {
    this->probe(*other, payload);
  }
}

void peer_gossip::note_silent() {
  for (const auto& [name, other] : this->peers) {
    if (other->reachable && !this->lives(*other)) {
      other->reachable = false;
      this->intake.forget(name);
      log(event::host_silent, {{"peer", name.get()}});
    }
  }
}

void peer_gossip::probe(peer& other, const std::string& payload) {
  const auto known = this->peers.find(other.entry.name)->second;
  const timestamp sent = discovery::scheduler_now();
  const duration late = this->lateness.total(sent);
  other.watch.probe_sent(sent, late);
  this->call(
      other, gossip_method::digest, payload, probe_limit,
      [this, sent, late, weak = std::weak_ptr(known)](net::rpc_failure why, std::string answer) {
        const auto told = weak.lock();
        const auto message = probe_message_from(answer);
        if (!told) {
          return;
        }
        if (why != net::rpc_failure::none || !message) {
          const duration late_now = this->lateness.total(discovery::scheduler_now());
          told->watch.probe_failed(sent, late_now - late);
          return;
        }
        told->answered_at = steady::now();
        told->watch.probe_answered(sent);
        this->hear(*told, *message);
      });
}

void peer_gossip::call(peer& other, gossip_method method, std::string payload, duration limit,
                       net::rpc_done done) {
  auto counted = this->hooks.traffic.call(kind_of(method), payload.size(), std::move(done));
  other.link->call(static_cast<std::uint16_t>(method), std::move(payload), limit,
                   std::move(counted));
}

const std::string& peer_gossip::probe_bytes() {
  const timestamp now = discovery::scheduler_now();
  if (this->encoder.is_stale()) {
    this->encoder.renew({this->hooks.self(), this->limits.to_name(this->suspected())}, now);
  }
  return this->encoder.encoded(now);
}

std::set<host_key> peer_gossip::suspected() const {
  std::set<host_key> keys;
  const timestamp now = discovery::scheduler_now();
  const duration late = this->lateness.total(now);
  for (const auto& [name, other] : this->peers) {
    if (other->watch.suspected(now, late)) {
      keys.insert(other->key);
    }
  }
  return keys;
}

void peer_gossip::hear_suspicions(const host_id& from, const std::vector<host_key>& suspected) {
  if (suspected.empty()) {
    return;
  }
  const timestamp now = discovery::scheduler_now();
  const std::set<host_key> keys(suspected.begin(), suspected.end());
  for (const auto& [name, other] : this->peers) {
    if (!keys.contains(other->key)) {
      continue;
    }
    other->watch.told_by(from, now);
    if (other->watch.doubted(now) && this->limits.admit_probe()) {
      this->probe(*other, this->probe_bytes());
    }
  }
}

void peer_gossip::hear(peer& other, const probe_message& message) {
  const gossip_digest& digest = message.digest;
  other.heard = digest;
  other.watch.heard(discovery::scheduler_now());
  this->hear_suspicions(other.entry.name, message.suspected);
  if (!other.reachable) {
    other.reachable = true;
    log(event::host_reachable, {{"peer", other.entry.name.get()}});
  }
  if (!digest.store_read_by.get().empty()) {
    this->checks.record_read(digest.store_read_by,
                             discovery::scheduler_now() - digest.store_read_age);
  }
  this->note_progress();
  const newer_kinds news = find_newer_kinds(digest, this->last_known);
  const bool from_reader = digest.store_read_age < just_read;
  for (const copy_kind kind : all_copy_kinds) {
    this->intake.heard(kind, other.entry.name, news.of(kind), from_reader,
                       discovery::scheduler_now());
  }
  this->ask_due();
}

void peer_gossip::note_progress() {
  const known_versions own = this->known();
  if (own == this->last_known) {
    return;
  }
  const known_versions before = std::exchange(this->last_known, own);
  this->encoder.expire();
  const auto renew = [this](copy_kind kind, bool changed) {
    if (changed) {
      this->outlet.renew(kind);
      this->copies.renew(kind);
      this->hear_again(kind);
    }
  };
  renew(copy_kind::configuration, own.configuration != before.configuration);
  renew(copy_kind::backends, own.backends_changed_at != before.backends_changed_at);
  renew(copy_kind::hosts, own.hosts_revision != before.hosts_revision);
  renew(copy_kind::ledger, own.ledger != before.ledger);
}

void peer_gossip::hear_again(copy_kind kind) {
  this->intake.renew(kind);
  for (const auto& [name, other] : this->peers) {
    const bool ahead =
        this->lives(*other) && find_newer_kinds(other->heard, this->last_known).of(kind);
    this->intake.heard(kind, name, ahead, false, discovery::scheduler_now());
  }
}

void peer_gossip::ask_due() {
  this->note_progress();
  const known_versions& own = this->last_known;
  const bool urgent = !own.configuration || !this->fleet.backends().heard() || !own.ledger;
  for (const copy_kind kind : all_copy_kinds) {
    const auto from = this->intake.next(kind, urgent, discovery::scheduler_now());
    if (!from) {
      continue;
    }
    const auto known = this->peers.find(*from);
    if (known == this->peers.end()) {
      this->intake.failed(kind, discovery::scheduler_now());
      this->intake.forget(*from);
      continue;
    }
    this->ask(known->second, kind);
  }
}

known_versions peer_gossip::known() const {
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

void peer_gossip::relay(const relayed_request& question, duration limit, net::rpc_done done) {
  std::vector<relay_candidate> candidates;
  for (const auto& [name, other] : this->peers) {
    if (this->lives(*other)) {
      candidates.push_back({name, other->entry.zone, other->heard.disks_reached});
    }
  }
  const availability_zone zone = this->hooks.self().self.zone;
  const auto chosen = choose_relay(candidates, this->intake.owner(), zone);
  if (!chosen) {
    done(net::rpc_failure::unreachable, {});
    return;
  }
  this->call(*this->peers.at(*chosen), gossip_method::relay, to_bytes(question), limit,
             std::move(done));
}

std::size_t peer_gossip::rank() const {
  // Called at each pass of the event loop: a digest made for its name alone takes longer.
  const host_id& own = this->intake.owner();
  std::size_t before = 0;
  for (const auto& [name, other] : this->peers) {
    before += name < own && this->lives(*other) ? 1 : 0;
  }
  return before;
}

void peer_gossip::ask(const std::shared_ptr<peer>& other, copy_kind kind) {
  ++this->counts.asked;
  const copy_request request{kind, this->intake.owner()};
  this->call(*other, gossip_method::copy, to_bytes(request), copy_limit,
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
                 this->intake.failed(kind, discovery::scheduler_now());
                 return;
               }
               this->take_answer(from, kind, std::move(bytes));
             });
}

void peer_gossip::take_answer(const host_id& from, copy_kind kind, std::string bytes) {
  const auto answer = copy_answer_from(std::move(bytes));
  if (answer && !answer->copy) {
    ++this->counts.put_off;
    this->intake.busy(kind, answer->holders, discovery::scheduler_now());
    return;
  }
  if (!answer || !this->copies.take(from, kind, *answer->copy)) {
    ++this->counts.failed;
    this->intake.failed(kind, discovery::scheduler_now());
    return;
  }
  ++this->counts.taken;
  this->counts.bytes_taken += answer->copy->size();
  this->intake.taken(kind);
  this->hear_again(kind);
  this->send(from, gossip_method::copy_taken, to_bytes(copy_request{kind, this->intake.owner()}),
             [](net::rpc_failure, const std::string&) {});
  this->ask_due();
}

std::optional<std::string> peer_gossip::serve(gossip_method method, const std::string& payload) {
  switch (method) {
    case gossip_method::digest: {
      const auto message = probe_message_from(payload);
      if (!message) {
        return std::nullopt;
      }
      // A host may be heard before the store's news of it come.
      this->add_peer(message->digest.self);
      const auto known = this->peers.find(message->digest.self.name);
      if (known != this->peers.end()) {
        known->second->watch.was_probed(discovery::scheduler_now());
        this->hear(*known->second, *message);
      }
      return this->probe_bytes();
    }
    case gossip_method::copy: {
      const auto request = copy_request_from(payload);
      return request ? this->give_copy(*request) : std::nullopt;
    }
    case gossip_method::copy_taken: {
      const auto request = copy_request_from(payload);
      if (!request) {
        return std::nullopt;
      }
      this->outlet.taken(request->kind, request->asker);
      return "";
    }
    case gossip_method::relay:
    case gossip_method::placements:
    case gossip_method::claim:
    case gossip_method::withdraw:
    case gossip_method::grant:
      // Served by the ledger, which answers later, by the placement directory, and by the
      // exchange of places.
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<std::string> peer_gossip::give_copy(const copy_request& request) {
  this->note_progress();
  const auto& copy = this->copies.ready(request.kind);
  if (!copy) {
    return std::nullopt;
  }
  const timestamp now = discovery::scheduler_now();
  if (!this->hooks.may_give_copy() ||
      !this->outlet.begin(request.kind, request.asker, copy->size(), now)) {
    return to_answer_bytes({std::nullopt, this->outlet.holders(request.kind)});
  }
  ++this->counts.given;
  this->counts.bytes_given += copy->size();
  return to_answer_bytes({copy, {}});
}

std::vector<host_entry> peer_gossip::ready_hosts() const {
  std::vector<host_entry> ready;
  for (const auto& [name, other] : this->peers) {
    if (other->heard.ready && !other->heard.leaving && this->lives(*other)) {
      ready.push_back(other->entry);
    }
  }
  return ready;
}

std::vector<host_id> peer_gossip::live_hosts() const {
  std::vector<host_id> hosts;
  for (const auto& [name, other] : this->peers) {
    if (this->lives(*other) && !other->heard.leaving) {
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
  this->call(*found->second, method, payload, probe_limit, std::move(done));
}

std::vector<service_demand> peer_gossip::demand_of_others() const {
  std::vector<service_demand> all;
  for (const auto& [name, other] : this->peers) {
    if (this->lives(*other)) {
      all.insert(all.end(), other->heard.demand.begin(), other->heard.demand.end());
    }
  }
  return all;
}

}  // namespace hawthornlane::front
