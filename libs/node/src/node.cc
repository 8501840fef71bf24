// Connects the parts of a host and runs its periodic tasks.
#include "hawthornlane/node/node.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "forwarded_exchange.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration shard_tick_interval = std::chrono::milliseconds(100);
constexpr duration ownership_interval = std::chrono::milliseconds(400);
constexpr duration idle_check_interval = std::chrono::seconds(1);
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// Copies of a request's body while it is served: parsed, and as a message to another host.
constexpr std::size_t copies_of_body = 2;
/// Divisor of the memory: what answers of servers may take while they arrive.
constexpr std::size_t answer_share = 8;
constexpr duration shutdown_check_interval = std::chrono::milliseconds(200);
constexpr duration max_shutdown_time = std::chrono::minutes(10);
/// Limit of the wait for a host to hand shards to: if the whole region shuts down, there is none.
constexpr duration max_wait_for_successor = std::chrono::seconds(2);
constexpr std::size_t max_moves_per_round = 4;
constexpr std::size_t rounds_per_rebalance = 5;

std::uint64_t make_incarnation_number() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

membership_times membership_times_from(const node_settings& settings) {
  membership_times times;
  times.suspicion = settings.suspicion;
  return times;
}

std::optional<http::request> http_request(const forwarded_request& from) {
  http::request ask;
  ask.method = from.method;
  ask.target = from.target;
  ask.path = from.target.substr(0, from.target.find('?'));
  ask.headers = {{"Authorization", from.authorization}};
  ask.body = from.body;
  return ask;
}

}  // namespace

node::node(asio::io_context& context, node_settings given, std::function<void()> stopped_hook)
    : settings(std::move(given)),
      time(context),
      self{this->settings.host, incarnation(make_incarnation_number())},
      platform(this->settings.platform),
      shards(this->settings.shards, this->self, ownership_times{}),
      documents(this->time, this->platform, this->audit, this->settings.host.get()),
      map(this->time, this->platform, this->settings.shards),
      clients({this->settings.memory_mb * bytes_per_mb, this->settings.max_descriptors}),
      on_stopped(std::move(stopped_hook)) {
  this->peers =
      std::make_unique<peer_network>(this->settings.peer_listen, this->make_peer_handlers());
  http::server_limits limits;
  limits.body_bytes = this->settings.largest_body;
  limits.copies_in_service = copies_of_body;
  const auto& registry = this->clients.registry();
  const std::size_t most = this->clients.limits().call_connections;
  this->server = std::make_unique<http::server>(
      context, this->settings.listen, limits,
      [this](const http::request& ask, http::exchange& reply) { return this->serve(ask, reply); },
      [](error_kind kind, std::string_view detail) { return error_response(kind, detail); },
      http::server_clients{registry, registry->add_listener("callers", most)});
  member self_member;
  self_member.id = this->self;
  self_member.zone = this->settings.zone;
  self_member.front_address = http::to_string(this->server->where());
  self_member.peer_address = this->peers->where();
  this->hosts = std::make_unique<host_view>(self_member, membership_times_from(this->settings));
  this->runner =
      std::make_unique<call_runner>(this->time, this->shards, this->backends, this->calls,
                                    this->settings.memory_mb * bytes_per_mb / answer_share);
  this->ownership = std::make_unique<ownership_manager>(this->time, this->shards, *this->hosts,
                                                        this->settings.replicas);
  this->connect_hooks();
  this->peers->set_self(this->self);
  this->start_platform_tasks();
  asio::co_spawn(asio::make_strand(context), this->probe_hosts(), asio::detached);
  asio::co_spawn(asio::make_strand(context), this->maintain_shards(), asio::detached);
  asio::co_spawn(asio::make_strand(context), this->end_idle_programs(), asio::detached);
  log(event::started, {{"front", self_member.front_address},
                       {"peer", self_member.peer_address},
                       {"incarnation", std::to_string(this->self.start.get())}});
}

node::~node() {
  // Close the network first, since handlers of messages that arrive until then use the members.
  this->peers.reset();
}

http::endpoint node::front_address() const { return this->server->where(); }

std::string node::peer_address() const { return this->peers->where(); }

bool node::ready() const { return this->documents.ready() && this->map.has_read(); }

peer_handlers node::make_peer_handlers() {
  peer_handlers handlers;
  handlers.on_shard = [this](const host_incarnation& from, shard_id shard,
                             const shard_message& message) {
    if (!this->shards.has(shard)) {
      return;
    }
    this->shards.change(
        shard, [&](shard_core& core) { return core.receive(from, message, this->time.now()); });
  };
  handlers.on_probe = [this](const probe_message& message) { this->handle_probe(message); };
  handlers.on_forward = [this](const forwarded_request& request, const forward_reply& reply) {
    asio::co_spawn(asio::make_strand(this->time.context), this->serve_forwarded(request, reply),
                   asio::detached);
  };
  return handlers;
}

void node::connect_hooks() {
  shard_hooks hooks;
  hooks.send = [this](shard_id shard, const send_message& message) {
    if (const auto host = this->hosts->find(message.to.host); host && host->id == message.to) {
      this->peers->send_shard(host->peer_address, this->self, message.to, shard, message.message);
    }
  };
  hooks.propose = [this](shard_id shard, const propose_assignment& proposal) {
    this->map.propose(shard, proposal);
  };
  hooks.dispatch = [this](shard_id shard, const dispatch_call& order) {
    this->runner->dispatch(shard, order);
  };
  hooks.answer = [this](call_id call, call_answer answer) {
    this->runner->drop(call);
    this->calls.complete(call, std::move(answer));
  };
  hooks.role = [this](shard_id shard, const role_changed& change) {
    this->record_role_change(shard, change);
  };
  hooks.release = [this](const release_program& item) { this->runner->release(item.program); };
  hooks.broken = [this](shard_id shard, const std::string& what) {
    ++this->broken;
    log(event::invariant_broken, {{"shard", std::to_string(shard.get())}, {"detail", what}});
  };
  this->shards.set_hooks(std::move(hooks));

  this->map.on_entry([this](shard_id shard, const assignment& entry) {
    this->shards.change(
        shard, [&](shard_core& core) { return core.observe_assignment(entry, this->time.now()); });
  });
  this->map.on_proposal([this](shard_id shard, const assignment& expected, proposal_outcome outcome,
                               const std::optional<assignment>& current) {
    this->shards.change(shard, [&](shard_core& core) {
      return core.proposal_ended(expected, outcome, current, this->time.now());
    });
  });

  front_dependencies dependencies{this->time,
                                  this->shards,
                                  *this->hosts,
                                  this->documents,
                                  *this->runner,
                                  this->calls,
                                  this->settings.address_time,
                                  {},
                                  {}};
  dependencies.forward = [this](const std::string& address, const forwarded_request& request,
                                forward_reply reply) {
    constexpr duration limit = std::chrono::minutes(30);
    this->peers->forward(address, request, limit, std::move(reply));
  };
  dependencies.accepting = [this] { return !this->leaving && this->ready(); };
  this->front = std::make_unique<front_routes>(std::move(dependencies));
  admin_dependencies operator_dependencies{this->time,
                                           this->shards,
                                           *this->hosts,
                                           this->documents,
                                           this->backends,
                                           this->audit,
                                           this->platform,
                                           this->settings.operator_credential,
                                           {}};
  operator_dependencies.drain = [this](const std::string& who) { this->stop(who); };
  this->admin = std::make_unique<admin_routes>(std::move(operator_dependencies));
}

asio::awaitable<void> node::serve(const http::request& ask, http::exchange& reply) {
  if (front_routes::handles_path(ask.path)) {
    co_await this->front->handle(ask, reply, false);
    co_return;
  }
  if (admin_routes::handles_path(ask.path)) {
    co_await this->admin->handle(ask, reply);
    co_return;
  }
  http::response answer = this->health(ask.path);
  co_await reply.respond(std::move(answer));
}

asio::awaitable<void> node::serve_forwarded(forwarded_request request, forward_reply to) {
  forwarded_exchange reply(std::move(to));
  const auto ask = http_request(request);
  co_await this->front->handle(*ask, reply, true);
}

http::response node::health(const std::string& path) {
  http::response answer;
  answer.content_type = "text/plain";
  if (path == "/healthz") {
    answer.body = "ok\n";
    return answer;
  }
  if (path == "/readyz") {
    const bool usable = this->ready() && !this->leaving;
    answer.status = usable ? 200 : answer_for(error_kind::not_ready).http_status;
    answer.body = usable ? "ready\n" : (this->leaving ? "leaving\n" : "not ready\n");
    return answer;
  }
  if (path == "/metrics") {
    answer.body = this->metrics();
    return answer;
  }
  return error_response(error_kind::not_found, path);
}

std::string node::metrics() const {
  std::string text;
  const auto add = [&text](std::string_view name, std::string_view type, auto value) {
    text += fmt::format("# TYPE hawthornlane_{0} {1}\nhawthornlane_{0} {2}\n", name, type, value);
  };
  add("shards_owned", "gauge", this->ownership->owned());
  add("calls_open", "gauge", this->calls.size());
  add("calls_running", "gauge", this->runner->running());
  add("tokens_relayed_total", "counter", this->runner->tokens_relayed());
  add("responses_malformed_total", "counter", this->runner->malformed_responses());
  add("takeovers_total", "counter", this->takeovers.load());
  add("invariants_broken_total", "counter", this->broken.load());
  add("control_bytes_sent_total", "counter", this->peers->control_bytes_sent());
  add("shard_bytes_sent_total", "counter", this->peers->shard_bytes_sent());
  add("shard_messages_sent_total", "counter", this->peers->shard_messages_sent());
  add("audit_entries_dropped_total", "counter", this->audit.dropped());
  this->clients.add_metrics(
      [&add](const std::string& name, std::uint64_t value) { add(name, "gauge", value); });
  return text;
}

void node::record_role_change(shard_id shard, const role_changed& change) {
  using change_kind = role_changed::change;
  struct row {
    change_kind what;
    event number;
    std::string_view name;
  };
  static constexpr std::array rows{
      row{change_kind::serving, event::shard_serving, "shard.takeover"},
      row{change_kind::serving_incomplete, event::shard_serving_incomplete, "shard.takeover"},
      row{change_kind::completed, event::shard_completed, "shard.completed"},
      row{change_kind::deposed, event::shard_deposed, "shard.deposed"},
      row{change_kind::degraded, event::shard_degraded, "shard.degraded"},
      row{change_kind::restored, event::shard_restored, "shard.restored"}};
  const row& found = rows.at(static_cast<std::size_t>(change.what));
  const std::string number = std::to_string(shard.get());
  const std::string at = std::to_string(change.at.get());
  log(found.number, {{"shard", number}, {"epoch", at}});
  const bool taken =
      change.what == change_kind::serving || change.what == change_kind::serving_incomplete;
  this->takeovers += taken ? 1 : 0;
  if (taken || change.what == change_kind::deposed) {
    this->audit.add({this->time.wall_clock_ms(), this->self.host.get(), "hawthornlane",
                     std::string(found.name), "shard " + number, "", "epoch " + at,
                     change.what == change_kind::serving_incomplete ? "log may have a gap" : "ok"});
  }
}

// --- hosts -------------------------------------------------------------------

void node::carry_out(const membership_actions& todo) {
  for (const send_probe& probe : todo.probes) {
    this->peers->send_probe(probe.address, probe.message);
  }
  for (const member_changed& change : todo.changes) {
    const bool alive = change.now.state == member_state::alive;
    log(alive ? event::peer_alive : event::peer_suspected,
        {{"peer", change.now.id.host.get()},
         {"state", std::to_string(static_cast<int>(change.now.state))}});
    if (change.now.state != member_state::gone) {
      continue;
    }
    for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
      this->shards.change(shard_id(shard), [&change](shard_core& core) {
        core.host_gone(change.now.id);
        return actions{};
      });
    }
  }
}

void node::handle_probe(const probe_message& message) {
  if (!this->hosts) {
    return;
  }
  this->documents.apply_copies(message.documents);
  this->hosts->set_documents(this->documents.digest(), this->documents.ready());
  if (message.what == probe_message::kind::documents) {
    if (!message.document_generations.empty() || message.documents.empty()) {
      this->send_documents(message);
    }
    return;
  }
  this->carry_out(this->hosts->receive(message, this->time.now()));
  const bool differs = message.documents_digest != this->documents.digest();
  if (differs && message.what == probe_message::kind::ping) {
    probe_message ask;
    ask.what = probe_message::kind::documents;
    ask.from = this->self;
    ask.reply_to = this->hosts->self().peer_address;
    ask.document_generations = this->documents.document_generations();
    this->peers->send_probe(message.reply_to, ask);
  } else if (!differs && !this->documents.ready() && message.documents_current) {
    this->documents.mark_complete();
  }
}

void node::send_documents(const probe_message& document_request) {
  probe_message copies;
  copies.what = probe_message::kind::documents;
  copies.from = this->self;
  copies.reply_to = this->hosts->self().peer_address;
  copies.documents = this->documents.newer_than(document_request.document_generations);
  if (!copies.documents.empty()) {
    this->peers->send_probe(document_request.reply_to, copies);
  }
}

asio::awaitable<void> node::wait(duration period) {
  asio::steady_timer timer(this->time.context);
  timer.expires_after(period);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> node::probe_hosts() {
  std::size_t next_seed = 0;
  while (!this->stopped) {
    this->hosts->set_documents(this->documents.digest(), this->documents.ready());
    this->carry_out(this->hosts->tick(this->time.now(), this->time.random()));
    if (this->hosts->all().size() == 1 && !this->settings.seeds.empty()) {
      probe_message initial_probe;
      initial_probe.from = this->self;
      initial_probe.reply_to = this->hosts->self().peer_address;
      initial_probe.updates = {this->hosts->self()};
      this->peers->send_probe(this->settings.seeds[next_seed++ % this->settings.seeds.size()],
                              initial_probe);
    }
    co_await this->wait(membership_times{}.period);
  }
}

// --- shards and programs -----------------------------------------------------

asio::awaitable<void> node::maintain_shards() {
  timestamp next_ownership_round = this->time.now() + ownership_interval;
  std::size_t round = 0;
  while (!this->stopped) {
    this->ownership->tick();
    if (this->time.now() >= next_ownership_round) {
      next_ownership_round = this->time.now() + ownership_interval;
      if (this->map.has_read() && !this->leaving) {
        this->ownership->claim_orphans();
      }
      this->ownership->maintain_replicas();
      if (++round % rounds_per_rebalance == 0 && !this->leaving) {
        this->ownership->rebalance(max_moves_per_round);
      }
    }
    co_await this->wait(shard_tick_interval);
  }
}

asio::awaitable<void> node::end_idle_programs() {
  struct idle_program {
    program_id program;
    shard_id shard;
    bool closed = false;
  };
  while (!this->stopped) {
    co_await this->wait(idle_check_interval);
    const timestamp now = this->time.now();
    this->runner->tick();
    this->clients.tick();
    std::vector<idle_program> due;
    std::map<program_id, std::pair<std::size_t, timestamp>> seen;
    this->shards.read_all([&](const shard_core& core) {
      if (!core.serving() || !core.log()) {
        return;
      }
      for (const auto& [id, program] : core.log()->state.programs) {
        const std::size_t progress = program.turns.size() + program.abandoned.size() +
                                     (program.closed ? 1 : 0) + (program.open_intent ? 1 : 0);
        const auto before = this->activity.find(id);
        const bool same = before != this->activity.end() && before->second.first == progress;
        const timestamp since = same ? before->second.second : now;
        seen[id] = {progress, since};
        const auto document = this->documents.find(program.opened.service);
        const duration idle_time = document ? document->idle_time : duration(std::chrono::hours(8));
        const duration allowed = program.closed ? this->settings.keep_answers : idle_time;
        if (!program.open_intent && now - since > allowed) {
          due.push_back({id, core.shard(), program.closed});
        }
      }
    });
    this->activity = std::move(seen);
    for (const idle_program& item : due) {
      this->shards.change(item.shard, [&](shard_core& core) {
        return item.closed ? core.remove_program(item.program, now)
                           : core.close_program(call_id(0), item.program, now);
      });
    }
  }
}

// --- planned stop ------------------------------------------------------------

void node::stop(const std::string& who) {
  if (this->leaving.exchange(true)) {
    return;
  }
  log(event::stopping, {{"who", who}});
  this->audit.add({this->time.wall_clock_ms(), this->self.host.get(), who, "host.drain",
                   this->self.host.get(), "", "leaving", "begun"});
  this->hosts->leave();
  asio::co_spawn(asio::make_strand(this->time.context), this->leave(), asio::detached);
}

asio::awaitable<void> node::leave() {
  const timestamp began = this->time.now();
  timestamp successor_seen = began;
  while (this->time.now() - began < max_shutdown_time) {
    const std::size_t owned = this->ownership->hand_over_all();
    if (!this->hosts->usable().empty()) {
      successor_seen = this->time.now();
    }
    if (this->time.now() - successor_seen > max_wait_for_successor && this->calls.size() == 0) {
      log(event::stopped_with_shards, {{"shards", std::to_string(owned)}});
      break;
    }
    // Only callers' calls count here; an operator's request may still be in flight.
    const bool idle = this->calls.size() == 0 && this->runner->running() == 0;
    if (owned == 0 && idle) {
      break;
    }
    co_await this->wait(shutdown_check_interval);
  }
  // Callers may use this host's address for up to `address_time` after they received it, so the
  // host answers them until then.
  const timestamp handed_over = this->time.now();
  while (this->time.now() - handed_over < this->settings.address_time || this->calls.size() > 0 ||
         this->server->active() > 0) {
    if (this->time.now() - handed_over > max_shutdown_time) {
      break;
    }
    co_await this->wait(shutdown_check_interval);
  }
  this->server->stop_accepting();
  while (!this->audit.unstored(1).empty() && this->platform.reachable() &&
         this->time.now() - handed_over < max_shutdown_time) {
    co_await this->wait(shutdown_check_interval);
  }
  this->stopped = true;
  log(event::stopped);
  this->on_stopped();
}

}  // namespace hawthornlane
