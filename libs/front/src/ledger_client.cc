// The turn ledger's client: the set of disks, and direct and relayed requests to them.
#include "hawthornlane/front/ledger_client.h"

#include <algorithm>

#include "hawthornlane/telemetry/log.h"
#include "ledger_rounds.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Time for a direct answer; after it the request is relayed through another front host, which may
/// still reach the disk host. A healthy disk host answers within some ten milliseconds of
/// receiving the request, also under load.
constexpr duration direct_timeout = std::chrono::milliseconds(200);
/// Interval between probes of a disk host that is not reached.
constexpr auto disk_probe_interval = std::chrono::milliseconds(300);

/// True if the other host gave no answer at all; a refusal is an answer.
bool is_no_answer(net::rpc_failure why) {
  return why == net::rpc_failure::unknown || why == net::rpc_failure::unreachable;
}

}  // namespace

ledger_client::ledger_client(asio::io_context& io, net::deadline_sweeper& sweep,
                             const discovery::fleet_state& state, availability_zone own_zone,
                             std::size_t cache_bytes)
    : context(io), sweeper(sweep), fleet(state), zone(std::move(own_zone)), cache(cache_bytes) {}

ledger_client::~ledger_client() = default;

void ledger_client::adopt_ledger_set(const platform_adapter::object_page& page) {
  for (const auto& item : page.items) {
    if (item.removed || !platform_adapter::is_ledger_object(item.object)) {
      continue;
    }
    // A malformed object is reported where the hosts' entries of the same page are read.
    failure ignored;
    if (const auto newer = platform_adapter::ledger_set_from(item.object, ignored)) {
      this->adopt_ledger_set(*newer, "store");
    }
  }
}

void ledger_client::adopt_ledger_set(const ledger_set& newer, const std::string& source) {
  if (this->set && newer.epoch <= this->set->epoch) {
    return;
  }
  this->set = newer;
  log(event::ledger_set_changed, {{"epoch", std::to_string(newer.epoch.get())},
                                  {"members", std::to_string(newer.members.size())},
                                  {"joint", newer.joint() ? "yes" : "no"},
                                  {"source", source}});
  this->drop_links();
}

void ledger_client::refresh_hosts() {
  for (const auto& [name, entry] : this->fleet.hosts().listed()) {
    if (entry.role != host_role::disk || entry.disk.empty()) {
      continue;
    }
    disk_link& known = this->links[disk_id(entry.disk)];
    if (known.link && known.host == entry) {
      continue;
    }
    known.host = entry;
    known.link = std::make_unique<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
    known.answered = false;
  }
  this->drop_links();
}

void ledger_client::drop_links() {
  std::set<disk_id> needed;
  for (const auto& [name, entry] : this->fleet.hosts().listed()) {
    needed.insert(disk_id(entry.disk));
  }
  if (this->set) {
    // A member may be missing from the list because of a fault at the store; turns still need it.
    const std::vector<disk_id> members = this->set->all();
    needed.insert(members.begin(), members.end());
  }
  std::erase_if(this->links, [&](const auto& item) { return !needed.contains(item.first); });
}

disk_miss ledger_client::miss_of(const disk_id& disk, net::rpc_failure why) const {
  const auto found = this->links.find(disk);
  if (found == this->links.end()) {
    return disk_miss::no_address;
  }
  return is_no_answer(why) || found->second.suspected ? disk_miss::no_answer : disk_miss::refused;
}

void ledger_client::note_outcome(const disk_id& disk, net::rpc_failure why) {
  const auto found = this->links.find(disk);
  if (found == this->links.end()) {
    return;
  }
  disk_link& known = found->second;
  if (!is_no_answer(why)) {
    known.answered = true;
  } else if (!known.suspected) {
    known.suspected = true;
    log(event::host_silent, {{"peer", known.host.name.get()}, {"detail", "disk host"}});
  }
}

duration ledger_client::time_to_send(std::size_t bytes) const {
  const auto before_it = static_cast<std::int64_t>(this->bytes_in_flight + bytes);
  return duration(std::chrono::seconds(1)) * before_it / assumed_link_rate;
}

net::rpc_done ledger_client::count_in_flight(std::size_t bytes, net::rpc_done done) {
  this->bytes_in_flight += bytes;
  return [this, bytes, done = std::move(done)](net::rpc_failure why, std::string answer) {
    this->bytes_in_flight -= bytes;
    done(why, std::move(answer));
  };
}

void ledger_client::ask_by_relay(const disk_id& disk, const disk_request& what, duration limit,
                                 net::rpc_done done) {
  const relayed_request relayed{disk, static_cast<std::uint16_t>(what.method), *what.payload};
  this->relay(relayed, limit, this->count_in_flight(what.payload->size(), std::move(done)));
}

void ledger_client::ask(const disk_id& disk, const disk_request& what, net::rpc_done done) {
  const auto found = this->links.find(disk);
  if (found == this->links.end() || found->second.suspected) {
    this->ask_by_relay(disk, what, what.limit + what.transfer_time(), std::move(done));
    return;
  }
  const duration direct_limit = std::min(what.limit, direct_timeout);
  const duration remaining = what.limit - direct_limit;
  auto retry = [this, disk, what, remaining, done = std::move(done)](net::rpc_failure why,
                                                                     std::string answer) {
    this->note_outcome(disk, why);
    if (!is_no_answer(why)) {
      done(why, std::move(answer));
      return;
    }
    if (remaining <= duration::zero()) {
      done(why, {});
      return;
    }
    this->ask_by_relay(disk, what, remaining + what.transfer_time(), done);
    if (what.on_no_answer) {
      what.on_no_answer();
    }
  };
  const std::size_t bytes = what.payload->size();
  found->second.link->call(
      static_cast<std::uint16_t>(what.method), *what.payload, direct_limit + what.transfer_time(),
      this->traffic.count_sent_request(traffic_kind::disks, bytes,
                                       this->count_in_flight(bytes, std::move(retry))));
}

void ledger_client::serve_relayed(const std::string& payload, const net::rpc_reply& reply) {
  auto disk_request = from_bytes<relayed_request>(payload);
  const auto found = disk_request ? this->links.find(disk_request->disk) : this->links.end();
  // A request is relayed only once: refuse it if this host does not reach the disk host either.
  if (found == this->links.end() || found->second.suspected) {
    reply(std::nullopt);
    return;
  }
  const std::size_t bytes = disk_request->payload.size();
  const bool is_chain = static_cast<ledger_method>(disk_request->method) == ledger_method::chain;
  const duration timeout = direct_timeout + this->time_to_send(bytes) +
                           (is_chain ? chain_transfer_time : duration::zero());
  auto done = [this, disk = disk_request->disk, reply](net::rpc_failure why, std::string answer) {
    this->note_outcome(disk, why);
    const bool good = why == net::rpc_failure::none;
    reply(good ? std::optional(std::move(answer)) : std::nullopt);
  };
  found->second.link->call(
      disk_request->method, std::move(disk_request->payload), timeout,
      this->traffic.count_sent_request(traffic_kind::disks, bytes,
                                       this->count_in_flight(bytes, std::move(done))));
}

void ledger_client::tick() {
  const net::steady_time now = steady::now();
  if (now < this->next_probe) {
    return;
  }
  this->next_probe = now + disk_probe_interval;
  const duration timeout = direct_timeout + this->time_to_send(0);
  for (auto& [disk, known] : this->links) {
    if (known.reached()) {
      continue;
    }
    known.link->call(static_cast<std::uint16_t>(ledger_method::probe), "", timeout,
                     [this, disk = disk](net::rpc_failure why, const std::string& bytes) {
                       const auto answer = from_bytes<probe_response>(bytes);
                       const auto found = this->links.find(disk);
                       if (why != net::rpc_failure::none || !answer || answer->disk != disk ||
                           found == this->links.end()) {
                         return;
                       }
                       found->second.answered = true;
                       if (!found->second.suspected) {
                         return;
                       }
                       found->second.suspected = false;
                       log(event::host_reachable,
                           {{"peer", found->second.host.name.get()}, {"detail", "disk host"}});
                     });
  }
}

bool ledger_client::lacks_address() const {
  if (!this->set) {
    return false;
  }
  const std::vector<disk_id> disks = this->set->all();
  return std::any_of(disks.begin(), disks.end(),
                     [this](const disk_id& disk) { return !this->links.contains(disk); });
}

std::uint32_t ledger_client::reached() const {
  if (!this->set) {
    return 0;
  }
  const std::vector<disk_id> disks = this->set->all();
  const auto count = std::count_if(disks.begin(), disks.end(),
                                   [this](const disk_id& disk) { return this->reaches(disk); });
  return static_cast<std::uint32_t>(count);
}

bool ledger_client::reaches(const disk_id& disk) const {
  const auto found = this->links.find(disk);
  return found != this->links.end() && found->second.reached();
}

void ledger_client::ask_disk(const disk_id& disk, ledger_method method, std::string payload,
                             duration limit, net::rpc_done done) {
  disk_request what = make_request(method, std::move(payload), limit);
  what.send_time = this->time_to_send(what.payload->size());
  this->ask(disk, what, std::move(done));
}

bool ledger_client::is_newest_epoch(set_epoch asked) const {
  return this->set && this->set->epoch == asked;
}

void ledger_client::note_stale(const std::optional<ledger_set>& newest) {
  if (newest) {
    this->adopt_ledger_set(*newest, "disk host");
  }
}

ledger_client::disk_request ledger_client::make_request(ledger_method method, std::string payload,
                                                        duration limit) {
  // The encoder may have reserved up to twice the size.
  payload.shrink_to_fit();
  disk_request made;
  made.method = method;
  made.payload = std::make_shared<const std::string>(std::move(payload));
  made.limit = limit;
  return made;
}

}  // namespace hawthornlane::front
