// Measurements for docs/CAPACITY.md: for each role, time and memory per unit of work at several
// numbers of units, for a linear fit. CSV on standard output.
#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <random>
#include <set>
#include <vector>

#include "hawthornlane/accounts/account_table.h"
#include "hawthornlane/document/service_document.h"
#include "hawthornlane/limits/credit_split.h"
#include "hawthornlane/limits/quota_lease.h"
#include "hawthornlane/limits/quota_manager.h"
#include "hawthornlane/limits/quota_round.h"
#include "hawthornlane/membership/membership_core.h"
#include "hawthornlane/ownership/placement.h"
#include "hawthornlane/ownership/shard_core.h"
#include "hawthornlane/peer/wire.h"
#include "hawthornlane/placement/server_pool.h"
#include "hawthornlane/rollout/rollout_core.h"
#include "hawthornlane/routing/scheduler.h"

namespace {

using namespace hawthornlane;
using steady = std::chrono::steady_clock;

/// Mean duration of `count` runs of `work`, microseconds.
template <class Work>
double mean_us(std::size_t count, Work work) {
  const auto began = steady::now();
  for (std::size_t at = 0; at < count; ++at) {
    work(at);
  }
  return std::chrono::duration<double, std::micro>(steady::now() - began).count() /
         static_cast<double>(count);
}

void print(const char* what, std::size_t size, const char* unit, double value) {
  fmt::print("{},{},{},{:.4g}\n", what, size, unit, value);
}

host_incarnation host(std::size_t number) {
  return {host_id("host-" + std::to_string(number)), incarnation(number + 1)};
}

/// A shard owner and two replicas that answer without delay.
class replicated_shard {
public:
  replicated_shard() {
    for (std::size_t at = 0; at < 3; ++at) {
      this->cores.emplace_back(shard_id(1), host(at));
    }
    this->carry_out(0, this->cores[0].claim({host(1), host(2)}, 7, this->now));
  }

  void carry_out(std::size_t at, const actions& todo) {
    for (const action& item : todo) {
      if (const auto* message = std::get_if<send_message>(&item)) {
        const std::size_t to = message->to.start.get() - 1;
        ++this->messages;
        if (this->count_bytes) {
          this->bytes += to_bytes(message->message).size();
        }
        this->carry_out(to, this->cores[to].receive(host(at), message->message, this->now));
      } else if (const auto* proposal = std::get_if<propose_assignment>(&item)) {
        this->carry_out(
            at, this->cores[at].proposal_ended(proposal->expected, proposal_outcome::applied,
                                               proposal->desired, this->now));
      } else if (const auto* answer = std::get_if<answer_call>(&item)) {
        this->next = answer->answer.next.value_or(this->next);
      }
    }
  }

  void open(const program_id& program) {
    program_opened record;
    record.program = program;
    record.account = client_account("a");
    record.limits = {token_count(100'000'000), 1'000'000, 100, 1'000'000};
    this->carry_out(0, this->cores[0].open_program(call_id(1), record, 11, this->now));
  }

  void turn(const program_id& program, std::size_t answer_bytes) {
    call_request request;
    request.call = call_id(++this->calls);
    request.program = program;
    request.account = client_account("a");
    request.presented = this->next;
    request.reserved = token_count(100);
    this->carry_out(0, this->cores[0].begin_call(request, 1, this->now));
    call_result result;
    result.call = request.call;
    result.request = std::string(answer_bytes / 2, 'q');
    result.answer = std::string(answer_bytes / 2, 'a');
    this->carry_out(0, this->cores[0].finish_call(result, 1000 + this->calls, this->now));
  }

  std::vector<shard_core> cores;
  timestamp now{};
  ticket next;
  std::uint64_t calls = 1;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  bool count_bytes = false;
};

void owner_slopes() {
  for (const std::size_t bytes : {400U, 4000U, 40000U}) {
    replicated_shard shard;
    const program_id program = make_program_id(shard_id(1), 1);
    shard.open(program);
    const double us = mean_us(200, [&](std::size_t) { shard.turn(program, bytes); });
    print("turn: owner and two replicas, all cores; bytes kept", bytes, "us/turn", us);
    replicated_shard counted;
    counted.open(program);
    counted.count_bytes = true;
    const std::uint64_t before = counted.messages;
    for (int turn = 0; turn < 50; ++turn) {
      counted.turn(program, bytes);
    }
    print("turn: messages; bytes kept", bytes, "messages/turn",
          static_cast<double>(counted.messages - before) / 50);
    print("turn: wire; bytes kept", bytes, "bytes/turn", static_cast<double>(counted.bytes) / 50);
  }
  for (const std::size_t programs : {1U, 10U, 100U}) {
    replicated_shard shard;
    for (std::size_t number = 0; number < programs; ++number) {
      const program_id program = make_program_id(shard_id(1), number + 1);
      shard.open(program);
      for (int turn = 0; turn < 10; ++turn) {
        shard.turn(program, 4000);
      }
    }
    const log_snapshot log = *shard.cores[0].log();
    std::string bytes;
    const double us = mean_us(20, [&](std::size_t) { bytes = to_bytes(log); });
    print("install: 40 kB programs in the shard", programs, "bytes",
          static_cast<double>(bytes.size()));
    print("install: 40 kB programs in the shard", programs, "us encode", us);
    const double back = mean_us(20, [&](std::size_t) { log_snapshot_from_bytes(bytes); });
    print("install: 40 kB programs in the shard", programs, "us decode", back);
    const double tick = mean_us(1000, [&](std::size_t) { shard.cores[0].tick(shard.now); });
    print("tick of an idle shard: programs", programs, "us", tick);
    std::size_t broken = 0;
    const double whole =
        mean_us(50, [&](std::size_t) { broken += shard.cores[0].broken_invariant().size(); });
    const double newest = mean_us(50, [&](std::size_t) {
      broken += shard.cores[0].broken_invariant_in_newest_turns().size();
    });
    print("check of whole histories: 40 kB programs", programs, "us", whole);
    print("check of newest turns: 40 kB programs", programs, "us", newest);
    print("checks that failed: 40 kB programs", programs, "count", static_cast<double>(broken));
  }
}

member member_of(std::size_t number) {
  member item;
  item.id = host(number);
  item.zone = availability_zone("zone-" + std::to_string(number % 20));
  item.front_address = "10.0.0.1:40000";
  item.peer_address = "10.0.0.1:40001";
  return item;
}

void membership_slopes() {
  for (const std::size_t hosts : {9U, 43U, 340U}) {
    membership_core core(member_of(0), {});
    timestamp now{};
    for (std::size_t other = 1; other < hosts; ++other) {
      core.listed(member_of(other), now);
    }
    std::uint64_t bytes = 0;
    std::uint64_t sent = 0;
    std::uint64_t sequence = 1;
    const std::size_t periods = 400;
    const double us = mean_us(periods, [&](std::size_t period) {
      now += membership_times{}.period;
      const auto out = core.tick(now, period);
      // In each period one probe is acknowledged, and one arrives from another host.
      probe_message answer;
      answer.what = probe_message::kind::acknowledge;
      answer.sequence = sequence++;
      answer.from = host(1);
      core.receive(answer, now);
      probe_message ping;
      ping.from = host(1 + period % (hosts - 1));
      ping.reply_to = "10.0.0.1:40001";
      ping.updates = {member_of(1 + period % (hosts - 1))};
      const auto reply = core.receive(ping, now);
      for (const auto* actions : {&out, &reply}) {
        for (const send_probe& probe : actions->probes) {
          bytes += to_bytes(probe.message).size();
          ++sent;
        }
      }
    });
    const double seconds = static_cast<double>(periods) * to_seconds(membership_times{}.period);
    print("membership: hosts", hosts, "us/period", us);
    print("membership: hosts", hosts, "messages/s sent", static_cast<double>(sent) / seconds);
    print("membership: hosts", hosts, "bytes/s sent", static_cast<double>(bytes) / seconds);
  }
}

void scheduler_slopes() {
  for (const std::size_t servers : {22U, 220U, 2200U}) {
    scheduler core({}, {}, {});
    timestamp now{};
    for (std::size_t at = 0; at < servers; ++at) {
      core.add_server(backend_server_id("server-" + std::to_string(at)), now);
    }
    std::vector<std::uint64_t> inside;
    const std::size_t calls = 20'000;
    const double us = mean_us(calls, [&](std::size_t at) {
      now += std::chrono::microseconds(100);
      schedule_request request;
      request.id = waiting_id(at + 1);
      request.program = program_id("p" + std::to_string(at % 5000));
      request.account = client_account(std::to_string(at % 100));
      request.prompt = token_count(2000);
      request.expected_answer = token_count(200);
      request.arrived = now;
      core.submit(request, now);
      if (at >= servers * 4) {
        schedule_outcome ended;
        ended.id = waiting_id(at + 1 - servers * 4);
        ended.sample = {token_count(500), token_count(200), std::chrono::milliseconds(60),
                        std::chrono::seconds(4), 8};
        core.finished(ended, now);
      }
    });
    print("scheduler: servers", servers, "us/call (submit and finish)", us);
  }
}

void placement_slopes() {
  for (const std::size_t hosts : {9U, 43U, 340U}) {
    std::vector<placeable_host> all;
    for (std::size_t at = 0; at < hosts; ++at) {
      all.push_back({host(at), availability_zone("zone-" + std::to_string(at % 20))});
    }
    const double us = mean_us(200, [&](std::size_t at) {
      choose_replicas(shard_id(static_cast<std::uint32_t>(at)), all[0], all, {}, 2);
    });
    print("placement: hosts", hosts, "us/shard", us);
  }
}

/// A turn of one of many programs, whose prompt prefix a server may have cached.
placement_request turn_of(std::size_t number) {
  constexpr std::size_t programs = 2000;
  constexpr std::uint64_t first_line = 1000;
  const std::uint64_t program = number % programs;
  placement_request request;
  request.id = placement_id(number + 1);
  request.affinity = program * 104'729 + 1;
  request.kind = 1;
  request.prompt = {{prompt_part_key(1), token_count(512)},
                    {prompt_part_key(first_line + program), token_count(1500)}};
  request.give_up_at = timestamp(std::chrono::hours(1));
  request.wanted_by = request.give_up_at;
  return request;
}

std::vector<backend_entry> servers_over_zones(std::size_t count) {
  std::vector<backend_entry> entries(count);
  for (std::size_t at = 0; at < count; ++at) {
    entries[at].id = backend_server_id("i-" + std::to_string(at * 7919));
    entries[at].zone = availability_zone("zone-" + std::to_string(at % 20));
    entries[at].slots = 8;
  }
  return entries;
}

/// Cost of choosing a server by speed at one host, for a call without a prompt.
void plain_choice_slopes() {
  for (const std::size_t servers : {48U, 275U, 2200U}) {
    pool_rules rules;
    rules.learns_speed = true;
    server_pool pool(rules, host_id("host-0"), availability_zone("zone-0"));
    pool.set_servers(servers_over_zones(servers), timestamp{});
    pool.set_utilization(1);
    timestamp now{};
    std::vector<placement> placed;
    const double us = mean_us(10'000, [&](std::size_t at) {
      now += std::chrono::milliseconds(1);
      placement_request request = turn_of(at);
      request.prompt.clear();
      if (pool.directory_request_for(request, now).servers.size() > servers) {
        return;
      }
      pool.submit(request, now, placed);
      pool.take_update();
      pool.finished(request.id, server_outcome::answered, now);
    });
    print("plain call placed: servers", servers, "us/call (question, choice, end)", us);
  }
}

/// Cost, at one host, of building a turn's directory request and choosing a server for the turn:
/// first with free places (slots), then with none.
void server_choice_slopes(bool learns_speed) {
  for (const std::size_t servers : {48U, 275U, 2200U}) {
    pool_rules rules;
    rules.learns_speed = learns_speed;
    server_pool pool(rules, host_id("host-0"), availability_zone("zone-0"));
    pool.set_servers(servers_over_zones(servers), timestamp{});
    timestamp now{};
    std::vector<placement> placed;
    std::size_t number = 0;
    const auto place = [&] {
      now += std::chrono::milliseconds(1);
      const placement_request request = turn_of(number++);
      if (pool.directory_request_for(request, now).parts.empty()) {
        return;
      }
      pool.submit(request, now, placed);
      pool.take_update();
    };
    const double us = mean_us(10'000, [&](std::size_t at) {
      place();
      pool.started(placement_id(at + 1), now);
      pool.finished(placement_id(at + 1), server_outcome::answered, now);
    });
    print(learns_speed ? "turn placed by speed: servers" : "turn placed: servers", servers,
          "us/turn (question, choice, end)", us);
    // Uses every place that the host may have at all servers, so that none is free afterwards.
    const std::size_t places = servers * 8;
    for (std::size_t at = 0; at < places; ++at) {
      place();
    }
    const std::size_t failing = 200;
    print("turn without a place: servers", servers, "us/turn",
          mean_us(failing, [&](std::size_t) { place(); }));
  }
}

void limits_slopes() {
  for (const std::size_t hosts : {9U, 43U, 340U}) {
    std::vector<credit_demand> demands;
    for (std::size_t at = 0; at < hosts; ++at) {
      demands.push_back({host(at), 1, static_cast<std::int64_t>(at % 3)});
    }
    const double us = mean_us(1000, [&](std::size_t) { split_window(64, demands); });
    print("credits: hosts", hosts, "us/split", us);
  }
  for (const std::size_t accounts : {100U, 1000U, 39000U}) {
    fair_queue queue;
    for (std::size_t at = 0; at < accounts; ++at) {
      queue.add({waiting_id(at), client_account(std::to_string(at)), 1, 0, 1});
    }
    const double us = mean_us(200, [&](std::size_t at) {
      auto taken = queue.take();
      taken->id = waiting_id(1'000'000 + at);
      queue.add(*taken);
    });
    print("fair queue: waiting accounts", accounts, "us/take and add", us);
  }
}

/// Resident memory of this process, MB.
double resident_mb() {
  ::malloc_trim(0);
  std::ifstream pages("/proc/self/statm");
  double whole = 0;
  double resident = 0;
  pages >> whole >> resident;
  constexpr double megabyte = 1e6;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / megabyte;
}

std::string key_of(std::size_t account, int number) {
  return fmt::format("key-{:08}-{}-0123456789abcdef01234567", account, number);
}

account_table_ptr table_of(std::size_t accounts) {
  std::vector<account_entry> entries(accounts);
  for (std::size_t at = 0; at < accounts; ++at) {
    entries[at].terms.name = client_account(fmt::format("account-{}", at));
    entries[at].terms.limit = {50, 20};
    entries[at].keys = {key_of(at, 1), key_of(at, 2)};
  }
  failure reason;
  return account_table::make(std::move(entries), 17, reason);
}

/// Cost of keys and quotas per call: at the front host that looks up the account, and at the
/// disk host that manages a fifth of its quota.
void account_slopes() {
  constexpr std::size_t calls = 200'000;
  for (const std::size_t accounts : {80U, 39'000U}) {
    const double before = resident_mb();
    const account_table_ptr table = table_of(accounts);
    print("accounts: table with two keys each", accounts, "MB resident", resident_mb() - before);
    std::vector<std::string> keys;
    for (std::size_t at = 0; at < accounts; ++at) {
      keys.push_back(key_of(at * 7919 % accounts, 2));
    }
    std::size_t found = 0;
    const double us = mean_us(calls, [&](std::size_t at) {
      found += table->find(keys[at % accounts]) != nullptr ? 1 : 0;
    });
    print("accounts: key look-up", accounts, "us/call", us);
    print("accounts: keys found", accounts, "count", static_cast<double>(found));
  }
  for (const std::size_t accounts : {80U, 39'000U}) {
    const account_table_ptr table = table_of(accounts);
    const double before = resident_mb();
    constexpr std::size_t manager_count = 5;
    quota_manager manager(quota_tolerance{std::chrono::seconds(5), 0.1, 20});
    ledger_set set;
    quota_lease_view lease{disk_id("disk-0"), set, {}, {}};
    for (std::size_t at = 0; at < manager_count; ++at) {
      set.members.emplace_back(fmt::format("disk-{}", at));
      lease.probe_results.push_back({set.members.back(), {}, {}});
    }
    timestamp now{};
    manager.set_share(1.0 / manager_count, now);
    std::size_t granted = 0;
    const auto check = [&](std::size_t at) {
      now += std::chrono::microseconds(100);
      for (member_probe_result& word : lease.probe_results) {
        word.received_at = now;
      }
      const account& caller = table->accounts()[at * 7919 % accounts];
      quota_round round(manager_count);
      round.ask_next();
      if (holds_quota_lease(lease, now)) {
        round.answered(manager.ask({caller.name, caller.limit, limit_version(1)}, now));
      }
      granted += round.decision() == quota_decision::granted ? 1 : 0;
      manager.take_changes(now);
    };
    mean_us(accounts, check);
    print("quotas: a keeper's buckets", accounts, "MB resident", resident_mb() - before);
    print("quotas: check of a call (lease, bucket, record)", accounts, "us/call",
          mean_us(calls, check));
    print("quotas: calls granted", accounts, "count", static_cast<double>(granted));
  }
}

void document_slopes() {
  for (const std::size_t documents : {10U, 100U, 1000U}) {
    rollout_core core;
    const std::string text(2000, 'x');
    for (std::size_t at = 0; at < documents; ++at) {
      core.offer(service_name(std::to_string(at)), generation(1), text, timestamp{});
    }
    std::uint64_t sum = 0;
    const double us = mean_us(100, [&](std::size_t) { sum += core.digest(); });
    print("rollout digest: documents", documents, "us", us);
    if (sum == 1) {
      fmt::print("\n");
    }
  }
}

}  // namespace

int main() {
  fmt::print("what,size,unit,value\n");
  account_slopes();
  owner_slopes();
  membership_slopes();
  scheduler_slopes();
  placement_slopes();
  server_choice_slopes(false);
  server_choice_slopes(true);
  plain_choice_slopes();
  limits_slopes();
  document_slopes();
  return 0;
}
