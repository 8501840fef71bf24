// Reads the store on behalf of all front hosts, taking turns with them.
#include "store_reader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "configuration_copy.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::object_page;
using steady = std::chrono::steady_clock;

namespace {

/// Interval of reads of the host registry. Hosts change rarely, and changes are also noticed from
/// refused requests.
constexpr auto host_check_interval = std::chrono::seconds(3);
/// Interval of reads by a host that lacks the addresses of others.
constexpr auto host_read_interval = std::chrono::milliseconds(300);
/// A check of the store does not wait longer for the configuration.
constexpr auto prompt_response_time = std::chrono::milliseconds(1500);
/// A read of the configuration that has no response after this time is given up.
constexpr duration configuration_timeout = std::chrono::seconds(6);
/// Reads of the configuration in flight: one starts with each check until the first is given up.
/// Each response has up to 1 MB.
constexpr std::size_t max_configuration_reads =
    configuration_timeout / store_read_schedule::read_interval + 1;
/// If no host has read the store for this long, each host reads for itself. A failed reader is
/// replaced by another host long before.
constexpr duration reader_timeout = std::chrono::seconds(2);

}  // namespace

struct store_reader::configuration_read {
  explicit configuration_read(asio::io_context& context) : ended(context) {}
  net::async_signal ended;
  std::optional<platform_adapter::store_outcome> outcome;
  failure reason;
  /// The check that started it does not wait any longer.
  bool is_late = false;
};

store_reader::store_reader(store_reader_parts given_parts) : parts(std::move(given_parts)) {
  this->parts.read_schedule.on_outage_changed([this](const store_read_schedule::outage& outage) {
    if (outage.removals_final_at == store_read_schedule::unknown) {
      log(event::platform_outage_ended,
          {{"away_ms", milliseconds_text(outage.back_at - outage.last_read)},
           {"read_by", this->parts.read_schedule.last_reader().get()}});
    }
    this->parts.fleet.defer_removals_until(outage.removals_final_at);
  });
}

void store_reader::tick(net::steady_time now, const std::shared_ptr<const void>& owner) {
  const store_read_schedule& schedule = this->parts.read_schedule;
  if (!this->store_reachable && schedule.heard() && schedule.last_read() > this->store_lost_at) {
    this->record_store_state(true, "read by " + schedule.last_reader().get());
  }
  const bool hosts_wanted = !this->parts.fleet.hosts().heard() ||
                            (this->parts.ledger.lacks_address() && this->reads_for_all());
  if (hosts_wanted && !this->reading_hosts && now >= this->next_host_read) {
    asio::co_spawn(this->parts.context, this->read_hosts(owner), asio::detached);
  }
  if (!this->checking &&
      this->parts.read_schedule.due(discovery::scheduler_now(), this->parts.gossip.rank())) {
    asio::co_spawn(this->parts.context, this->check_store(owner), asio::detached);
  }
}

void store_reader::record_store_state(bool reachable, const std::string& detail) {
  if (reachable == this->store_reachable) {
    return;
  }
  this->store_reachable = reachable;
  const timestamp now = discovery::scheduler_now();
  if (!reachable) {
    this->store_lost_at = now;
    log(event::platform_unreachable, {{"detail", detail}});
    return;
  }
  log(event::platform_reachable,
      {{"away_ms", milliseconds_text(now - this->store_lost_at)}, {"detail", detail}});
}

bool store_reader::apply_configuration(const object_page& page) {
  const store_revision newest = discovery::configuration_revision_of(page);
  // Decoding 1 MB takes about 0.1 s on an eighth of a core, and it is read every 0.85 s.
  if (newest <= this->configuration_at && page.faults.empty()) {
    return false;
  }
  this->configuration_at = std::max(newest, this->configuration_at);
  bool is_newer = false;
  for (const auto& candidate : discovery::configurations_of(page, this->parts.faults)) {
    if (this->parts.fleet.is_newer(candidate.config)) {
      is_newer |= this->parts.fleet.offer_configuration(
          candidate.config, pack_configuration(candidate.text), "store");
    }
  }
  return is_newer;
}

bool store_reader::reads_for_all() const {
  return !this->parts.read_schedule.heard() ||
         this->parts.read_schedule.last_reader() == this->parts.self ||
         this->parts.read_schedule.age(discovery::scheduler_now()) > reader_timeout;
}

asio::awaitable<void> store_reader::read_configuration(
    std::shared_ptr<configuration_read> read, [[maybe_unused]] std::shared_ptr<const void> owner) {
  ++this->configuration_reads;
  object_page page;
  const auto outcome = co_await this->parts.store.list(object_kind::configuration, page,
                                                       read->reason, configuration_timeout);
  --this->configuration_reads;
  const bool is_newer =
      outcome == platform_adapter::store_outcome::done && this->apply_configuration(page);
  if (is_newer && read->is_late) {
    this->parts.gossip.broadcast_state();
  }
  read->outcome = outcome;
  read->ended.wake();
}

asio::awaitable<bool> store_reader::check_configuration(std::shared_ptr<const void> owner) {
  const bool is_slow = this->configuration_reads > 0;
  if (this->configuration_reads >= max_configuration_reads) {
    co_return true;
  }
  const auto read = std::make_shared<configuration_read>(this->parts.context);
  asio::co_spawn(this->parts.context, this->read_configuration(read, owner), asio::detached);
  if (!is_slow) {
    co_await read->ended.wait_until(steady::now() + prompt_response_time);
  }
  if (!read->outcome) {
    read->is_late = true;
    this->record_store_state(false, "the configuration is late");
    this->parts.read_schedule.record_failure(discovery::scheduler_now());
    co_return true;
  }
  const bool good = *read->outcome == platform_adapter::store_outcome::done;
  this->record_store_state(good, read->reason.detail);
  co_return good;
}

/// What one check took, for its log line.
struct store_reader::check_log {
  timestamp began = discovery::scheduler_now();
  timestamp step_began = began;
  duration since_last{};
  duration restated_by{};
  duration lag_before{};
  duration configuration{};
  duration servers{};
  duration hosts{};

  void end_step(duration& step) {
    const timestamp now = discovery::scheduler_now();
    step = now - std::exchange(this->step_began, now);
  }
  void write(bool good, store_revision revision, duration lag) const {
    log(event::store_checked, {{"good", good ? "yes" : "no"},
                               {"revision", std::to_string(revision.get())},
                               {"since_last_ms", milliseconds_text(this->since_last)},
                               {"restated_ms", milliseconds_text(this->restated_by)},
                               {"configuration_ms", milliseconds_text(this->configuration)},
                               {"servers_ms", milliseconds_text(this->servers)},
                               {"hosts_ms", milliseconds_text(this->hosts)},
                               {"lag_ms", milliseconds_text(lag - this->lag_before)}});
  }
};

asio::awaitable<void> store_reader::check_store(std::shared_ptr<const void> owner) {
  this->checking = true;
  check_log times;
  const timestamp began = times.began;
  times.since_last = began - std::exchange(this->last_check_began, began);
  times.restated_by = this->parts.read_schedule.take_restated_by();
  times.lag_before = this->parts.gossip.event_loop_lag_total();
  this->parts.read_schedule.began(began);
  failure reason;
  object_page page;
  const auto record_outcome = [this, &reason](platform_adapter::store_outcome outcome) {
    const bool good = outcome == platform_adapter::store_outcome::done;
    this->record_store_state(good, reason.detail);
    return good;
  };
  bool good = co_await this->check_configuration(owner);
  times.end_step(times.configuration);
  if (good) {
    good =
        record_outcome(co_await this->parts.store.list(object_kind::backend_servers, page, reason));
    times.end_step(times.servers);
  }
  if (good) {
    this->parts.read_schedule.record_own_read(began);
    this->parts.fleet.list_backends(
        page.at, discovery::backend_entries_of(page, this->parts.faults), "store");
    const bool hosts_due =
        !this->parts.fleet.hosts().heard() || steady::now() >= this->next_host_check;
    this->parts.gossip.broadcast_state();
    if (hosts_due &&
        record_outcome(co_await this->parts.store.list(object_kind::hosts, page, reason))) {
      this->next_host_check = steady::now() + host_check_interval;
      this->parts.ledger.adopt_ledger_set(page);
      this->parts.fleet.list_hosts(page.at, discovery::host_entries_of(page, this->parts.faults));
    }
    times.end_step(times.hosts);
  }
  times.write(good, this->parts.fleet.backends().at(), this->parts.gossip.event_loop_lag_total());
  if (!good) {
    this->parts.read_schedule.record_failure(discovery::scheduler_now());
  }
  this->checking = false;
}

asio::awaitable<void> store_reader::read_hosts(std::shared_ptr<const void> owner) {
  this->reading_hosts = true;
  this->next_host_read = steady::now() + host_read_interval;
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
    // The store is back and this host has no configuration. Its callers wait for the next read,
    // which would otherwise come about 0.35 s later.
    if (!this->parts.fleet.table() && !this->store_reachable && !this->checking) {
      asio::co_spawn(this->parts.context, this->check_store(owner), asio::detached);
    }
  }
  this->reading_hosts = false;
}

}  // namespace hawthornlane::front
