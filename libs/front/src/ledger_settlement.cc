// Settles a turn: what it used, and what was said in it, or that it never ran.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "hawthornlane/net/async_signal.h"
#include "ledger_rounds.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto settle_pause = std::chrono::milliseconds(50);
/// For disk hosts that are down when a turn is withdrawn: about the time of a restart and of a
/// change of their set together.
constexpr auto withdraw_patience = std::chrono::seconds(6);
/// Kept longer than promised, for hosts' clocks that differ or step.
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
  record.state = {turn.id, turn.most, used, phase};
  record.expires_at = expiry(turn.retention);
  return record;
}

/// One settlement at one set, through all tries. Shared with the answers that are still
/// on their way when it is over.
struct ledger_client::settle_state {
  settle_state(asio::io_context& context, const ledger_set& at, question request)
      : round(at), append(std::move(request)), signal(context) {}

  /// An answer to an earlier try counts as well: it is the same record, and the disk had
  /// it before it refused this set. A disk whose answer is to come is not asked again.
  disk_round round;
  question append;
  net::async_signal signal;
  /// A disk refused this set since the last try.
  bool stale = false;

  void failed(const disk_id& disk) {
    this->round.failed(disk);
    this->signal.wake();
  }
  [[nodiscard]] bool over() const {
    return this->round.majority() || this->stale || this->round.cannot_succeed();
  }
};

std::shared_ptr<ledger_client::settle_state> ledger_client::begin_settlement(
    append_request& request) {
  request.epoch = this->set->epoch;
  return std::make_shared<settle_state>(
      this->context, *this->set,
      make_question(ledger_method::append, to_bytes(request), append_limit));
}

void ledger_client::send_settlement(const std::shared_ptr<settle_state>& state,
                                    const std::vector<disk_id>& disks) {
  round_hooks<program_response> hooks;
  hooks.answered = [state](const program_response& answer) {
    state->round.answered(answer.disk);
    state->signal.wake();
  };
  hooks.failed = [state](const disk_id& disk) { state->failed(disk); };
  hooks.stale = [state](const disk_id& disk) {
    state->stale = true;
    state->failed(disk);
  };
  state->stale = false;
  this->ask_each(disks, state->append, hooks);
}

asio::awaitable<bool> ledger_client::keep_record(append_request& request, net::steady_time until) {
  std::shared_ptr<settle_state> state;
  while (this->set) {
    if (!state || !this->holds_still(state->round.of().epoch)) {
      state = this->begin_settlement(request);
      this->send_settlement(state, state->round.of().all());
    } else {
      this->send_settlement(state, state->round.retry());
    }
    while (!state->over() && steady::now() < until) {
      co_await state->signal.wait_until(until);
    }
    if (state->round.majority()) {
      co_return true;
    }
    if (steady::now() >= until) {
      co_return false;
    }
    if (this->holds_still(state->round.of().epoch)) {
      net::async_signal pause(this->context);
      co_await pause.wait_until(steady::now() + settle_pause);
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
  const bool kept = co_await this->keep_record(request, until);
  if (kept && request.record.turn) {
    this->cache.add(*request.record.turn);
  }
  co_return kept;
}

void ledger_client::withdraw(const turn_request& turn) {
  if (!this->set) {
    return;
  }
  append_request request;
  request.record = record_of(turn, reservation_phase::withdrawn, token_count(0));
  // Until a majority has the withdrawal the reservation counts in full, and the program may be
  // told that its budget is spent when it is not.
  asio::co_spawn(this->context, this->keep_withdrawal(std::move(request)), asio::detached);
}

asio::awaitable<void> ledger_client::keep_withdrawal(append_request request) {
  const program_id program = request.record.program;
  ++this->withdrawals[program];
  co_await this->keep_record(request, steady::now() + withdraw_patience);
  const auto pending = this->withdrawals.find(program);
  if (--pending->second == 0) {
    this->withdrawals.erase(pending);
  }
}

bool ledger_client::withdraws(const turn_request& turn) const {
  return this->withdrawals.contains(turn.program);
}

}  // namespace hawthornlane::front
