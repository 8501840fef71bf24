// Keeps a request from crashing one backend server after the other, over all front hosts.
#include "hawthornlane/front/crash_tracker.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// How long the caller of a failed run waits until the other hosts and the ledger know of the
/// crash.
constexpr auto publication_time = std::chrono::milliseconds(250);
/// A process that ends closes its port and its connections one after the other.
constexpr duration process_end_time = std::chrono::milliseconds(10);
/// How long a server is watched whose connection was cut off, after the caller has been answered.
constexpr duration late_end_time = std::chrono::seconds(1);
/// The store drops the entry of a crashed server after three reports of 1.2 s that are missing. One
/// that is still listed after this time was out of reach only.
constexpr auto confirmation_time = std::chrono::seconds(6);
/// Interval of attempts to bring other hosts up to date.
constexpr auto update_interval = std::chrono::milliseconds(400);
/// Intervals of exchanges with hosts whose checksums differ. It grows while they bring nothing new:
/// hosts forget crashes at slightly different times.
constexpr duration min_comparison_interval = std::chrono::milliseconds(50);
constexpr duration max_comparison_interval = std::chrono::seconds(10);
constexpr auto ledger_read_interval = std::chrono::milliseconds(100);
/// A host that has just started serves after this time even if it could not read the ledger.
constexpr auto max_uninformed_time = std::chrono::seconds(2);

/// Whole answers within the last minute for each crash, from which on the crashes have most likely
/// another cause.
constexpr std::size_t answers_per_crash = 3;

bool outweighs(std::size_t answers, std::size_t crashes) {
  return answers >= answers_per_crash * crashes;
}

server_process_key key_of(const backend_entry& server) {
  const std::string& id = server.id.get();
  return server_process_key(XXH64(id.data(), id.size(), server.start.get()));
}

std::string_view name_of(relay::listening_state state) {
  switch (state) {
    case relay::listening_state::listening:
      return "yes";
    case relay::listening_state::refused:
      return "no";
    case relay::listening_state::silent:
      return "no_answer";
  }
  return "";
}

crash_report report_on(const failed_run& failed, crash_state state) {
  crash_report report;
  report.request = failed.request;
  report.version = failed.server.version;
  report.crashes = {{key_of(failed.server), state}};
  return report;
}

void log_crash(const failed_run& failed, bool is_certain) {
  log(event::backend_crashed, {{"request", failed.attempt.get()},
                               {"content", text_of(failed.request)},
                               {"server", failed.server.id.get()},
                               {"server_start", std::to_string(failed.server.start.get())},
                               {"confirmed", is_certain ? "yes" : "no"},
                               {"alone", failed.run ? "yes" : "no"}});
}

}  // namespace

/// What has to end before the caller of a failed run is answered. Shared with the answer callbacks,
/// which may run later.
struct crash_tracker::publication {
  explicit publication(asio::io_context& context) : signal(context) {}
  net::async_signal signal;
  int pending = 0;

  void ended() {
    if (--this->pending == 0) {
      this->signal.wake();
    }
  }
};

crash_tracker::crash_tracker(asio::io_context& io, turn_store& turns, call_metrics& counters,
                             crash_hooks callbacks)
    : context(io),
      ledger(turns),
      metrics(counters),
      hooks(std::move(callbacks)),
      started_at(steady::now()) {}

asio::awaitable<void> crash_tracker::run_failed(failed_run failed, duration watch_time) {
  const duration longest = failed.is_cut_off ? watch_time : duration{};
  const duration time = std::max(longest, process_end_time);
  const relay::listening_state state =
      co_await this->hooks.check_listening(failed.server.address, time);
  const backend_entry* entry = this->hooks.entry_of(failed.server.id);
  const bool is_listed = !this->has_ended(failed.server);
  log(event::attempt_failed,
      {{"request", failed.attempt.get()},
       {"content", text_of(failed.request)},
       {"server", failed.server.id.get()},
       {"server_start", std::to_string(failed.server.start.get())},
       {"server_entry", !is_listed ? "gone" : (entry->draining ? "draining" : "ready")},
       {"listens", std::string(name_of(state))}});
  if (state == relay::listening_state::listening && failed.is_cut_off) {
    asio::co_spawn(this->context, this->watch_further(std::move(failed), this->lifetime),
                   asio::detached);
    co_return;
  }
  co_await this->conclude(std::move(failed), state);
}

asio::awaitable<void> crash_tracker::watch_further(failed_run failed, std::weak_ptr<bool> alive) {
  const relay::listening_state state =
      co_await this->hooks.check_listening(failed.server.address, late_end_time);
  if (!alive.expired()) {
    co_await this->conclude(std::move(failed), state);
  }
}

asio::awaitable<void> crash_tracker::conclude(failed_run failed, relay::listening_state state) {
  if (state == relay::listening_state::listening) {
    if (failed.run) {
      const bool is_listed = !this->has_ended(failed.server);
      this->unfinished.push_back({std::move(failed), steady::now() + confirmation_time, is_listed});
    }
    co_return;
  }
  const std::size_t answers =
      this->answered.count(failed.request, failed.server.version, discovery::scheduler_now());
  if (!outweighs(answers, this->table.crashes_of(failed.request) + 1)) {
    const bool is_certain =
        state == relay::listening_state::refused || this->has_ended(failed.server);
    co_await this->record_crash(std::move(failed), is_certain);
    co_return;
  }
  crash_report report = report_on(failed, crash_state::cleared);
  if (this->table.merge(report, discovery::scheduler_now())) {
    this->publish(report, [] {});
  }
  this->run_withdrawn(failed.run);
}

bool crash_tracker::has_ended(const backend_entry& server) const {
  const backend_entry* entry = this->hooks.entry_of(server.id);
  return entry == nullptr || entry->start != server.start;
}

asio::awaitable<void> crash_tracker::record_crash(failed_run failed, bool is_certain) {
  if (!is_certain) {
    this->unconfirmed.push_back({failed.request, failed.server, steady::now() + confirmation_time});
  }
  log_crash(failed, is_certain);
  const crash_state state = is_certain ? crash_state::confirmed : crash_state::unconfirmed;
  co_await this->record(report_on(failed, state), std::move(failed.run));
}

asio::awaitable<void> crash_tracker::record(crash_report report, std::optional<suspected_run> run) {
  this->table.merge(report, discovery::scheduler_now());
  this->metrics.count("crashes_recorded");
  if (this->standing(report.request) == crash_standing::blocked) {
    this->metrics.count("requests_blocked");
    log(event::request_blocked,
        {{"content", text_of(report.request)},
         {"crashes", std::to_string(this->table.crashed_under(report.request).size())}});
  }
  const auto state = std::make_shared<publication>(this->context);
  state->pending = 2;
  asio::co_spawn(this->context,
                 this->store({report.request, report.crashes.front().server}, std::move(run),
                             [state] { state->ended(); }),
                 asio::detached);
  this->publish(report, [state] { state->ended(); });
  co_await state->signal.wait_until(steady::now() + publication_time);
}

void crash_tracker::publish(const crash_report& report, std::function<void()> done) {
  const std::vector<host_id> hosts = this->hooks.hosts();
  if (hosts.empty()) {
    done();
    return;
  }
  const std::string payload = to_bytes(crash_message{{report}, false});
  const auto missing = std::make_shared<std::size_t>(hosts.size());
  const auto answers = std::make_shared<std::map<server_process_key, std::size_t>>();
  for (const host_id& host : hosts) {
    this->hooks.send(host, payload,
                     [this, alive = std::weak_ptr(this->lifetime), host, missing, answers, done,
                      request = report.request,
                      version = report.version](net::rpc_failure why, const std::string& bytes) {
                       if (!alive.expired()) {
                         std::vector<server_process_key> votes;
                         this->handle_answer(host, why, bytes, &votes);
                         for (const server_process_key server : votes) {
                           this->clear_if_outweighed(request, version, server,
                                                     ++(*answers)[server]);
                         }
                       }
                       if (--*missing == 0) {
                         done();
                       }
                     });
  }
}

void crash_tracker::clear_if_outweighed(const request_fingerprint& request,
                                        const software_version& version, server_process_key server,
                                        std::size_t other_hosts) {
  const std::size_t own = this->answered.count(request, version, discovery::scheduler_now());
  const bool is_cleared = this->table.state_of(request, server) == crash_state::cleared;
  if (!is_cleared && outweighs(own + other_hosts, this->table.crashes_of(request))) {
    this->clear(request, {server});
  }
}

bool crash_tracker::handle_answer(const host_id& from, net::rpc_failure why,
                                  const std::string& bytes,
                                  std::vector<server_process_key>* votes) {
  if (why != net::rpc_failure::none) {
    this->up_to_date.erase(from);
    return false;
  }
  auto message = from_bytes<crash_message>(bytes);
  if (!message) {
    return false;
  }
  bool is_new = false;
  for (crash_report& report : message->reports) {
    const auto is_vote = [&](const crash_mark& mark) {
      const auto known = this->table.state_of(report.request, mark.server);
      return votes != nullptr && mark.state == crash_state::cleared && known &&
             *known != crash_state::cleared;
    };
    for (const crash_mark& mark : report.crashes) {
      if (is_vote(mark)) {
        votes->push_back(mark.server);
      }
    }
    std::erase_if(report.crashes, is_vote);
    is_new |= this->table.merge(report, discovery::scheduler_now());
  }
  return is_new;
}

crash_report crash_tracker::merged(const crash_report& report) {
  const timestamp now = discovery::scheduler_now();
  this->table.merge(report, now);
  crash_report known = this->table.report_of(report.request, now);
  if (!this->answered.contains(report.request, report.version, now)) {
    return known;
  }
  for (crash_mark& mark : known.crashes) {
    const bool is_reported =
        std::any_of(report.crashes.begin(), report.crashes.end(),
                    [&mark](const crash_mark& item) { return item.server == mark.server; });
    if (is_reported && precedence_of(mark.state) < precedence_of(crash_state::excused)) {
      mark.state = crash_state::cleared;
    }
  }
  return known;
}

void crash_tracker::clear(const request_fingerprint& request,
                          const std::vector<server_process_key>& servers) {
  crash_report report = this->table.report_of(request, discovery::scheduler_now());
  report.crashes.clear();
  for (const server_process_key server : servers) {
    report.crashes.push_back({server, crash_state::cleared});
    this->ledger.withdraw(crash_record_of(request, server));
  }
  this->table.merge(report, discovery::scheduler_now());
  this->metrics.count("crashes_cleared", servers.size());
  this->publish(report, [] {});
}

void crash_tracker::excuse(const request_fingerprint& request,
                           const std::vector<server_process_key>& servers) {
  crash_report report = this->table.report_of(request, discovery::scheduler_now());
  report.crashes.clear();
  for (const server_process_key server : servers) {
    if (this->table.state_of(request, server) == crash_state::confirmed) {
      report.crashes.push_back({server, crash_state::excused});
    }
  }
  if (report.crashes.empty()) {
    return;
  }
  this->table.merge(report, discovery::scheduler_now());
  this->metrics.count("crashes_excused", report.crashes.size());
  this->publish(report, [] {});
}

void crash_tracker::run_answered(const request_fingerprint& request,
                                 const software_version& version,
                                 const std::optional<suspected_run>& run) {
  this->answered.add(request, version, discovery::scheduler_now());
  if (!run) {
    return;
  }
  this->run_withdrawn(run);
  // A crash that was recorded during this run is not excused by it.
  this->excuse(request, run->crashed_before);
}

void crash_tracker::run_withdrawn(const std::optional<suspected_run>& run) {
  if (run) {
    this->ledger.withdraw(run->reservation);
  }
}

std::optional<std::string> crash_tracker::serve(const std::string& payload) {
  const auto message = from_bytes<crash_message>(payload);
  if (!message) {
    return std::nullopt;
  }
  crash_message answer;
  for (const crash_report& report : message->reports) {
    const crash_report known = this->merged(report);
    if (!message->wants_all) {
      answer.reports.push_back(known);
    }
  }
  if (message->wants_all) {
    answer.reports = this->table.reports(discovery::scheduler_now());
  }
  return to_bytes(answer);
}

void crash_tracker::compare(const host_id& other, std::uint64_t checksum) {
  const net::steady_time now = steady::now();
  if (checksum == this->table.checksum() || now < this->next_comparison) {
    return;
  }
  if (now - this->next_comparison > max_comparison_interval) {
    this->comparison_interval = {};
  }
  this->comparison_interval =
      std::clamp(this->comparison_interval * 2, min_comparison_interval, max_comparison_interval);
  this->next_comparison = now + this->comparison_interval;
  this->send(other, {this->table.reports(discovery::scheduler_now()), true});
}

void crash_tracker::send(const host_id& to, const crash_message& message) {
  this->hooks.send(
      to, to_bytes(message),
      [this, alive = std::weak_ptr(this->lifetime), to, wants_all = message.wants_all](
          net::rpc_failure why, const std::string& bytes) {
        std::vector<server_process_key> votes;
        if (!alive.expired() && this->handle_answer(to, why, bytes, wants_all ? nullptr : &votes)) {
          this->comparison_interval = {};
        }
      });
}

void crash_tracker::tick(net::steady_time now) {
  if (!this->is_informed && now >= this->next_ledger_read) {
    this->next_ledger_read = now + ledger_read_interval;
    this->is_informed = now - this->started_at >= max_uninformed_time;
    this->read_ledger();
  }
  this->resolve_unconfirmed(now);
  this->resolve_unfinished(now);
  if (now >= this->next_update) {
    this->next_update = now + update_interval;
    this->table.expire(discovery::scheduler_now());
    std::erase_if(this->stored, [this](const crash_key& crash) {
      return !this->table.state_of(crash.first, crash.second);
    });
    this->update_other_hosts();
  }
}

void crash_tracker::resolve_unconfirmed(net::steady_time now) {
  for (auto item = this->unconfirmed.begin(); item != this->unconfirmed.end();) {
    const bool is_certain = this->has_ended(item->server);
    if (!is_certain && now < item->until) {
      ++item;
      continue;
    }
    if (is_certain) {
      crash_report report = this->table.report_of(item->request, discovery::scheduler_now());
      report.crashes = {{key_of(item->server), crash_state::confirmed}};
      this->table.merge(report, discovery::scheduler_now());
      this->publish(report, [] {});
    } else {
      this->clear(item->request, {key_of(item->server)});
    }
    item = this->unconfirmed.erase(item);
  }
}

void crash_tracker::resolve_unfinished(net::steady_time now) {
  for (auto item = this->unfinished.begin(); item != this->unfinished.end();) {
    const bool has_crashed = item->was_listed && this->has_ended(item->failed.server);
    if (!has_crashed && now < item->until) {
      ++item;
      continue;
    }
    if (has_crashed) {
      asio::co_spawn(this->context, this->record_crash(std::move(item->failed), true),
                     asio::detached);
    } else {
      this->run_withdrawn(item->failed.run);
    }
    item = this->unfinished.erase(item);
  }
}

void crash_tracker::update_other_hosts() {
  const std::vector<host_id> hosts = this->hooks.hosts();
  const std::set<host_id> live(hosts.begin(), hosts.end());
  std::erase_if(this->up_to_date, [&live](const host_id& host) { return !live.contains(host); });
  if (this->table.size() == 0) {
    this->up_to_date = live;
    return;
  }
  for (const host_id& host : hosts) {
    if (this->up_to_date.insert(host).second) {
      this->send(host, {this->table.reports(discovery::scheduler_now()), false});
    }
  }
}

}  // namespace hawthornlane::front
