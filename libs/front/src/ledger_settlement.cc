// Settles a turn: records the tokens it used and its text, or withdraws a turn that never ran.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "hawthornlane/net/async_signal.h"
#include "ledger_rounds.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto settle_retry_interval = std::chrono::milliseconds(50);
/// Time for which a withdrawal is retried while disk hosts are down: about a restart plus a change
/// of the set of disks.
constexpr auto withdraw_timeout = std::chrono::seconds(6);
/// Extra retention, since the clocks of hosts may differ or step.
constexpr duration retention_margin = std::chrono::seconds(15);

wall_ms wall_now() {
  return wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count());
}

wall_ms expiry(duration retention) {
  const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(retention + retention_margin);
  return wall_ms(wall_now().get() + keep.count());
}

}  // namespace

ledger_record record_of(const turn_request& turn, reservation_phase phase, token_count used) {
  ledger_record record;
  record.program = turn.program;
  record.state = {turn.id, turn.max_output_tokens, used, phase};
  record.expires_at = expiry(turn.retention);
  return record;
}

/// One settlement at one set, with all its attempts. Shared with the answer callbacks, which may
/// run after it is over.
struct ledger_client::settle_state {
  settle_state(asio::io_context& context, const ledger_set& at, disk_request request)
      : round(at), append(std::move(request)), signal(context) {}

  /// Answers to earlier attempts count too: the record is the same, and a disk that answered has
  /// stored it, even if it refuses this set later. A disk whose answer is pending is not asked
  /// again.
  disk_round round;
  disk_request append;
  net::async_signal signal;
  /// A disk has refused this set since the last attempt.
  bool stale = false;
  /// If set, a disk counts only if it confirms that it has stored this origin.
  std::optional<stream_origin> confirms;

  void failed(const disk_id& disk) {
    this->round.failed(disk);
    this->signal.wake();
  }
  [[nodiscard]] bool is_over() const {
    return this->round.majority() || this->stale || this->round.cannot_succeed();
  }
};

std::shared_ptr<ledger_client::settle_state> ledger_client::begin_settlement(
    append_request& request) {
  request.epoch = this->set->epoch;
  const ledger_record& record = request.record;
  const auto asked = record.origin ? std::optional(record.state.id) : std::nullopt;
  std::string bytes = to_bytes(request) + origin_tail(record.origin, asked);
  auto state = std::make_shared<settle_state>(
      this->context, *this->set,
      make_request(ledger_method::append, std::move(bytes), append_timeout));
  state->confirms = record.origin;
  return state;
}

void ledger_client::send_settlement(const std::shared_ptr<settle_state>& state,
                                    const std::vector<disk_id>& disks) {
  round_hooks<reported_response> hooks;
  hooks.answered = [state](const reported_response& answer) {
    if (state->confirms && answer.report.origin != state->confirms) {
      state->failed(answer.disk);
      return;
    }
    state->round.answered(answer.disk);
    state->signal.wake();
  };
  hooks.failed = [state](const disk_id& disk, disk_miss) { state->failed(disk); };
  hooks.stale = [state](const disk_id& disk) {
    state->stale = true;
    state->failed(disk);
  };
  state->stale = false;
  this->ask_each(disks, state->append, hooks);
}

asio::awaitable<bool> ledger_client::store_record(append_request& request, net::steady_time until) {
  std::shared_ptr<settle_state> state;
  while (this->set) {
    if (!state || !this->is_newest_epoch(state->round.of().epoch)) {
      state = this->begin_settlement(request);
      this->send_settlement(state, state->round.of().all());
    } else {
      this->send_settlement(state, state->round.retry());
    }
    while (!state->is_over() && steady::now() < until) {
      co_await state->signal.wait_until(until);
    }
    if (state->round.majority()) {
      co_return true;
    }
    if (steady::now() >= until) {
      co_return false;
    }
    if (this->is_newest_epoch(state->round.of().epoch)) {
      net::async_signal pause(this->context);
      co_await pause.wait_until(steady::now() + settle_retry_interval);
    }
  }
  co_return false;
}

asio::awaitable<bool> ledger_client::settle(turn_request turn, turn_result result,
                                            net::steady_time until) {
  append_request request;
  request.record = record_of(turn, reservation_phase::settled, result.used);
  if (turn.kept && result.whole) {
    request.record.turn =
        stored_turn{turn.id, turn.previous, std::move(result.input), std::move(result.output)};
  }
  const bool kept = co_await this->store_record(request, until);
  if (kept && request.record.turn) {
    this->cache.add(*request.record.turn);
  }
  co_return kept;
}

void ledger_client::store_origin(const turn_request& turn, const stream_origin& origin,
                                 net::steady_time until, std::function<void(bool stored)> done) {
  append_request request;
  request.record = record_of(turn, reservation_phase::open, token_count(0));
  request.record.origin = origin;
  asio::co_spawn(this->context,
                 this->store_origin_record(std::move(request), until, std::move(done)),
                 asio::detached);
}

asio::awaitable<void> ledger_client::store_origin_record(append_request request,
                                                         net::steady_time until,
                                                         std::function<void(bool stored)> done) {
  const bool stored = co_await this->store_record(request, until);
  done(stored);
}

void ledger_client::withdraw(const turn_request& turn) {
  if (!this->set) {
    return;
  }
  append_request request;
  request.record = record_of(turn, reservation_phase::withdrawn, token_count(0));
  // Until a majority has stored the withdrawal, the reservation counts in full. The program could
  // be refused as over budget although it is not.
  asio::co_spawn(this->context, this->store_withdrawal(std::move(request)), asio::detached);
}

asio::awaitable<void> ledger_client::store_withdrawal(append_request request) {
  const program_id program = request.record.program;
  ++this->withdrawals[program];
  co_await this->store_record(request, steady::now() + withdraw_timeout);
  const auto pending = this->withdrawals.find(program);
  if (--pending->second == 0) {
    this->withdrawals.erase(pending);
  }
}

bool ledger_client::is_withdrawing(const turn_request& turn) const {
  return this->withdrawals.contains(turn.program);
}

}  // namespace hawthornlane::front
