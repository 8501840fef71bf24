// Reads the store for all front hosts, in turns with the others.
#include "store_reader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "configuration_copy.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::object_page;
using steady = std::chrono::steady_clock;

namespace {

/// An outage shorter than this lets no entry lapse.
constexpr duration lapsing_outage = std::chrono::milliseconds(1500);
/// Hosts change seldom, and their changes are learnt from refusals too.
constexpr auto host_check_pause = std::chrono::seconds(3);
/// Between two reads of a host that lacks the others' addresses.
constexpr auto host_read_pause = std::chrono::milliseconds(300);
/// Nobody has read the store for so long: each host reads for itself. Others have taken
/// over from a reader that is gone long before.
constexpr duration reader_lost_after = std::chrono::seconds(2);

}  // namespace

store_reader::store_reader(store_reader_parts with) : parts(std::move(with)) {}

void store_reader::tick(net::steady_time now, const std::shared_ptr<const void>& owner) {
  const bool hosts_wanted = !this->parts.fleet.hosts().heard() ||
                            (this->parts.ledger.lacks_address() && this->reads_for_all());
  if (hosts_wanted && !this->reading_hosts && now >= this->next_host_read) {
    asio::co_spawn(this->parts.context, this->read_hosts(owner), asio::detached);
  }
  if (!this->checking &&
      this->parts.checks.due(discovery::scheduler_now(), this->parts.gossip.rank())) {
    asio::co_spawn(this->parts.context, this->check_store(owner), asio::detached);
  }
}

void store_reader::note_store(bool reachable, const std::string& detail) {
  if (reachable == this->store_reachable) {
    return;
  }
  this->store_reachable = reachable;
  if (!reachable) {
    this->store_lost_at = steady::now();
    log(event::platform_unreachable, {{"detail", detail}});
    return;
  }
  const duration away = std::chrono::duration_cast<duration>(steady::now() - this->store_lost_at);
  log(event::platform_reachable, {{"away_ms", std::to_string(away.count() / 1000)}});
  if (away >= lapsing_outage) {
    this->parts.fleet.on_store_recovered();
  }
}

void store_reader::take_configuration(const object_page& page) {
  store_revision newest;
  for (const auto& item : page.items) {
    newest = std::max(newest, item.object.revision);
  }
  // To decode 1 MB takes an eighth of a core some 0.1 s, and it is read each 0.85 s.
  if (newest <= this->configuration_at && page.faults.empty()) {
    return;
  }
  this->configuration_at = newest;
  for (const auto& told : discovery::configurations_of(page, this->parts.faults)) {
    if (this->parts.fleet.is_newer(told.config)) {
      this->parts.fleet.offer_configuration(told.config, pack_configuration(told.text), "store");
    }
  }
}

bool store_reader::reads_for_all() const {
  return !this->parts.checks.heard() || this->parts.checks.last_reader() == this->parts.self ||
         this->parts.checks.age(discovery::scheduler_now()) > reader_lost_after;
}

asio::awaitable<void> store_reader::check_store(
    [[maybe_unused]] std::shared_ptr<const void> owner) {
  this->checking = true;
  const timestamp began = discovery::scheduler_now();
  this->parts.checks.began(began);
  failure reason;
  object_page page;
  const auto took = [this, &reason](platform_adapter::store_outcome outcome) {
    const bool good = outcome == platform_adapter::store_outcome::done;
    this->note_store(good, reason.detail);
    return good;
  };
  bool good = took(co_await this->parts.store.list(object_kind::configuration, page, reason));
  if (good) {
    this->take_configuration(page);
    good = took(co_await this->parts.store.list(object_kind::backend_servers, page, reason));
  }
  if (good) {
    this->parts.fleet.list_backends(
        page.at, discovery::backend_entries_of(page, this->parts.faults), "store");
    const bool hosts_due =
        !this->parts.fleet.hosts().heard() || steady::now() >= this->next_host_check;
    this->parts.checks.record_read(this->parts.self, began);
    this->parts.gossip.broadcast_state();
    if (hosts_due && took(co_await this->parts.store.list(object_kind::hosts, page, reason))) {
      this->next_host_check = steady::now() + host_check_pause;
      this->parts.ledger.adopt_ledger_set(page);
      this->parts.fleet.list_hosts(page.at, discovery::host_entries_of(page, this->parts.faults));
    }
  }
  this->checking = false;
}

asio::awaitable<void> store_reader::read_hosts(std::shared_ptr<const void> owner) {
  this->reading_hosts = true;
  this->next_host_read = steady::now() + host_read_pause;
  failure reason;
  object_page page;
  const auto outcome = co_await this->parts.store.list(object_kind::hosts, page, reason);
  if (outcome == platform_adapter::store_outcome::done) {
    this->parts.ledger.adopt_ledger_set(page);
    const store_revision before = this->parts.fleet.hosts().at();
    this->parts.fleet.list_hosts(page.at, discovery::host_entries_of(page, this->parts.faults));
    if (this->parts.fleet.table() && this->parts.fleet.hosts().at() > before) {
      this->parts.gossip.broadcast_state();
    }
    // The store is back and this host knows nothing: its callers wait for the next
    // read, which would be due 0.35 s later on the whole.
    if (!this->parts.fleet.table() && !this->store_reachable && !this->checking) {
      asio::co_spawn(this->parts.context, this->check_store(owner), asio::detached);
    }
  }
  this->reading_hosts = false;
}

}  // namespace hawthornlane::front
