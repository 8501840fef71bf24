// Front hosts with links of a real rate take a large configuration from each other.
//
// The story. On a deployment of 60 hosts the configuration grew by 1400 routes, to several
// hundred kilobytes, while backend servers were replaced. Callers of two front hosts whose
// calls had been read got neither an answer nor a refusal: both processes had passed their
// memory limit of 88 MB and were ended 3 s after the store had confirmed the change. In the
// seconds before, hosts of all zones failed their readiness check.
//
// The order of events. One host reads the new configuration from the store and tells all
// others at once. All of them fetch it from that host, whose link of 30 Mbit/s takes 0.2 s a
// copy. Who has it tells its digest, and each host that still waits fetches from that one
// too, until it waits for a copy from every host that is ahead. After 1 s a fetch times out
// and is asked again, while its answer still stands in the queue before the link.
//
// The cause. Nobody bounded how many whole copies are under way: not the receiver, which
// needs one, not the source, which queues all that it is asked for (16 MB a connection).
//
// The evidence. All front hosts together sent 4 MB/s before the change and 90 to 120 MB/s
// after it, for as long as the day lasted; hosts of 30 Mbit/s got up to 33 MB in 11 s for a
// configuration of 1 MB; 20 s after the change calls still ended under the two
// configurations before it. Processes grew from 25 MB to 70 MB, and to 89 MB later that day.
// Below, bytes count as waiting also for connections that were closed meanwhile, of which a
// real process frees a part.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "hawthornlane/front/peer_gossip.h"
#include "test_caller.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr int host_count = 24;
/// Of a small host's link: 30 Mbit/s.
constexpr double link_bytes_per_second = 30e6 / 8;
/// An accepted configuration is in force everywhere within this time.
constexpr auto spread_limit = 3s;

/// What a host sends, one message after the other at the rate of its link.
class slow_link {
public:
  explicit slow_link(asio::io_context& io) : context(io) {}

  /// Calls `sent` once `bytes` have gone out behind all that waits already.
  void send(std::size_t bytes, std::function<void()> sent) {
    const auto takes = std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / link_bytes_per_second));
    this->free_at = std::max(this->free_at, steady::now()) + takes;
    this->waiting += bytes;
    this->most_waiting = std::max(this->most_waiting, this->waiting);
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->free_at);
    timer->async_wait([this, timer, bytes, sent = std::move(sent)](const net::error_code&) {
      this->waiting -= bytes;
      sent();
    });
  }

  [[nodiscard]] std::size_t most_bytes_waiting() const { return this->most_waiting; }

private:
  asio::io_context& context;
  steady::time_point free_at{};
  std::size_t waiting = 0;
  std::size_t most_waiting = 0;
};

std::string text_of(config_version version, std::size_t bytes) {
  // Random digits: what is sent cannot be made much shorter.
  std::mt19937_64 random(version.get());
  std::string text = fmt::format("{} ", version.get());
  while (text.size() < bytes) {
    text += fmt::format("{:016x}", random());
  }
  return text;
}

std::optional<configuration> configuration_of_text(const std::string& text) {
  configuration config;
  config.version = config_version(std::stoull(text));
  return config;
}

/// A front host as far as its talk with the others goes.
class linked_host {
public:
  linked_host(asio::io_context& context, net::deadline_sweeper& sweeper, int number)
      : link(context),
        checks(host_id(fmt::format("front-{:02}", number)), discovery::scheduler_now()),
        gossip(context, sweeper, fleet, checks, this->hooks()),
        server(context, sweeper, {scenarios::loopback, 0},
               [this](std::uint16_t method, const std::string& payload,
                      const net::rpc_reply& reply) { this->serve(method, payload, reply); }) {
    this->self.name = host_id(fmt::format("front-{:02}", number));
    this->self.start = incarnation(1);
    this->self.role = host_role::front;
    this->self.peers_at = this->server.where();
    this->fleet.on_hosts_changed([this] { this->gossip.refresh_hosts(); });
  }

  /// Takes a configuration from the store and tells everybody.
  void read_from_store(config_version version, std::size_t bytes) {
    const std::string text = text_of(version, bytes);
    this->fleet.offer_configuration(*configuration_of_text(text), text, "store");
    this->read_at = discovery::scheduler_now();
    this->gossip.broadcast_state();
  }

  [[nodiscard]] bool has(config_version version) const {
    return this->fleet.table() && this->fleet.table()->version() >= version;
  }

  host_entry self;
  slow_link link;
  discovery::fleet_state fleet;

private:
  gossip_hooks hooks() {
    gossip_hooks hooks;
    hooks.self = [this] {
      gossip_digest digest;
      digest.self = this->self;
      digest.ready = true;
      digest.configuration =
          this->fleet.table() ? this->fleet.table()->version() : config_version(0);
      digest.backends_changed_at = this->fleet.backends_changed_at();
      digest.hosts_revision = this->fleet.hosts_changed_at();
      if (this->read_at) {
        digest.store_read_by = this->self.name;
        digest.store_read_age = discovery::scheduler_now() - *this->read_at;
      }
      return digest;
    };
    hooks.decode_configuration = configuration_of_text;
    hooks.ledger = [] { return std::optional(ledger_set{set_epoch(1), {}, {}}); };
    hooks.apply_ledger_set = [](const ledger_set&, const host_id&) {};
    return hooks;
  }

  void serve(std::uint16_t method, const std::string& payload, const net::rpc_reply& reply) {
    const auto answer = this->gossip.serve(static_cast<gossip_method>(method), payload);
    this->link.send(answer ? answer->size() : 0, [reply, answer] { reply(answer); });
  }

  std::optional<timestamp> read_at;
  store_read_schedule checks;

public:
  peer_gossip gossip;

private:
  net::rpc_server server;
};

/// Some front hosts that know each other, with one event loop.
class linked_hosts {
public:
  linked_hosts() {
    std::vector<host_entry> entries;
    for (int number = 0; number < host_count; ++number) {
      this->hosts.push_back(std::make_unique<linked_host>(this->context, this->sweeper, number));
      entries.push_back(this->hosts.back()->self);
    }
    for (const auto& host : this->hosts) {
      host->fleet.list_hosts(store_revision(1), entries);
      host->fleet.list_backends(store_revision(1), {}, "store");
    }
    this->sweeper.on_sweep([this] {
      for (const auto& host : this->hosts) {
        host->gossip.tick();
      }
    });
  }

  bool run_until(const std::function<bool()>& done, steady::duration limit) {
    const auto until = steady::now() + limit;
    while (!done() && steady::now() < until) {
      this->context.restart();
      this->context.run_for(5ms);
    }
    return done();
  }

  [[nodiscard]] bool all_have(config_version version) const {
    return std::all_of(this->hosts.begin(), this->hosts.end(),
                       [version](const auto& host) { return host->has(version); });
  }

  /// Whole copies that hosts gave; all but the configuration is the same everywhere.
  [[nodiscard]] std::uint64_t copies_given() const {
    std::uint64_t copies = 0;
    for (const auto& host : this->hosts) {
      copies += host->gossip.counters().given;
    }
    return copies;
  }

  [[nodiscard]] std::size_t most_bytes_waiting() const {
    std::size_t most = 0;
    for (const auto& host : this->hosts) {
      most = std::max(most, host->link.most_bytes_waiting());
    }
    return most;
  }

  asio::io_context context;
  net::deadline_sweeper sweeper{context};
  std::vector<std::unique_ptr<linked_host>> hosts;
};

}  // namespace

TEST_CASE("a large configuration reaches every host once, and no host queues many copies") {
  struct row {
    const char* what;
    std::size_t bytes;
    /// Between two changes; the last one is waited for.
    std::chrono::milliseconds pause;
    int changes;
  };
  const row rows[] = {
      {"one change of 100 KB", 100'000, 0ms, 1},
      {"one change of 700 KB", 700'000, 0ms, 1},
      {"three changes of 400 KB, one each second", 400'000, 1000ms, 3},
  };
  constexpr std::uint64_t receivers = host_count - 1;
  for (const row& item : rows) {
    INFO(item.what);
    linked_hosts all;
    all.run_until([] { return false; }, 500ms);
    config_version version(1);
    for (int change = 0; change < item.changes; ++change) {
      version = config_version(version.get() + 1);
      all.hosts.front()->read_from_store(version, item.bytes);
      if (change + 1 < item.changes) {
        all.run_until([] { return false; }, item.pause);
      }
    }
    const auto began = steady::now();
    CHECK(all.run_until([&] { return all.all_have(version); }, spread_limit));
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began);
    // What is asked again although it is on its way would come in this second.
    all.run_until([] { return false; }, 1s);
    const std::uint64_t copies = all.copies_given();
    const std::size_t waiting = all.most_bytes_waiting();
    WARN(fmt::format("{}: {} copies for {} hosts, {} KB waiting at most, {} ms", item.what, copies,
                     receivers, waiting / 1000, took.count()));
    CHECK(copies <= receivers * item.changes * 5 / 4);
    CHECK(waiting <= 3 * item.bytes);
  }
}
