// Front hosts tell each other that they live and what they know.
#include "hawthornlane/front/peer_gossip.h"

#include <algorithm>

#include "hawthornlane/front/relay_choice.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace {

using steady = std::chrono::steady_clock;

/// Between two probes of each other host, at least, and for each other host: what
/// probes cost a host grows with their number, so many hosts probe more slowly.
constexpr std::chrono::milliseconds least_probe_pause{400};
constexpr std::chrono::milliseconds probe_pause_each{16};
/// A host that has missed so many probes is left out of address answers.
constexpr int probes_missed = 3;
constexpr std::chrono::milliseconds probe_slack{100};
constexpr duration probe_limit = std::chrono::milliseconds(600);
/// Another host that knows more is asked for it only when it still knows more after
/// this long: mostly the store's own news are just on their way.
constexpr auto pull_after = std::chrono::milliseconds(120);
/// A host that has read the store this lately tells news that nobody else may have.
constexpr duration just_read = std::chrono::milliseconds(50);
constexpr duration pull_limit = std::chrono::milliseconds(1000);

/// Nothing when the bytes are none, or the other host knows nothing itself.
template <class Entry>
std::optional<registry_snapshot<Entry>> snapshot_from(const std::string& bytes) {
  auto snapshot = from_bytes<registry_snapshot<Entry>>(bytes);
  return snapshot && snapshot->at.get() != 0 ? std::move(snapshot) : std::nullopt;
}

}  // namespace

/// Another front host.
struct peer_gossip::peer {
  host_entry entry;
  std::unique_ptr<net::rpc_client> link;
  gossip_digest heard;
  net::steady_time heard_at{};
  bool reachable = true;
  /// Of this host, not answered yet.
  int open_pulls = 0;
  net::steady_time ahead_since = net::never;
};

peer_gossip::peer_gossip(boost::asio::io_context& io, net::deadline_sweeper& sweep,
                         discovery::fleet_state& state, check_schedule& schedule, gossip_hooks with)
    : context(io), sweeper(sweep), fleet(state), checks(schedule), hooks(std::move(with)) {}

peer_gossip::~peer_gossip() = default;

std::chrono::milliseconds peer_gossip::probe_pause() const {
  return std::max(least_probe_pause, probe_pause_each * static_cast<int>(this->peers.size()));
}

std::chrono::milliseconds peer_gossip::silence() const {
  return this->probe_pause() * probes_missed + probe_slack;
}

void peer_gossip::add_peer(const host_entry& entry) {
  if (entry.role != host_role::front || entry.name == this->hooks.self().self.name) {
    return;
  }
  const auto known = this->peers.find(entry.name);
  if (known != this->peers.end() && known->second->entry == entry) {
    return;
  }
  if (known != this->peers.end() && known->second->entry.start > entry.start) {
    return;
  }
  auto other = std::make_shared<peer>();
  other->entry = entry;
  other->link = std::make_unique<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
  other->heard_at = steady::now();
  this->peers[entry.name] = other;
  this->probe(*other);
}

void peer_gossip::refresh_hosts() {
  const auto& listed = this->fleet.hosts().listed();
  const net::steady_time now = steady::now();
  std::erase_if(this->peers, [&](const auto& item) {
    return !listed.contains(item.first) && now - item.second->heard_at > this->silence();
  });
  for (const auto& [name, entry] : listed) {
    this->add_peer(entry);
  }
}

void peer_gossip::tick() {
  const net::steady_time now = steady::now();
  if (now < this->next_probe) {
    return;
  }
  this->next_probe = now + this->probe_pause();
  this->tell_all();
}

void peer_gossip::tell_all() {
  const net::steady_time now = steady::now();
  for (const auto& [name, other] : this->peers) {
    if (other->reachable && now - other->heard_at > this->silence()) {
      other->reachable = false;
      log(event::host_silent, {{"peer", name.get()}});
    }
    this->probe(*other);
  }
}

void peer_gossip::probe(peer& other) {
  const auto payload = to_bytes(this->hooks.self());
  const auto known = this->peers.find(other.entry.name)->second;
  other.link->call(static_cast<std::uint16_t>(gossip_method::digest), payload, probe_limit,
                   [this, weak = std::weak_ptr(known)](net::rpc_failure why, std::string answer) {
                     const auto told = weak.lock();
                     const auto digest = from_bytes<gossip_digest>(answer);
                     if (told && why == net::rpc_failure::none && digest) {
                       this->hear(*told, *digest);
                     }
                   });
}

void peer_gossip::hear(peer& other, const gossip_digest& digest) {
  const net::steady_time now = steady::now();
  other.heard = digest;
  other.heard_at = now;
  if (!other.reachable) {
    other.reachable = true;
    log(event::host_reachable, {{"peer", other.entry.name.get()}});
  }
  if (!digest.checked_by.get().empty()) {
    this->checks.checked(digest.checked_by, discovery::scheduler_now() - digest.checked_ago);
  }
  const known_state own = this->known();
  const gossip_news news = news_in(digest, own);
  if (!news.any()) {
    other.ahead_since = net::never;
    return;
  }
  if (other.ahead_since == net::never) {
    other.ahead_since = now;
  }
  const bool lost = !own.configuration || !this->fleet.backends().heard() || !own.ledger;
  const bool from_reader = digest.checked_ago < just_read;
  if (other.open_pulls == 0 && (lost || from_reader || now - other.ahead_since >= pull_after)) {
    this->pull(other, news);
  }
}

known_state peer_gossip::known() const {
  known_state own;
  if (const auto& table = this->fleet.table()) {
    own.configuration = table->version();
  }
  own.backends_changed_at = this->fleet.backends().at();
  own.hosts_at = this->fleet.hosts().at();
  if (const auto set = this->hooks.ledger()) {
    own.ledger = set->epoch;
  }
  return own;
}

void peer_gossip::relay(const relayed_question& question, duration limit, net::rpc_done done) {
  const net::steady_time now = steady::now();
  std::vector<relay_candidate> candidates;
  for (const auto& [name, other] : this->peers) {
    if (now - other->heard_at < this->silence()) {
      candidates.push_back({name, other->entry.zone, other->heard.disks_reached});
    }
  }
  const host_entry self = this->hooks.self().self;
  const auto chosen = choose_relay(candidates, self.name, self.zone);
  if (!chosen) {
    done(net::rpc_failure::unreachable, {});
    return;
  }
  this->peers.at(*chosen)->link->call(static_cast<std::uint16_t>(gossip_method::relay),
                                      to_bytes(question), limit, std::move(done));
}

std::size_t peer_gossip::rank() const {
  const net::steady_time now = steady::now();
  const host_id own = this->hooks.self().self.name;
  std::size_t before = 0;
  for (const auto& [name, other] : this->peers) {
    before += name < own && now - other->heard_at < this->silence() ? 1 : 0;
  }
  return before;
}

void peer_gossip::ask(peer& other, gossip_method method,
                      std::function<void(const host_id& from, const std::string& bytes)> take) {
  ++other.open_pulls;
  ++this->counts.asked;
  const auto weak = std::weak_ptr(this->peers.find(other.entry.name)->second);
  other.link->call(
      static_cast<std::uint16_t>(method), "", pull_limit,
      [this, weak, take = std::move(take)](net::rpc_failure why, const std::string& bytes) {
        const auto told = weak.lock();
        if (!told) {
          return;
        }
        --told->open_pulls;
        if (why != net::rpc_failure::none) {
          ++this->counts.failed;
          return;
        }
        ++this->counts.taken;
        this->counts.bytes_taken += bytes.size();
        take(told->entry.name, bytes);
      });
}

void peer_gossip::pull(peer& other, const gossip_news& news) {
  if (news.configuration) {
    this->ask(other, gossip_method::configuration,
              [this](const host_id& from, const std::string& text) {
                if (const auto config = this->hooks.decode_configuration(text)) {
                  this->fleet.offer_configuration(*config, text, from.get());
                }
              });
  }
  if (news.ledger) {
    this->ask(other, gossip_method::ledger, [this](const host_id& from, const std::string& bytes) {
      if (const auto set = from_bytes<ledger_set>(bytes)) {
        this->hooks.take_ledger(*set, from);
      }
    });
  }
  if (news.backends) {
    this->ask(other, gossip_method::backends,
              [this](const host_id& from, const std::string& bytes) {
                if (const auto told = snapshot_from<backend_entry>(bytes)) {
                  this->fleet.list_backends(told->at, told->entries, from.get());
                }
              });
  }
  if (news.hosts) {
    this->ask(other, gossip_method::hosts, [this](const host_id&, const std::string& bytes) {
      if (const auto told = snapshot_from<host_entry>(bytes)) {
        this->fleet.list_hosts(told->at, told->entries);
      }
    });
  }
}

namespace {

template <class Registry>
std::string snapshot_bytes(const Registry& from) {
  using entry_type = typename std::decay_t<decltype(from.listed())>::mapped_type;
  registry_snapshot<entry_type> snapshot;
  snapshot.at = from.at();
  for (const auto& [key, entry] : from.listed()) {
    snapshot.entries.push_back(entry);
  }
  return to_bytes(snapshot);
}

}  // namespace

std::optional<std::string> peer_gossip::serve(gossip_method method, const std::string& payload) {
  switch (method) {
    case gossip_method::digest: {
      const auto digest = from_bytes<gossip_digest>(payload);
      if (!digest) {
        return std::nullopt;
      }
      // A host may be heard before the store's news of it come.
      this->add_peer(digest->self);
      const auto known = this->peers.find(digest->self.name);
      if (known != this->peers.end()) {
        this->hear(*known->second, *digest);
      }
      return to_bytes(this->hooks.self());
    }
    case gossip_method::configuration:
    case gossip_method::backends:
    case gossip_method::hosts:
    case gossip_method::ledger: {
      auto copy = this->copy_of(method);
      ++this->counts.given;
      this->counts.bytes_given += copy ? copy->size() : 0;
      return copy;
    }
    case gossip_method::relay:
    case gossip_method::placements:
      // Served by the ledger, which answers later, and by the placement directory.
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<std::string> peer_gossip::copy_of(gossip_method kind) const {
  switch (kind) {
    case gossip_method::configuration:
      return this->fleet.configuration_text();
    case gossip_method::backends:
      return snapshot_bytes(this->fleet.backends());
    case gossip_method::hosts:
      return snapshot_bytes(this->fleet.hosts());
    case gossip_method::ledger: {
      const auto set = this->hooks.ledger();
      return set ? std::optional(to_bytes(*set)) : std::nullopt;
    }
    default:
      return std::nullopt;
  }
}

std::vector<host_entry> peer_gossip::ready_hosts() const {
  const net::steady_time now = steady::now();
  std::vector<host_entry> ready;
  for (const auto& [name, other] : this->peers) {
    if (other->heard.ready && !other->heard.leaving && now - other->heard_at < this->silence()) {
      ready.push_back(other->entry);
    }
  }
  return ready;
}

std::vector<host_id> peer_gossip::live_hosts() const {
  const net::steady_time now = steady::now();
  std::vector<host_id> hosts;
  for (const auto& [name, other] : this->peers) {
    if (now - other->heard_at < this->silence() && !other->heard.leaving) {
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
  found->second->link->call(static_cast<std::uint16_t>(method), payload, probe_limit,
                            std::move(done));
}

std::vector<service_demand> peer_gossip::demand_of_others() const {
  const net::steady_time now = steady::now();
  std::vector<service_demand> all;
  for (const auto& [name, other] : this->peers) {
    if (now - other->heard_at < this->silence()) {
      all.insert(all.end(), other->heard.demand.begin(), other->heard.demand.end());
    }
  }
  return all;
}

}  // namespace hawthornlane::front
