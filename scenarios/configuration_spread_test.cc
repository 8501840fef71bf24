// Front hosts fetch a large configuration from each other over links with a limited rate.
//
// Guards against front hosts that exceed their memory limit because any number of whole
// copies may be in flight. One host reads the new configuration from the store and notifies
// all others. All of them fetch it from that host, whose link of 30 Mbit/s takes 0.2 s per
// copy. Each host that has it gossips its digest, and each host that still waits fetches from
// that one too, until it waits for a copy from every host that is ahead. After 1 s a fetch
// times out and is repeated while its response is still queued before the link. Neither the
// receiver, which needs one copy, nor the source, which queues every requested copy (16 MB per
// connection), limited the number of copies.
//
// Observed on 60 hosts when the configuration grew by 1400 routes to several hundred KB while
// backend servers were replaced: two front hosts passed their limit of 88 MB and were killed
// 3 s after the store had confirmed the change, and calls that they had read got neither an
// answer nor a refusal. In the seconds before, hosts of all zones failed their readiness check.
// All front hosts together sent 4 MB/s before the change and 90 to 120 MB/s after it, until the
// end of the run; hosts with 30 Mbit/s received up to 33 MB in 11 s for a configuration of 1 MB;
// 20 s after the change calls still ended under the two configurations before it. Processes grew
// from 25 MB to 70 MB, and later to 89 MB.
//
// The test also counts bytes that wait for connections which have been closed meanwhile. A real
// process frees a part of them.
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
/// Rate of a small host's link: 30 Mbit/s.
constexpr double link_bytes_per_second = 30e6 / 8;
/// An accepted configuration is in force everywhere within this time.
constexpr auto spread_limit = 3s;

/// Outgoing link of a host: sends one message after the other at a limited rate.
class slow_link {
public:
  explicit slow_link(asio::io_context& io) : context(io) {}

  /// Calls `sent` once `bytes` have been sent, after everything that was queued before.
  void send(std::size_t bytes, std::function<void()> sent) {
    const auto takes = std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / link_bytes_per_second));
    this->free_at = std::max(this->free_at, steady::now()) + takes;
    this->waiting += bytes;
    this->max_waiting = std::max(this->max_waiting, this->waiting);
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->free_at);
    timer->async_wait([this, timer, bytes, sent = std::move(sent)](const net::error_code&) {
      this->waiting -= bytes;
      sent();
    });
  }

  [[nodiscard]] std::size_t max_bytes_waiting() const { return this->max_waiting; }

private:
  asio::io_context& context;
  steady::time_point free_at{};
  std::size_t waiting = 0;
  std::size_t max_waiting = 0;
};

std::string text_of(config_version version, std::size_t bytes) {
  // Random digits, so that compression cannot make the message much smaller.
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

/// The gossip of a front host with its peers.
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

  /// Applies a configuration from the store and notifies all peers.
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

/// Front hosts that list each other, on one event loop.
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

  /// Number of whole copies that hosts sent. They are all of the configuration, since everything
  /// else is the same on all hosts.
  [[nodiscard]] std::uint64_t copies_given() const {
    std::uint64_t copies = 0;
    for (const auto& host : this->hosts) {
      copies += host->gossip.counters().given;
    }
    return copies;
  }

  [[nodiscard]] std::size_t max_bytes_waiting() const {
    std::size_t maximum = 0;
    for (const auto& host : this->hosts) {
      maximum = std::max(maximum, host->link.max_bytes_waiting());
    }
    return maximum;
  }

  asio::io_context context;
  net::deadline_sweeper sweeper{context};
  std::vector<std::unique_ptr<linked_host>> hosts;
};

}  // namespace

TEST_CASE("a large configuration reaches every host about once, and no host queues many copies") {
  struct row {
    const char* what;
    std::size_t bytes;
    /// Time between two changes. The test waits until the last change is in force.
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
    // If a host requested a copy again while one was in flight, it arrives within this second.
    all.run_until([] { return false; }, 1s);
    const std::uint64_t copies = all.copies_given();
    const std::size_t waiting = all.max_bytes_waiting();
    WARN(fmt::format("{}: {} copies for {} hosts, {} KB waiting at most, {} ms", item.what, copies,
                     receivers, waiting / 1000, took.count()));
    CHECK(copies <= receivers * item.changes * 5 / 4);
    CHECK(waiting <= 3 * item.bytes);
  }
}
