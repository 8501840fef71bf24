// A disk host: serves the ledger and quotas, and follows the platform's store.
#include "hawthornlane/disk/disk_host.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

#include "disk_host_state.h"
#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/http/synchronous_server.h"
#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::object_page;
using steady = std::chrono::steady_clock;

namespace {

/// Interval between probes of the other disk hosts.
constexpr auto probe_interval = std::chrono::milliseconds(250);
/// Disk hosts that have been silent for this long are named in probe responses.
constexpr auto reported_silence = std::chrono::milliseconds(500);
constexpr duration probe_timeout = std::chrono::milliseconds(600);
/// Interval between removals of idle quota accounts.
constexpr auto quota_sweep_interval = std::chrono::seconds(5);
/// Interval between decisions about the ledger set.
constexpr auto membership_interval = std::chrono::milliseconds(200);
constexpr auto tick_interval = std::chrono::milliseconds(100);
/// Interval between looks for turns that this disk has missed.
constexpr auto turn_fetch_interval = std::chrono::milliseconds(500);
/// Interval between log lines on what the set waits for.
constexpr auto report_interval = std::chrono::seconds(1);

std::uint64_t milliseconds_since(net::steady_time then) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - then).count());
}

}  // namespace

void disk_host::state::start() {
  this->self = discovery::make_host_entry(this->settings.host, host_role::disk, this->settings.zone,
                                          this->settings.region, this->settings.peers_advertised);
  this->self.disk = this->ledger.identity().get();
  this->server = std::make_unique<net::rpc_server>(
      this->context, this->sweeper, this->settings.peers_at,
      [this](std::uint16_t method, const std::string& payload, const net::rpc_reply& reply) {
        ++this->counts["requests_" + std::to_string(method)];
        if (static_cast<ledger_method>(method) == ledger_method::probe) {
          // A host that can store nothing counts as lost, so that another one replaces it.
          reply(this->ledger.failed() ? std::nullopt : std::optional(this->probe_answer()));
          return;
        }
        if (static_cast<ledger_method>(method) == ledger_method::quota) {
          this->quotas.serve(payload, reply);
          return;
        }
        this->ledger.serve(static_cast<ledger_method>(method), payload, reply);
      });
  this->serve_metrics();
  this->follow_store();
  asio::co_spawn(this->context, register_self(this->shared_from_this()), asio::detached);
  this->sweeper.on_sweep([this] { this->on_sweep(); });
}

quota_hooks disk_host::state::make_quota_hooks() {
  quota_hooks hooks;
  hooks.holds_lease = [this] { return this->may_grant_quotas(); };
  hooks.append = [this](const std::string& record, std::function<void(bool good)> done) {
    this->ledger.append_side_record(record, std::move(done));
  };
  hooks.count = [this](const std::string& counter) { ++this->counts[counter]; };
  return hooks;
}

void disk_host::state::serve_metrics() {
  const auto respond = [this](const http::request&) {
    http::response answer;
    answer.content_type = "text/plain";
    answer.body = this->metrics_text();
    return answer;
  };
  const auto& registry = this->clients.registry();
  const std::size_t most = this->clients.limits().auxiliary_connections;
  this->metrics_server =
      http::make_synchronous_server(this->context, this->settings.metrics_at, respond,
                                    {registry, registry->add_listener("metrics", most)});
}

std::string disk_host::state::metrics_text() {
  std::string text;
  const auto add = [&text](const std::string& name, std::uint64_t value) {
    text += name + " " + std::to_string(value) + "\n";
  };
  for (const auto& [name, value] : this->counts) {
    add(name, value);
  }
  add("programs", this->ledger.held().programs());
  add("turns", this->ledger.held().turns());
  add("text_bytes", this->ledger.held().text_bytes());
  add("log_bytes", this->ledger.log_bytes());
  add("quota_accounts", this->quotas.accounts());
  add("quota_programs_held_back", this->quotas.programs_held_back());
  add("quota_calls_of_a_program",
      static_cast<std::uint64_t>(std::lround(this->quotas.calls_of_a_program())));
  add("set_epoch", this->set ? this->set->epoch.get() : 0);
  add("set_joint_ms", this->set && this->set->joint() ? milliseconds_since(this->set_since) : 0);
  add("append_backlog", this->ledger.backlog());
  add("append_backlog_ms", static_cast<std::uint64_t>(this->ledger.backlog_age().count()));
  add("fence", this->ledger.held().fence_epoch().get());
  add("store_objects_malformed", this->faults.count());
  add("store_reads", this->store.counters().reads);
  add("store_watches", this->store.counters().watches);
  add("store_writes", this->store.counters().writes);
  this->clients.add_metrics(add);
  return text;
}

void disk_host::state::follow_store() {
  discovery::follower_hooks hosts;
  hosts.on_reachable = [](bool reachable, const std::string& detail) {
    log(reachable ? event::platform_reachable : event::platform_unreachable,
        {{"kind", "hosts"}, {"detail", detail}});
  };
  hosts.on_listing = [this](const object_page& page) {
    this->adopt_ledger_set(page);
    this->fleet.list_hosts(page.at, discovery::host_entries_of(page, this->faults));
    this->refresh_peers();
  };
  hosts.on_changes = [this](const object_page& page) {
    this->adopt_ledger_set(page);
    this->fleet.change_hosts(page.at, discovery::host_changes_of(page, this->faults));
    this->refresh_peers();
  };
  this->followers.push_back(std::make_unique<discovery::store_follower>(
      this->context, this->store, object_kind::hosts, std::move(hosts)));

  discovery::follower_hooks retirements;
  retirements.on_reachable = [](bool, const std::string&) {};
  retirements.on_listing = [this](const object_page& page) {
    this->retirements.clear();
    this->apply_retirements(page);
  };
  retirements.on_changes = [this](const object_page& page) { this->apply_retirements(page); };
  this->followers.push_back(std::make_unique<discovery::store_follower>(
      this->context, this->store, object_kind::retirements, std::move(retirements)));
}

void disk_host::state::apply_retirements(const object_page& page) {
  std::vector<platform_adapter::object_fault> found = page.faults;
  for (const auto& item : page.items) {
    const host_id name(item.object.name);
    if (item.removed) {
      this->retirements.erase(name);
      continue;
    }
    failure reason;
    const auto request = platform_adapter::retirement_from(item.object, reason);
    if (!request) {
      found.push_back({item.object.name, item.object.revision, reason.detail});
      continue;
    }
    const auto known = this->retirements.find(name);
    const bool is_new = known == this->retirements.end();
    this->retirements[name] = {*request, is_new ? steady::now() : known->second.since};
  }
  this->faults.note(object_kind::retirements, found);
}

void disk_host::state::adopt_ledger_set(const object_page& page) {
  for (const auto& item : page.items) {
    if (!item.removed && platform_adapter::is_ledger_object(item.object)) {
      this->adopt_ledger_set(item.object);
    }
  }
}

void disk_host::state::adopt_ledger_set(const platform_adapter::stored_object& object) {
  // Not logged here: the ledger set is an object of the kind `hosts`, and `host_entries_of` and
  // `host_changes_of` log the unreadable objects of this kind.
  failure ignored;
  const auto received = platform_adapter::ledger_set_from(object, ignored);
  if (!received) {
    return;
  }
  this->set_confirmed_at = steady::now();
  if (this->set && received->epoch <= this->set->epoch) {
    return;
  }
  this->note_set_change(*received);
  this->set = received;
  this->set_since = this->set_confirmed_at;
  this->set_revision = object.revision;
  this->ledger.set_newest(*received);
  const std::vector<disk_id> members = received->all();
  std::erase_if(this->cursors, [&members](const auto& item) {
    return std::find(members.begin(), members.end(), item.first) == members.end();
  });
  this->share_tracker.adopt(*received, this->ledger.identity(), discovery::scheduler_now());
  this->update_quota_share();
  log(event::ledger_set_changed, {{"epoch", std::to_string(received->epoch.get())},
                                  {"members", std::to_string(received->members.size())},
                                  {"joint", received->joint() ? "yes" : "no"}});
}

asio::awaitable<void> disk_host::state::register_self(std::shared_ptr<state> self) {
  self->registering = true;
  co_await discovery::keep_registered(self->context, self->store, self->self);
  self->registering = false;
}

void disk_host::state::refresh_peers() {
  const auto& listed = this->fleet.hosts().listed();
  const auto own = listed.find(this->self.name);
  // A write of an earlier process may reach the store after this one's.
  const bool is_outdated = own == listed.end() || own->second.start < this->self.start;
  if (is_outdated && !this->registering) {
    asio::co_spawn(this->context, register_self(this->shared_from_this()), asio::detached);
  }
  std::erase_if(this->peers, [&listed](const auto& item) { return !listed.contains(item.first); });
  for (const auto& [name, entry] : listed) {
    if (entry.role != host_role::disk || name == this->self.name) {
      continue;
    }
    peer& known = this->peers[name];
    if (known.client && known.entry == entry) {
      continue;
    }
    known.entry = entry;
    known.client = std::make_shared<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
    known.heard = {};
    this->probe(name, known);
    known.received_at = steady::now();
    known.answered = false;
  }
}

void disk_host::state::on_sweep() {
  flush_log();
  const net::steady_time now = steady::now();
  if (now >= this->next_tick) {
    this->next_tick = now + tick_interval;
    this->ledger.tick();
    this->update_quota_share();
  }
  if (now >= this->next_quota_sweep) {
    this->next_quota_sweep = now + quota_sweep_interval;
    this->quotas.forget_idle();
  }
  if (now >= this->next_probe) {
    this->next_probe = now + probe_interval;
    this->probe_peers();
  }
  if (now >= this->next_report) {
    this->next_report = now + report_interval;
    this->report_waiting();
    this->clients.tick();
  }
  if (now >= this->next_turn_fetch && !this->fetching_turns) {
    this->next_turn_fetch = now + turn_fetch_interval;
    asio::co_spawn(this->context, fetch_missing_turns(this->shared_from_this()), asio::detached);
  }
  if (now >= this->next_membership_run && !this->membership_running) {
    this->next_membership_run = now + membership_interval;
    asio::co_spawn(this->context, run_membership_tasks(this->shared_from_this()), asio::detached);
  }
}

void disk_host::state::probe_peers() {
  for (auto& [name, other] : this->peers) {
    this->probe(name, other);
  }
}

void disk_host::state::probe(const host_id& name, const peer& other) {
  other.client->call(static_cast<std::uint16_t>(ledger_method::probe), "", probe_timeout,
                     [this, name](net::rpc_failure why, const std::string& bytes) {
                       const auto answer =
                           from_bytes_with_tail<probe_response, probe_report>(bytes);
                       const auto found = this->peers.find(name);
                       if (why != net::rpc_failure::none || !answer || found == this->peers.end()) {
                         return;
                       }
                       // Another disk at the address says nothing about the registered one.
                       if (answer->first.disk.get() != found->second.entry.disk) {
                         return;
                       }
                       found->second.heard = answer->first;
                       found->second.silent = answer->second.silent;
                       found->second.received_at = steady::now();
                       found->second.answered = true;
                     });
}

std::string disk_host::state::probe_answer() const {
  probe_report report;
  for (const auto& [name, other] : this->peers) {
    const auto ms = milliseconds_since(other.received_at);
    if (ms >= static_cast<std::uint64_t>(reported_silence.count())) {
      report.silent.push_back(
          {disk_id(other.entry.disk), other.entry.start.get(), static_cast<std::uint32_t>(ms)});
    }
  }
  return to_bytes(this->ledger.probe()) + to_bytes(report);
}

disk_host::disk_host(asio::io_context& context, disk_settings settings)
    : impl(std::make_shared<state>(context, std::move(settings))) {
  this->impl->start();
}

disk_host::~disk_host() = default;

}  // namespace hawthornlane::disk
