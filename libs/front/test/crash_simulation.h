// Front hosts with their crash trackers, one ledger and backend servers, on one event loop.
#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornlane/front/crash_tracker.h"
#include "hawthornlane/net/async_signal.h"

namespace hawthornlane::front {

/// What the disks of the ledger hold; always consistent, since the ledger has its own tests.
struct simulated_ledger {
  std::map<program_id, std::map<request_id, ledger_record>> programs;
  int withdrawals = 0;

  void apply(const turn_request& turn, reservation_phase phase, token_count used) {
    constexpr std::int64_t never = std::int64_t{1} << 60;
    ledger_record record;
    record.program = turn.program;
    record.state = {turn.id, turn.max_output_tokens, used, phase};
    record.expires_at = wall_ms(never);
    this->withdrawals += phase == reservation_phase::withdrawn ? 1 : 0;
    auto& known = this->programs[turn.program].try_emplace(turn.id, record).first->second;
    if (phase > known.state.phase) {
      known = record;
    }
  }
  [[nodiscard]] std::int64_t charged(const program_id& program) const {
    std::int64_t sum = 0;
    const auto found = this->programs.find(program);
    if (found == this->programs.end()) {
      return 0;
    }
    for (const auto& [id, record] : found->second) {
      sum += record.state.charge().get();
    }
    return sum;
  }
};

/// A host's access to the ledger. While the host is cut off, it admits nothing and keeps the rest.
/// What it has written while the disk hosts were away reaches them some time after their return,
/// one write at a time (`deliver_late_write`), unlike what it writes then.
class ledger_access final : public turn_store {
public:
  ledger_access(boost::asio::io_context& io, simulated_ledger& shared)
      : context(io), ledger(shared) {}

  boost::asio::awaitable<turn_admission> admit(turn_request turn, net::steady_time) override {
    turn_admission result;
    if (this->cut_off || this->disks_away) {
      co_return result;
    }
    this->ledger.apply(turn, reservation_phase::open, token_count(0));
    const bool fits = this->ledger.charged(turn.program) <= turn.budget->get();
    result.kind = fits ? admission_kind::admitted : admission_kind::over_budget;
    if (!fits) {
      this->withdraw(turn);
    }
    co_return result;
  }
  boost::asio::awaitable<bool> settle(turn_request turn, turn_result result,
                                      net::steady_time until) override {
    const auto arrival = std::make_shared<net::async_signal>(this->context);
    this->apply(turn, reservation_phase::settled, result.used, [arrival] { arrival->wake(); });
    const bool is_late = this->cut_off || this->disks_away;
    const bool waits = until > std::chrono::steady_clock::now() + std::chrono::seconds(1);
    if (is_late && (this->cut_off || !waits)) {
      co_return false;
    }
    co_await arrival->wait();
    co_return true;
  }
  void store_origin(const turn_request&, const stream_origin&, net::steady_time,
                    std::function<void(bool)> done) override {
    done(true);
  }
  void withdraw(const turn_request& turn) override {
    this->apply(turn, reservation_phase::withdrawn, token_count(0));
  }
  void set_cut_off(bool cut) {
    this->cut_off = cut;
    for (; !cut && !this->kept.empty(); this->kept.erase(this->kept.begin())) {
      this->kept.front()();
    }
  }
  [[nodiscard]] bool is_cut_off() const { return this->cut_off; }
  void set_disks_away(bool away) { this->disks_away = away; }
  /// Delivers one of the writes that were made while the disk hosts were away.
  void deliver_late_write(std::size_t number) {
    if (this->disks_away || this->late.empty()) {
      return;
    }
    const auto write = this->late.begin() + static_cast<std::ptrdiff_t>(number % this->late.size());
    (*write)();
    this->late.erase(write);
  }

private:
  void apply(
      const turn_request& turn, reservation_phase phase, token_count used,
      const std::function<void()>& on_arrival = [] {}) {
    const auto write = [this, turn, phase, used, on_arrival] {
      this->ledger.apply(turn, phase, used);
      on_arrival();
    };
    if (this->cut_off) {
      this->kept.push_back(write);
    } else if (this->disks_away) {
      this->late.push_back(write);
    } else {
      write();
    }
  }

  boost::asio::io_context& context;
  simulated_ledger& ledger;
  bool cut_off = false;
  bool disks_away = false;
  std::vector<std::function<void()>> kept;
  std::vector<std::function<void()>> late;
};

/// What callers and servers observe of one request's content.
struct simulated_request {
  request_fingerprint content;
  bool ends_servers = false;
  /// Its hosts give up before their servers begin with it (`arrive_late`).
  bool is_late = false;
  std::set<backend_server_id> ended;
  int arrivals = 0;
  int late_arrivals = 0;
};

/// How an attempt ended.
enum class simulated_answer : std::uint8_t { served, failed, blocked, not_now, not_ready };

class crash_simulation {
public:
  crash_simulation(int host_count, int server_count, std::uint64_t seed) : random(seed) {
    for (int number = 0; number < host_count; ++number) {
      this->hosts.push_back(std::make_unique<host>(this->context, this->ledger));
      this->start(number);
    }
    for (int number = 0; number < server_count; ++number) {
      this->add_server();
    }
    this->settle();
  }

  /// Loses what the host has in memory.
  void restart(int number) {
    this->hosts.at(number)->tracker.reset();
    this->start(number);
    this->settle();
  }
  void set_cut_off(int number, bool cut) {
    this->hosts.at(number)->ledger.set_cut_off(cut);
    this->settle();
  }
  [[nodiscard]] bool is_cut_off(int number) const {
    return this->hosts.at(number)->ledger.is_cut_off();
  }
  /// Makes all disk hosts of the ledger unreachable, or brings them back.
  void set_disks_away(bool away) {
    for (const auto& item : this->hosts) {
      item->ledger.set_disks_away(away);
    }
    this->disks_are_away = away;
  }
  void deliver_late_write() {
    this->hosts.at(this->random_index(this->hosts.size()))
        ->ledger.deliver_late_write(this->random());
  }
  /// The servers begin with the requests that their hosts have given up.
  void arrive_late() {
    for (const late_run& run : std::exchange(this->late_runs, {})) {
      if (this->servers.contains(run.server)) {
        this->arrive(*run.request);
        this->crash(run.server);
        this->listed.erase(run.server);
        run.request->ended.insert(run.server);
      }
    }
    this->settle();
  }
  /// Ends a server with all calls on it, and starts another one.
  void crash(const backend_server_id& id) {
    if (this->servers.erase(id) > 0) {
      this->add_server();
    }
  }
  void crash_any() { this->crash(this->any_server()); }

  /// Starts an attempt; `answer` is set once it has ended.
  void attempt(int number, simulated_request& request,
               const std::shared_ptr<std::optional<simulated_answer>>& answer) {
    boost::asio::co_spawn(this->context, this->run(number, request, answer), boost::asio::detached);
  }
  simulated_answer attempt(int number, simulated_request& request) {
    const auto answer = std::make_shared<std::optional<simulated_answer>>();
    this->attempt(number, request, answer);
    this->settle();
    return answer->value();
  }
  /// Lets all hosts do what is due, and waits until nothing is left to do.
  void settle() {
    this->context.restart();
    this->context.poll();
    this->now += std::chrono::milliseconds(500);
    for (const auto& item : this->hosts) {
      item->tracker->tick(this->now);
    }
    this->context.poll();
  }
  /// Runs a few steps of what is in progress.
  void step() {
    this->context.restart();
    this->context.poll_one();
  }
  [[nodiscard]] std::size_t random_index(std::size_t count) { return this->random() % count; }
  /// Messages between hosts, and withdrawals at the ledger, so far.
  [[nodiscard]] int messages() const { return this->messages_sent; }
  [[nodiscard]] int withdrawals() const { return this->ledger.withdrawals; }
  [[nodiscard]] crash_tracker& tracker(int number) { return *this->hosts.at(number)->tracker; }

private:
  struct host {
    host(boost::asio::io_context& io, simulated_ledger& shared) : ledger(io, shared) {}
    ledger_access ledger;
    call_metrics metrics;
    std::unique_ptr<crash_tracker> tracker;
    bool is_ready = false;
  };

  struct late_run {
    simulated_request* request = nullptr;
    backend_server_id server;
  };

  static void arrive(simulated_request& request) {
    ++request.arrivals;
    request.late_arrivals += request.ended.size() >= crash_table::max_crashes ? 1 : 0;
  }

  static host_id name_of(int number) { return host_id("host-" + std::to_string(number)); }

  void start(int number) {
    host& item = *this->hosts.at(number);
    item.tracker = std::make_unique<crash_tracker>(this->context, item.ledger, item.metrics,
                                                   this->hooks_of(number));
  }
  void add_server() {
    const backend_server_id id("server-" + std::to_string(++this->servers_made));
    backend_entry entry;
    entry.id = id;
    entry.version = software_version("v1");
    this->servers[id] = entry;
    this->listed[id] = entry;
  }
  backend_server_id any_server() {
    return std::next(this->servers.begin(),
                     static_cast<std::ptrdiff_t>(this->random_index(this->servers.size())))
        ->first;
  }

  crash_hooks hooks_of(int number) {
    crash_hooks hooks;
    hooks.hosts = [this, number] {
      std::vector<host_id> live;
      for (int other = 0; other < static_cast<int>(this->hosts.size()); ++other) {
        if (other != number && !this->is_cut_off(other) && !this->is_cut_off(number)) {
          live.push_back(name_of(other));
        }
      }
      return live;
    };
    hooks.send = [this, number](const host_id& to, const std::string& payload, net::rpc_done done) {
      ++this->messages_sent;
      boost::asio::post(this->context, [this, number, to, payload, done] {
        int other = 0;
        while (name_of(other) != to) {
          ++other;
        }
        if (this->is_cut_off(other) || this->is_cut_off(number)) {
          done(net::rpc_failure::unknown, {});
          return;
        }
        done(net::rpc_failure::none, this->tracker(other).serve(payload).value_or(""));
      });
    };
    hooks.check_listening = [this](http::endpoint where,
                                   duration) -> boost::asio::awaitable<relay::listening_state> {
      co_await this->yield();
      co_return this->servers.contains(backend_server_id(where.address))
          ? relay::listening_state::listening
          : relay::listening_state::refused;
    };
    hooks.entry_of = [this](const backend_server_id& id) {
      const auto found = this->listed.find(id);
      return found == this->listed.end() ? nullptr : &found->second;
    };
    hooks.disks = [this, number]() -> std::optional<ledger_set> {
      if (this->is_cut_off(number) || this->disks_are_away) {
        return std::nullopt;
      }
      return ledger_set{set_epoch(1), {disk_id("disk")}, {}};
    };
    hooks.read_disk = [this](const disk_id&, const std::string&, net::rpc_done done) {
      copy_page page;
      page.last = true;
      for (const auto& [program, records] : this->ledger.programs) {
        for (const auto& [id, record] : records) {
          page.records.push_back(record);
        }
      }
      boost::asio::post(this->context,
                        [done, bytes = to_bytes(page)] { done(net::rpc_failure::none, bytes); });
    };
    return hooks;
  }

  boost::asio::awaitable<void> yield() {
    co_await boost::asio::post(this->context, boost::asio::use_awaitable);
  }

  boost::asio::awaitable<void> run(int number, simulated_request& request,
                                   std::shared_ptr<std::optional<simulated_answer>> answer) {
    crash_tracker& tracker = this->tracker(number);
    if (!tracker.informed()) {
      *answer = simulated_answer::not_ready;
      co_return;
    }
    std::optional<suspected_run> granted;
    const crash_standing standing = tracker.standing(request.content);
    run_permission permission = run_permission::granted;
    if (standing == crash_standing::blocked) {
      permission = run_permission::blocked;
    } else if (standing == crash_standing::suspected) {
      permission = co_await tracker.begin_run(request.content, granted, net::never);
    }
    if (permission != run_permission::granted) {
      *answer = permission == run_permission::blocked ? simulated_answer::blocked
                                                      : simulated_answer::not_now;
      co_return;
    }
    backend_entry server = this->servers.at(this->any_server());
    server.address.address = server.id.get();
    if (request.is_late) {
      this->late_runs.push_back({&request, server.id});
      failed_run failed{request.content, server, granted, request_id("attempt"), false};
      co_await tracker.run_failed(std::move(failed), duration{});
      *answer = simulated_answer::failed;
      co_return;
    }
    arrive(request);
    constexpr int longest_call = 6;
    for (std::size_t left = 1 + this->random_index(longest_call); left > 0; --left) {
      co_await this->yield();
    }
    if (request.ends_servers) {
      this->crash(server.id);
    }
    if (this->servers.contains(server.id)) {
      tracker.run_answered(request.content, server.version, granted);
      *answer = simulated_answer::served;
      co_return;
    }
    request.ended.insert(server.id);
    failed_run failed{request.content, server, granted, request_id("attempt"), false};
    co_await tracker.run_failed(std::move(failed), duration{});
    *answer = simulated_answer::failed;
  }

  boost::asio::io_context context;
  std::mt19937_64 random;
  simulated_ledger ledger;
  std::vector<std::unique_ptr<host>> hosts;
  std::map<backend_server_id, backend_entry> servers;
  /// The store drops the entries of crashed servers later.
  std::map<backend_server_id, backend_entry> listed;
  std::vector<late_run> late_runs;
  int servers_made = 0;
  int messages_sent = 0;
  bool disks_are_away = false;
  net::steady_time now = std::chrono::steady_clock::now();
};

}  // namespace hawthornlane::front
