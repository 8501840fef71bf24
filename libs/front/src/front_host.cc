// A front host: its listeners, its state and its planned stop.
#include "hawthornlane/front/front_host.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "caller_listener.h"
#include "configuration_copy.h"
#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/front/address_choice.h"
#include "hawthornlane/front/blocked_request_pages.h"
#include "hawthornlane/front/call_service.h"
#include "hawthornlane/front/crash_tracker.h"
#include "hawthornlane/front/host_report.h"
#include "hawthornlane/front/ledger_client.h"
#include "hawthornlane/front/peer_gossip.h"
#include "hawthornlane/front/peer_traffic.h"
#include "hawthornlane/front/quota_client.h"
#include "hawthornlane/front/shutdown_policy.h"
#include "hawthornlane/http/synchronous_server.h"
#include "hawthornlane/overload/process_clients.h"
#include "hawthornlane/platform_adapter/call_codec.h"
#include "hawthornlane/platform_adapter/resolve_messages.h"
#include "hawthornlane/telemetry/log.h"
#include "store_reader.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// The cache of complete turns may use an eighth of the process's memory; the rest is for calls in
/// flight, which need 12 MB on the heaviest day.
constexpr std::size_t cache_bytes_per_mb = bytes_per_mb / 8;
/// Divisor of the memory: state copies are refused while the answers queued for other hosts exceed
/// the memory divided by this. For 88 MB this is 2.75 MB, which a link of 30 Mbit/s sends in 0.7 s.
constexpr std::size_t peer_answers_share = 32;
/// Divisor of the memory: limit of everything queued for other hosts, including relayed answers of
/// disk hosts.
constexpr std::size_t peer_queue_share = 8;
/// Divisor of the memory: limit of the responses of backend servers that are in memory at once.
constexpr std::size_t response_share = 8;
/// Interval at which scarce places are divided among hosts; a call at a model server takes 0.2 s.
constexpr auto demand_update_interval = std::chrono::milliseconds(100);
/// Interval at which this host reports its loads; a third of their lifetime.
constexpr auto load_report_interval = std::chrono::seconds(1);
/// Interval at which idle connections to servers are closed.
constexpr auto idle_sweep_interval = std::chrono::seconds(1);

}  // namespace

struct front_host::state : std::enable_shared_from_this<front_host::state> {
  state(asio::io_context& io, front_settings given_settings, std::function<void()> on_stopped)
      : context(io),
        settings(std::move(given_settings)),
        stopped(std::move(on_stopped)),
        sweeper(io),
        codec(platform_adapter::make_call_codec()),
        store(settings.store),
        read_schedule(settings.host, discovery::scheduler_now()),
        backends(io, sweeper, codec),
        ledger(io, sweeper, fleet, settings.zone, settings.memory_mb * cache_bytes_per_mb),
        placer(io, settings.host, settings.zone, fleet, metrics, settings.pool()),
        quotas(io, make_quota_hooks()),
        crashes(io, ledger, metrics, make_crash_hooks()),
        calls(fleet, placer, backends, codec, quotas, ledger, crashes, metrics),
        gossip(io, sweeper, fleet, read_schedule, make_gossip_hooks()),
        exchange(io, settings.host, make_exchange_hooks()),
        places(io, settings.host, exchange.entries(), metrics, make_place_hooks()),
        clients({settings.memory_mb * bytes_per_mb, settings.max_descriptors}),
        callers(io, make_caller_sources()),
        reader({io, settings.host, store, fleet, read_schedule, ledger, gossip, faults}),
        report(make_report_sources()) {
    this->placer.set_directory_exchange(this->exchange);
    if (this->settings.claims_places) {
      this->placer.set_place_exchange(this->places);
    }
  }

  asio::io_context& context;
  front_settings settings;
  std::function<void()> stopped;
  net::deadline_sweeper sweeper;
  relay::call_codec codec;
  platform_adapter::store_client store;
  discovery::fleet_state fleet;
  store_read_schedule read_schedule;
  peer_traffic traffic;
  call_metrics metrics;
  relay::backend_pool backends;
  ledger_client ledger;
  call_placer placer;
  quota_client quotas;
  crash_tracker crashes;
  call_service calls;
  peer_gossip gossip;
  directory_exchange exchange;
  place_exchange places;
  overload::process_clients clients;
  caller_listener callers;
  std::unique_ptr<net::rpc_server> peers;
  std::vector<std::unique_ptr<http::server>> auxiliary_servers;
  host_entry self;
  discovery::object_faults faults;
  store_reader reader;
  bool leaving = false;
  net::steady_time stop_began{};
  net::steady_time next_idle_sweep{};
  net::steady_time next_demand_update{};
  net::steady_time next_load_report{};
  host_report report;

  report_sources make_report_sources() {
    return {.metrics = this->metrics,
            .store = this->store,
            .faults = this->faults,
            .fleet = this->fleet,
            .read_schedule = this->read_schedule,
            .backends = this->backends,
            .calls = this->calls,
            .gossip = this->gossip,
            .crashes = this->crashes,
            .traffic = this->traffic,
            .clients = this->clients,
            .connections = [this] { return this->callers.connections(); },
            .peer_bytes_waiting = [this] { return this->peers->queued_bytes(); },
            .memory_limit = this->settings.memory_mb * bytes_per_mb};
  }

  caller_sources make_caller_sources() {
    return {.sweeper = this->sweeper,
            .fleet = this->fleet,
            .calls = this->calls,
            .clients = this->clients.registry(),
            .max_connections = this->clients.limits().call_connections,
            .leaving = [this] { return this->leaving; }};
  }

  gossip_hooks make_gossip_hooks() {
    gossip_hooks hooks;
    hooks.traffic = this->traffic;
    hooks.self = [this] { return this->digest(); };
    hooks.decode_configuration = unpack_configuration;
    hooks.ledger = [this] { return this->ledger.current(); };
    hooks.crash_checksum = [this] { return this->crashes.checksum(); };
    hooks.on_crash_checksum = [this](const host_id& from, std::uint64_t checksum) {
      this->crashes.compare(from, checksum);
    };
    hooks.may_send_copy = [this] {
      const std::size_t max_bytes = this->settings.memory_mb * bytes_per_mb / peer_answers_share;
      return this->peers->queued_bytes() < max_bytes;
    };
    hooks.apply_ledger_set = [this](const ledger_set& set, const host_id& from) {
      this->ledger.adopt_ledger_set(set, from.get());
    };
    return hooks;
  }

  quota_hooks make_quota_hooks() {
    quota_hooks hooks;
    hooks.managers = [this] {
      const auto& set = this->ledger.current();
      return set ? set->members : std::vector<disk_id>();
    };
    hooks.reaches = [this](const disk_id& disk) { return this->ledger.reaches(disk); };
    hooks.ask = [this](const disk_id& disk, std::string payload, duration timeout,
                       net::rpc_done done) {
      this->ledger.ask_disk(disk, ledger_method::quota, std::move(payload), timeout,
                            std::move(done));
    };
    return hooks;
  }

  crash_hooks make_crash_hooks() {
    crash_hooks hooks;
    hooks.hosts = [this] { return this->gossip.live_hosts(); };
    hooks.send = [this](const host_id& to, const std::string& payload, net::rpc_done done) {
      this->gossip.send(to, gossip_method::crashes, payload, std::move(done));
    };
    hooks.check_listening = [this](http::endpoint where, duration watch_time) {
      return this->backends.check_listening(std::move(where), watch_time);
    };
    hooks.entry_of = [this](const backend_server_id& id) {
      const auto& listed = this->fleet.backends().listed();
      const auto found = listed.find(id);
      return found == listed.end() ? nullptr : &found->second;
    };
    hooks.disks = [this] { return this->ledger.current(); };
    hooks.read_disk = [this](const disk_id& disk, std::string payload, net::rpc_done done) {
      constexpr duration timeout = std::chrono::milliseconds(400);
      this->ledger.ask_disk(disk, ledger_method::copy, std::move(payload), timeout,
                            std::move(done));
    };
    return hooks;
  }

  directory_hooks make_exchange_hooks() {
    directory_hooks hooks;
    hooks.hosts = [this] { return this->gossip.live_hosts(); };
    hooks.send = [this](const host_id& to, const std::string& payload, net::rpc_done done) {
      this->gossip.send(to, gossip_method::directory, payload, std::move(done));
    };
    hooks.on_response = [this](const directory_response& answer) {
      this->placer.apply_directory_response(answer);
    };
    if (this->settings.claims_places) {
      hooks.load_changed = [this](const host_id& host, const server_load& load,
                                  std::uint32_t before) {
        this->places.count_changed(host, load, before);
      };
      hooks.waiting = [this](server_key server) { return this->places.waiting(server); };
    }
    return hooks;
  }

  place_hooks make_place_hooks() {
    place_hooks hooks;
    hooks.hosts = [this] { return this->gossip.live_hosts(); };
    hooks.send = [this](const host_id& to, gossip_method method, const std::string& payload,
                        net::rpc_done done) {
      this->gossip.send(to, method, payload, std::move(done));
    };
    return hooks;
  }

  [[nodiscard]] bool claims_places(gossip_method method) const {
    const bool is_place_method = method == gossip_method::claim ||
                                 method == gossip_method::withdraw ||
                                 method == gossip_method::grant;
    return this->settings.claims_places && is_place_method;
  }

  gossip_digest digest() const {
    gossip_digest own;
    own.self = this->self;
    own.ready = this->ready();
    own.leaving = this->leaving;
    own.configuration = this->fleet.table() ? this->fleet.table()->version() : config_version(0);
    own.backends_changed_at = this->fleet.backends_changed_at();
    own.hosts_revision = this->fleet.hosts_changed_at();
    own.disks_reached = this->ledger.reached();
    own.ledger_epoch = this->ledger.current() ? this->ledger.current()->epoch : set_epoch(0);
    own.demand = this->placer.demand();
    if (this->read_schedule.heard()) {
      own.store_read_by = this->read_schedule.last_reader();
      own.store_read_id = this->read_schedule.newest_read().number;
      own.store_read_age = this->read_schedule.age(discovery::scheduler_now());
    }
    return own;
  }

  bool ready() const {
    // Without the set of disks no turn can be served; other hosts may have it.
    return !this->leaving && this->fleet.table() && this->ledger.current() &&
           this->crashes.informed() && !this->fleet.backends().listed().empty();
  }

  void start() {
    this->self =
        discovery::make_host_entry(this->settings.host, host_role::front, this->settings.zone,
                                   this->settings.region, this->settings.peers_advertised);
    this->self.callers_at = http::to_string(this->settings.callers_at);
    this->fleet.on_backends_changed([this] { this->placer.refresh_servers(); });
    this->fleet.on_hosts_changed([this] {
      this->gossip.refresh_hosts();
      this->ledger.refresh_hosts();
    });
    this->backends.limit_buffered_bytes(this->settings.memory_mb * bytes_per_mb / response_share);
    this->ledger.set_traffic(this->traffic);
    this->ledger.set_relay(
        [this](const relayed_request& request, duration timeout, net::rpc_done done) {
          this->gossip.relay(request, timeout, std::move(done));
        });
    this->listen();
    asio::co_spawn(this->context,
                   discovery::keep_registered(this->context, this->store, this->self),
                   asio::detached);
    this->sweeper.on_sweep([this] { this->on_sweep(); });
  }

  void listen() {
    this->peers = std::make_unique<net::rpc_server>(
        this->context, this->sweeper, this->settings.peers_at,
        [this](std::uint16_t number, const std::string& payload, const net::rpc_reply& answer) {
          const auto method = static_cast<gossip_method>(number);
          const auto reply =
              this->traffic.count_received_request(kind_of(method), payload.size(), answer);
          if (method == gossip_method::relay) {
            this->ledger.serve_relayed(payload, reply);
            return;
          }
          if (method == gossip_method::directory) {
            reply(this->exchange.serve(payload));
            return;
          }
          if (method == gossip_method::crashes) {
            reply(this->crashes.serve(payload));
            return;
          }
          if (this->claims_places(method)) {
            reply(this->places.serve(method, payload));
            return;
          }
          reply(this->gossip.serve(method, payload));
        });
    this->peers->limit_queued_bytes(this->settings.memory_mb * bytes_per_mb / peer_queue_share);
    this->serve_auxiliary("ready", this->settings.ready_at, [this](const http::request& ask) {
      return platform_adapter::readiness_response(platform_adapter::is_readiness_check(ask) &&
                                                  this->ready());
    });
    this->serve_auxiliary("directory", this->settings.directory_at,
                          [this](const http::request& ask) { return this->addresses(ask); });
    this->serve_auxiliary("metrics", this->settings.metrics_at, [this](const http::request& ask) {
      if (auto page = blocked_request_page(ask, this->crashes)) {
        return std::move(*page);
      }
      http::response answer;
      answer.content_type = "text/plain";
      answer.body = this->report.metrics_text();
      return answer;
    });
    this->callers.listen(this->settings.callers_at, this->shared_from_this());
  }

  void serve_auxiliary(const std::string& name, const http::endpoint& where,
                       std::function<http::response(const http::request&)> respond) {
    const bool is_directory = where == this->settings.directory_at;
    const std::size_t most = is_directory ? this->clients.limits().directory_connections
                                          : this->clients.limits().auxiliary_connections;
    this->auxiliary_servers.push_back(http::make_synchronous_server(
        this->context, where, std::move(respond),
        {this->clients.registry(), this->clients.registry()->add_listener(name, most)}));
  }

  http::response addresses(const http::request& ask) {
    const auto request = platform_adapter::resolve_request_from(ask);
    if (!request) {
      return platform_adapter::readiness_response(false);
    }
    std::vector<host_entry> ready = this->gossip.ready_hosts();
    if (this->ready()) {
      ready.push_back(this->self);
    }
    const std::vector<std::string> list = addresses_for(request->zone, ready);
    if (list.empty()) {
      return platform_adapter::readiness_response(false);
    }
    return platform_adapter::resolve_response(list, this->settings.address_time);
  }

  void on_sweep() {
    this->placer.tick();
    if (this->settings.claims_places) {
      this->places.tick();
    }
    this->fleet.drop_expired_removals();
    this->gossip.tick();
    this->ledger.tick();
    flush_log();
    const net::steady_time now = steady::now();
    this->crashes.tick(now);
    if (now >= this->next_demand_update) {
      this->next_demand_update = now + demand_update_interval;
      this->placer.apply_demand(this->gossip.demand_of_others());
    }
    if (now >= this->next_load_report) {
      this->next_load_report = now + load_report_interval;
      this->placer.report_loads();
    }
    if (now >= this->next_idle_sweep) {
      this->next_idle_sweep = now + idle_sweep_interval;
      this->close_idle();
      this->report.check_memory();
      this->clients.tick();
    }
    this->reader.tick(now, this->shared_from_this());
    if (this->leaving) {
      this->continue_stop(now);
    }
  }

  void close_idle() {
    std::set<http::endpoint> listed;
    for (const auto& [id, entry] : this->fleet.backends().listed()) {
      listed.insert(entry.address);
    }
    this->backends.close_idle(
        [&listed](const http::endpoint& where) { return listed.contains(where); });
  }

  void begin_stop() {
    if (this->leaving) {
      return;
    }
    this->leaving = true;
    this->stop_began = steady::now();
    this->calls.begin_stop({this->settings.grace, this->settings.address_time});
    log(event::stopping, {{"calls", std::to_string(this->calls.in_flight())},
                          {"connections", std::to_string(this->callers.connections())}});
    this->gossip.broadcast_state();
  }

  void continue_stop(net::steady_time now) {
    const duration elapsed = std::chrono::duration_cast<duration>(now - this->stop_began);
    const shutdown_policy stop{this->settings.grace, this->settings.address_time};
    this->calls.continue_stop();
    if (!this->callers.is_closing() && stop.may_close(elapsed, this->calls.in_flight())) {
      this->callers.close();
    }
    if (this->callers.is_closing() && stop.may_exit(elapsed, this->callers.connections())) {
      log(event::stopped, {{"calls", std::to_string(this->calls.in_flight())},
                           {"connections", std::to_string(this->callers.connections())}});
      flush_log();
      this->stopped();
    }
  }
};

front_host::front_host(asio::io_context& context, front_settings settings,
                       std::function<void()> stopped)
    : inner(std::make_shared<state>(context, std::move(settings), std::move(stopped))) {
  this->inner->start();
}

front_host::~front_host() = default;

void front_host::stop() { this->inner->begin_stop(); }

}  // namespace hawthornlane::front
