// A disk host: keeps turns and budgets, and takes part in changes of the set.
#include "hawthornlane/disk/disk_host.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/discovery/registration.h"
#include "hawthornlane/discovery/store_follower.h"
#include "hawthornlane/disk/ledger_store.h"
#include "hawthornlane/http/server.h"
#include "hawthornlane/limits/quota_keeper.h"
#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::object_page;
using platform_adapter::store_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// Between two probes of the other disk hosts.
constexpr auto probe_pause = std::chrono::milliseconds(250);
constexpr duration probe_limit = std::chrono::milliseconds(600);
/// A disk host that has been silent for this long may be replaced. A restart takes
/// two to three seconds; copying to a spare costs more than waiting for it.
constexpr auto patience = std::chrono::milliseconds(3500);
/// One of a set of two: without it nothing can be decided, so waiting costs service.
/// Several probes and a repeated packet fit in; a hiccup must not leave one alone.
constexpr auto patience_of_two = std::chrono::milliseconds(1000);
static_assert(quota_lease < patience);
/// Between two looks for accounts that need not be remembered.
constexpr auto quota_sweep_pause = std::chrono::seconds(5);
/// Disk hosts start within 0.3 s of each other; the first set waits for them.
constexpr auto first_set_wait = std::chrono::milliseconds(1500);
/// Between two decisions over the set.
constexpr auto duty_pause = std::chrono::milliseconds(200);
/// For the first disk to make a change that is due, before the next one does: two
/// updates of the store on a slow day.
constexpr auto time_for_each = std::chrono::milliseconds(1000);
/// Decisions that follow each other at once, such as a joint set and its end.
constexpr int most_steps = 4;
constexpr duration fence_limit = std::chrono::milliseconds(1500);
constexpr duration copy_limit = std::chrono::milliseconds(1500);
/// Between two pages, so that copying leaves most of a half core to turns.
constexpr auto page_pause = std::chrono::milliseconds(5);
constexpr auto tick_pause = std::chrono::milliseconds(100);

/// On the clock of `discovery::scheduler_now`.
timestamp timestamp_of(net::steady_time time) {
  return timestamp(std::chrono::duration_cast<duration>(time.time_since_epoch()));
}

std::string_view name_of(quota_verdict verdict) {
  switch (verdict) {
    case quota_verdict::granted:
      return "granted";
    case quota_verdict::refused:
      return "refused";
    case quota_verdict::not_kept:
      return "not_kept";
  }
  return "";
}

}  // namespace

struct disk_host::state : std::enable_shared_from_this<disk_host::state> {
  /// Another disk host.
  struct peer {
    host_entry entry;
    std::shared_ptr<net::rpc_client> link;
    probe_answer heard;
    net::steady_time heard_at{};
    /// `heard_at` is the time of an answer, and not of the first news of the host.
    bool answered = false;
  };

  state(asio::io_context& io, disk_settings with)
      : context(io),
        settings(std::move(with)),
        sweeper(io),
        store(settings.store),
        quotas(settings.quotas),
        ledger(io, settings.data_folder, settings.disk_mb * 1024 * 1024,
               turn_log::usual_segment_bytes, make_quota_journal()) {}

  asio::io_context& context;
  disk_settings settings;
  net::deadline_sweeper sweeper;
  platform_adapter::store_client store;
  discovery::fleet_state fleet;
  quota_keeper quotas;
  ledger_store ledger;
  /// Grants that are not on disk yet: their askers are told when they are.
  std::vector<std::function<void(bool good)>> unwritten_grants;
  bool writing_grants = false;
  net::steady_time next_quota_sweep{};
  std::unique_ptr<net::rpc_server> server;
  std::unique_ptr<http::server> metrics_server;
  std::vector<std::unique_ptr<discovery::store_follower>> followers;
  std::map<host_id, peer> peers;
  host_entry self;
  discovery::object_faults faults;
  std::optional<ledger_set> set;
  store_revision set_revision;
  /// When the store last named the set, while this process ran.
  net::steady_time set_told_at{};
  /// Hosts to be emptied, and since when this host knows.
  struct known_retirement {
    platform_adapter::retirement request;
    net::steady_time since;
  };
  std::map<host_id, known_retirement> retirements;
  net::steady_time started = steady::now();
  net::steady_time next_probe{};
  net::steady_time next_duty{};
  net::steady_time next_tick{};
  bool duty_running = false;
  /// Since when a change of the set of that epoch is due.
  net::steady_time due_since{};
  set_epoch due_at_epoch;
  set_epoch copied;
  std::map<std::string, std::uint64_t> counts;

  void start() {
    this->self =
        discovery::make_host_entry(this->settings.host, host_role::disk, this->settings.zone,
                                   this->settings.region, this->settings.peers_advertised);
    this->self.disk = this->ledger.identity().get();
    this->server = std::make_unique<net::rpc_server>(
        this->context, this->sweeper, this->settings.peers_at,
        [this](std::uint16_t method, const std::string& payload, const net::rpc_reply& reply) {
          ++this->counts["requests_" + std::to_string(method)];
          if (static_cast<ledger_method>(method) == ledger_method::quota) {
            this->serve_quota(payload, reply);
            return;
          }
          this->ledger.serve(static_cast<ledger_method>(method), payload, reply);
        });
    this->serve_metrics();
    this->follow_store();
    asio::co_spawn(this->context,
                   discovery::keep_registered(this->context, this->store, this->self),
                   asio::detached);
    this->sweeper.on_pass([this] { this->on_pass(); });
  }

  void serve_metrics() {
    const auto handle = [this](const http::request&,
                               http::exchange& reply) -> asio::awaitable<void> {
      http::response answer;
      answer.content_type = "text/plain";
      answer.body = this->metrics_text();
      co_await reply.respond(std::move(answer));
    };
    const auto refuse = [](error_kind kind, std::string_view) {
      http::response answer;
      answer.status = answer_for(kind).http_status;
      return answer;
    };
    this->metrics_server = std::make_unique<http::server>(this->context, this->settings.metrics_at,
                                                          http::server_limits{}, handle, refuse);
  }

  side_journal make_quota_journal() {
    side_journal journal;
    journal.replay = [this](const std::string& bytes) {
      if (const auto record = from_bytes<quota_record>(bytes)) {
        this->quotas.restore(*record);
      }
    };
    journal.whole = [this] { return to_bytes(this->quotas.whole(discovery::scheduler_now())); };
    return journal;
  }

  void serve_quota(const std::string& payload, const net::rpc_reply& reply) {
    const auto question = from_bytes<quota_question>(payload);
    if (!question) {
      reply(std::nullopt);
      return;
    }
    quota_answer answer;
    if (this->may_grant_quotas()) {
      answer = this->quotas.ask(*question, discovery::scheduler_now());
    }
    ++this->counts["quota_" + std::string(name_of(answer.verdict))];
    if (answer.verdict != quota_verdict::granted || !question->limit.limits()) {
      reply(to_bytes(answer));
      return;
    }
    this->unwritten_grants.push_back([reply, bytes = to_bytes(answer)](bool good) {
      reply(good ? std::optional(bytes) : std::nullopt);
    });
    this->write_grants();
  }

  /// One record for all grants that came while the one before was on its way to the disk.
  void write_grants() {
    if (this->writing_grants || this->unwritten_grants.empty()) {
      return;
    }
    this->writing_grants = true;
    const std::string record = to_bytes(this->quotas.take_changes(discovery::scheduler_now()));
    this->ledger.append_beside(record,
                               [this, told = std::exchange(this->unwritten_grants, {})](bool good) {
                                 for (const auto& tell : told) {
                                   tell(good);
                                 }
                                 this->writing_grants = false;
                                 this->write_grants();
                               });
  }

  bool may_grant_quotas() const {
    if (!this->set) {
      return false;
    }
    quota_lease_view view{this->ledger.identity(), *this->set, timestamp_of(this->set_told_at), {}};
    for (const auto& [name, other] : this->peers) {
      if (other.answered) {
        view.heard.push_back(
            {disk_id(other.entry.disk), timestamp_of(other.heard_at), other.heard.fence});
      }
    }
    return holds_quota_lease(view, discovery::scheduler_now());
  }

  void keep_quotas(const ledger_set& current) {
    this->quotas.keep(quota_part(current, this->ledger.identity()), discovery::scheduler_now());
  }

  std::string metrics_text() {
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
    add("fence", this->ledger.held().fenced_at().get());
    add("store_objects_malformed", this->faults.count());
    add("store_reads", this->store.counters().reads);
    add("store_watches", this->store.counters().watches);
    add("store_writes", this->store.counters().writes);
    return text;
  }

  void follow_store() {
    discovery::follower_hooks hosts;
    hosts.on_reachable = [](bool reachable, const std::string& detail) {
      log(reachable ? event::platform_reachable : event::platform_unreachable,
          {{"kind", "hosts"}, {"detail", detail}});
    };
    hosts.on_listing = [this](const object_page& page) {
      this->take_set(page);
      this->fleet.list_hosts(page.at, discovery::host_entries_of(page, this->faults));
      this->refresh_peers();
    };
    hosts.on_changes = [this](const object_page& page) {
      this->take_set(page);
      this->fleet.change_hosts(page.at, discovery::host_changes_of(page, this->faults));
      this->refresh_peers();
    };
    this->followers.push_back(std::make_unique<discovery::store_follower>(
        this->context, this->store, object_kind::hosts, std::move(hosts)));

    discovery::follower_hooks retirements;
    retirements.on_reachable = [](bool, const std::string&) {};
    retirements.on_listing = [this](const object_page& page) {
      this->retirements.clear();
      this->take_retirements(page);
    };
    retirements.on_changes = [this](const object_page& page) { this->take_retirements(page); };
    this->followers.push_back(std::make_unique<discovery::store_follower>(
        this->context, this->store, object_kind::retirements, std::move(retirements)));
  }

  void take_retirements(const object_page& page) {
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

  void take_set(const object_page& page) {
    for (const auto& item : page.items) {
      if (!item.removed && platform_adapter::is_ledger_object(item.object)) {
        this->take_set(item.object);
      }
    }
  }

  void take_set(const platform_adapter::stored_object& object) {
    // One that cannot be read is told of where the hosts' entries of the page are read.
    failure ignored;
    const auto told = platform_adapter::ledger_set_from(object, ignored);
    if (!told) {
      return;
    }
    this->set_told_at = steady::now();
    if (this->set && told->epoch <= this->set->epoch) {
      return;
    }
    this->set = told;
    this->set_revision = object.revision;
    this->ledger.set_newest(*told);
    this->keep_quotas(*told);
    log(event::ledger_set_changed, {{"epoch", std::to_string(told->epoch.get())},
                                    {"members", std::to_string(told->members.size())},
                                    {"joint", told->joint() ? "yes" : "no"}});
  }

  void refresh_peers() {
    const auto& listed = this->fleet.hosts().listed();
    std::erase_if(this->peers,
                  [&listed](const auto& item) { return !listed.contains(item.first); });
    for (const auto& [name, entry] : listed) {
      if (entry.role != host_role::disk || name == this->self.name) {
        continue;
      }
      peer& known = this->peers[name];
      if (known.link && known.entry == entry) {
        continue;
      }
      known.entry = entry;
      known.link = std::make_shared<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
      known.heard = {};
      this->probe(name, known);
      known.heard_at = steady::now();
      known.answered = false;
    }
  }

  void on_pass() {
    flush_log();
    const net::steady_time now = steady::now();
    if (now >= this->next_tick) {
      this->next_tick = now + tick_pause;
      this->ledger.tick();
    }
    if (now >= this->next_quota_sweep) {
      this->next_quota_sweep = now + quota_sweep_pause;
      this->quotas.forget_idle(discovery::scheduler_now());
    }
    if (now >= this->next_probe) {
      this->next_probe = now + probe_pause;
      this->probe_peers();
    }
    if (now >= this->next_duty && !this->duty_running) {
      this->next_duty = now + duty_pause;
      asio::co_spawn(this->context, run_duties(this->shared_from_this()), asio::detached);
    }
  }

  void probe_peers() {
    for (auto& [name, other] : this->peers) {
      this->probe(name, other);
    }
  }

  void probe(const host_id& name, const peer& other) {
    other.link->call(static_cast<std::uint16_t>(ledger_method::probe), "", probe_limit,
                     [this, name](net::rpc_failure why, const std::string& bytes) {
                       const auto answer = from_bytes<probe_answer>(bytes);
                       const auto found = this->peers.find(name);
                       if (why != net::rpc_failure::none || !answer || found == this->peers.end()) {
                         return;
                       }
                       found->second.heard = *answer;
                       found->second.heard_at = steady::now();
                       found->second.answered = true;
                     });
  }

  bool is_retiring(const host_id& name) const { return this->retirements.contains(name); }

  /// Half of the time to empty a host is left for a spare to come.
  bool must_leave(const host_id& name) const {
    const auto known = this->retirements.find(name);
    return known != this->retirements.end() &&
           steady::now() - known->second.since >= known->second.request.within / 2;
  }

  /// So many disks before this one have had their time to make a change that is due.
  std::size_t passed_over() {
    set_view anybody = this->view();
    anybody.passed_over = anybody.disks.size();
    const bool due = decide_set_change(anybody).step == set_step::propose;
    const net::steady_time now = steady::now();
    const set_epoch epoch = this->set ? this->set->epoch : set_epoch(0);
    if (!due || epoch != this->due_at_epoch) {
      this->due_at_epoch = epoch;
      this->due_since = now;
      return 0;
    }
    return static_cast<std::size_t>((now - this->due_since) / time_for_each);
  }

  set_view view() const {
    const net::steady_time now = steady::now();
    const bool of_two = this->set && this->set->members.size() == 2;
    const auto wait = of_two ? patience_of_two : patience;
    set_view view;
    view.self = this->ledger.identity();
    view.set = this->set;
    view.wanted = std::size_t{2} * this->settings.tolerated_losses + 1;
    view.disks.push_back({view.self, true, this->is_retiring(this->self.name),
                          this->must_leave(this->self.name), this->copied});
    for (const auto& [name, other] : this->peers) {
      view.disks.push_back({disk_id(other.entry.disk), now - other.heard_at < wait,
                            this->is_retiring(name), this->must_leave(name), other.heard.copied});
    }
    return view;
  }

  static asio::awaitable<void> run_duties(std::shared_ptr<state> self) {
    self->duty_running = true;
    co_await change_set(self);
    co_await complete_retirement(self);
    self->duty_running = false;
  }

  static asio::awaitable<void> change_set(std::shared_ptr<state> self) {
    const bool too_early = !self->set && steady::now() - self->started < first_set_wait;
    if (too_early || !self->fleet.hosts().heard()) {
      co_return;
    }
    for (int step = 0; step < most_steps; ++step) {
      set_view view = self->view();
      view.passed_over = self->passed_over();
      const set_decision decision = decide_set_change(view);
      if (decision.step == set_step::nothing) {
        break;
      }
      const bool went_on = decision.step == set_step::propose ? co_await propose(self, decision)
                                                              : co_await copy_from_members(self);
      if (!went_on) {
        break;
      }
    }
  }

  /// True when the store holds the proposed set now.
  static asio::awaitable<bool> propose(std::shared_ptr<state> self, set_decision decision) {
    const std::string spec = platform_adapter::ledger_set_spec(decision.proposed);
    failure reason;
    store_outcome outcome = store_outcome::refused;
    if (self->set) {
      outcome =
          co_await self->store.replace(object_kind::hosts, platform_adapter::ledger_object_name,
                                       self->set_revision, spec, reason);
    } else {
      outcome = co_await self->store.create(object_kind::hosts,
                                            platform_adapter::ledger_object_name, spec, reason);
    }
    // Won, lost or unknown: what the store holds now decides, and the watch that
    // would tell may be late.
    platform_adapter::stored_object held;
    failure read_reason;
    const store_outcome read = co_await self->store.get(
        object_kind::hosts, platform_adapter::ledger_object_name, held, read_reason);
    if (read == store_outcome::done) {
      self->take_set(held);
    }
    log(outcome == store_outcome::done ? event::ledger_set_changed
                                       : event::ledger_set_change_failed,
        {{"epoch", std::to_string(decision.proposed.epoch.get())},
         {"reason", decision.reason},
         {"detail", reason.detail}});
    co_return self->set&& * self->set == decision.proposed;
  }

  /// Raises the fence at the old members and copies what they hold, until a read
  /// quorum of them is done.
  static asio::awaitable<bool> copy_from_members(std::shared_ptr<state> self) {
    const ledger_set joint = *self->set;
    const std::size_t needed = read_quorum(joint.members);
    // This disk first, where it is one of them: it costs nothing.
    std::vector<disk_id> order = joint.members;
    std::stable_partition(order.begin(), order.end(),
                          [&](const disk_id& member) { return member == self->ledger.identity(); });
    log(event::ledger_copy_started, {{"epoch", std::to_string(joint.epoch.get())}});
    std::size_t sources = 0;
    for (const disk_id& member : order) {
      if (sources >= needed) {
        break;
      }
      const bool good = co_await copy_from(self, joint, member);
      sources += good ? 1 : 0;
    }
    const bool enough = sources >= needed;
    if (enough) {
      self->copied = joint.epoch;
      self->ledger.set_copied(joint.epoch);
    }
    log(event::ledger_copy_finished, {{"epoch", std::to_string(joint.epoch.get())},
                                      {"sources", std::to_string(sources)},
                                      {"enough", enough ? "yes" : "no"},
                                      {"turns", std::to_string(self->ledger.held().turns())}});
    co_return enough;
  }

  /// A call to another disk host, or to this one's own ledger.
  static asio::awaitable<std::optional<std::string>> ask(std::shared_ptr<state> self, disk_id where,
                                                         ledger_method method, std::string payload,
                                                         duration limit) {
    struct outcome {
      explicit outcome(asio::io_context& io) : signal(io) {}
      std::optional<std::string> bytes;
      net::async_signal signal;
    };
    const auto result = std::make_shared<outcome>(self->context);
    if (where == self->ledger.identity()) {
      self->ledger.serve(method, payload, [result](std::optional<std::string> bytes) {
        result->bytes = std::move(bytes);
        result->signal.wake();
      });
      co_await result->signal.wait();
      co_return result->bytes;
    }
    std::shared_ptr<net::rpc_client> link;
    for (const auto& [name, other] : self->peers) {
      if (other.entry.disk == where.get()) {
        link = other.link;
      }
    }
    if (!link) {
      co_return std::nullopt;
    }
    link->call(static_cast<std::uint16_t>(method), std::move(payload), limit,
               [result](net::rpc_failure why, std::string bytes) {
                 if (why == net::rpc_failure::none) {
                   result->bytes = std::move(bytes);
                 }
                 result->signal.wake();
               });
    co_await result->signal.wait();
    co_return result->bytes;
  }

  static asio::awaitable<bool> copy_from(std::shared_ptr<state> self, const ledger_set joint,
                                         const disk_id member) {
    const std::string fence_bytes = to_bytes(fence_request{joint});
    const auto fenced = co_await ask(self, member, ledger_method::fence, fence_bytes, fence_limit);
    const auto state_there = fenced ? from_bytes<probe_answer>(*fenced) : std::nullopt;
    if (!state_there || state_there->disk != member) {
      co_return false;
    }
    if (member == self->ledger.identity()) {
      co_return true;
    }
    copy_request from;
    while (true) {
      const std::string request_bytes = to_bytes(from);
      const auto bytes = co_await ask(self, member, ledger_method::copy, request_bytes, copy_limit);
      const auto page = bytes ? from_bytes<copy_page>(*bytes) : std::nullopt;
      if (!page) {
        co_return false;
      }
      const auto stored = std::make_shared<net::async_signal>(self->context);
      const auto good = std::make_shared<bool>(false);
      self->ledger.adopt(page->records, [stored, good](bool is_good) {
        *good = is_good;
        stored->wake();
      });
      co_await stored->wait();
      if (!*good || page->last || page->records.empty()) {
        co_return *good && page->last;
      }
      from.after_program = page->records.back().program;
      from.after_request = page->records.back().state.id;
      net::async_signal pause(self->context);
      co_await pause.wait_until(steady::now() + page_pause);
    }
  }

  /// Tells the platform that this host may be taken away, once no set holds its disk.
  static asio::awaitable<void> complete_retirement(std::shared_ptr<state> self) {
    const host_id& own = self->self.name;
    const auto known = self->retirements.find(own);
    if (known == self->retirements.end() || known->second.request.completed || !self->set) {
      co_return;
    }
    const std::vector<disk_id> holders = self->set->all();
    const bool held =
        std::find(holders.begin(), holders.end(), self->ledger.identity()) != holders.end();
    if (held) {
      co_return;
    }
    failure reason;
    const auto outcome =
        co_await self->store.set_status(object_kind::retirements, own.get(),
                                        platform_adapter::retirement_completed_status(), reason);
    if (outcome == store_outcome::done) {
      self->retirements.at(own).request.completed = true;
    }
  }
};

disk_host::disk_host(asio::io_context& context, disk_settings settings)
    : inner(std::make_shared<state>(context, std::move(settings))) {
  this->inner->start();
}

disk_host::~disk_host() = default;

}  // namespace hawthornlane::disk
