// The crashes under requests in the ledger, which grants as many runs of a suspected request as
// servers may still crash.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/crash_tracker.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// How long a crash is offered to the ledger while too few disk hosts answer.
constexpr auto storage_time = std::chrono::seconds(20);
constexpr auto permission_time = std::chrono::milliseconds(400);

wall_ms wall_now() {
  return wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count());
}

}  // namespace

asio::awaitable<run_permission> crash_tracker::begin_run(request_fingerprint request,
                                                         std::optional<suspected_run>& run,
                                                         net::steady_time until) {
  suspected_run wanted;
  wanted.crashed_before = this->table.crashed_under(request);
  const auto now = steady::now().time_since_epoch().count();
  wanted.reservation = run_reservation_of(request, fmt::format("{:x}-{:x}", now, ++this->runs));
  const net::steady_time limit = std::min(until, steady::now() + permission_time);
  turn_admission admission;
  const bool counts_all = co_await this->settle_known(request, limit);
  if (counts_all) {
    admission = co_await this->ledger.admit(wanted.reservation, limit);
  }
  if (admission.kind == admission_kind::admitted) {
    // The request may have been blocked meanwhile.
    if (this->standing(request) != crash_standing::blocked) {
      this->metrics.count("suspected_runs");
      run = std::move(wanted);
      co_return run_permission::granted;
    }
    this->ledger.withdraw(wanted.reservation);
  }
  this->metrics.count("suspected_runs_refused");
  co_return this->standing(request) == crash_standing::blocked ? run_permission::blocked
                                                               : run_permission::not_now;
}

asio::awaitable<void> crash_tracker::store(crash_key crash, std::optional<suspected_run> run,
                                           std::function<void()> done) {
  const std::weak_ptr<bool> alive = this->lifetime;
  const bool is_stored = co_await this->settle(crash, steady::now() + storage_time);
  if (alive.expired()) {
    co_return;
  }
  if (is_stored) {
    this->run_withdrawn(run);
  } else {
    this->metrics.count("crashes_not_stored");
  }
  done();
}

asio::awaitable<bool> crash_tracker::settle(crash_key crash, net::steady_time until) {
  const turn_request record = crash_record_of(crash.first, crash.second);
  turn_result result;
  result.used = record.max_output_tokens;
  const std::weak_ptr<bool> alive = this->lifetime;
  const bool is_stored = co_await this->ledger.settle(record, result, until);
  if (is_stored && !alive.expired()) {
    this->stored.insert(crash);
  }
  co_return is_stored;
}

asio::awaitable<bool> crash_tracker::settle_known(request_fingerprint request,
                                                  net::steady_time until) {
  const std::weak_ptr<bool> alive = this->lifetime;
  for (const server_process_key server : this->table.crashed_under(request)) {
    const crash_key crash{request, server};
    if (this->stored.contains(crash)) {
      continue;
    }
    const bool is_stored = co_await this->settle(crash, until);
    if (!is_stored || alive.expired()) {
      co_return false;
    }
  }
  co_return true;
}

void crash_tracker::read_ledger() {
  const std::optional<ledger_set> set = this->hooks.disks();
  if (!set) {
    return;
  }
  const auto complete = std::make_shared<std::set<disk_id>>();
  for (const disk_id& disk : set->all()) {
    this->read_disk(complete, *set, disk, {first_crash_program(), request_id()});
  }
}

void crash_tracker::read_disk(const std::shared_ptr<std::set<disk_id>>& complete,
                              const ledger_set& set, const disk_id& disk,
                              const copy_request& from) {
  const auto take_page = [this, alive = std::weak_ptr(this->lifetime), complete, set, disk](
                             net::rpc_failure why, const std::string& bytes) {
    const auto page = from_bytes<copy_page>(bytes);
    if (alive.expired() || why != net::rpc_failure::none || !page) {
      return;
    }
    for (const ledger_record& record : page->records) {
      if (const auto report = crash_report_from(record, wall_now())) {
        this->table.merge(*report, discovery::scheduler_now());
      }
    }
    if (!page->last && !page->records.empty()) {
      const ledger_record& last = page->records.back();
      this->read_disk(complete, set, disk, {last.program, last.state.id});
      return;
    }
    complete->insert(disk);
    this->is_informed = this->is_informed || set.has_majority(*complete);
  };
  this->hooks.read_disk(disk, to_bytes(from), take_page);
}

}  // namespace hawthornlane::front
