// Admits a turn: reserves its tokens at the disks and reads what was said before it.
#include <fmt/format.h>

#include <algorithm>

#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/telemetry/log.h"
#include "ledger_rounds.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr duration read_limit = std::chrono::milliseconds(400);
/// A disk host that holds a short chain answers within some 10 ms; then a second one is
/// asked for it as well. The rest are not: each sends the chain whole, and they would
/// share the link with the first, which may be in the middle of a long one.
constexpr auto chain_patience = std::chrono::milliseconds(25);
/// After a majority has the reservation, the last disk gets this long to make the
/// second round needless: about the spread of healthy disks' syncs.
constexpr auto last_disk_wait = std::chrono::milliseconds(4);
/// While the set of disks changes, a turn is tried again for this long before it is
/// refused: a change that needs no copying takes less.
constexpr auto admit_patience = std::chrono::milliseconds(300);
constexpr auto admit_pause = std::chrono::milliseconds(40);

}  // namespace

/// One try to admit a turn at one set. Shared with the answers that are still on
/// their way when the try is over.
struct ledger_client::admission_state {
  admission_state(asio::io_context& context, const ledger_set& at, const turn_request& what)
      : turn(what),
        set(at),
        check(at, {what.id, what.most, token_count(0), reservation_phase::open}, what.budget),
        chain(at),
        signal(context) {}

  turn_request turn;
  ledger_set set;
  reservation_check check;
  chain_check chain;
  net::async_signal signal;
  bool needs_chain = false;
  /// The disks that were asked for the chain. The second follows the first when that one
  /// does not give it in time, all others when one of these lacks it or is silent.
  std::vector<disk_id> asked_for_chain;
  net::steady_time second_asked_for_chain_at = net::never;
  bool needs_all_for_chain = false;
  bool all_asked_for_chain = false;
  bool stale = false;
  bool collecting = false;
  net::steady_time appended_at = net::never;
  net::steady_time until;

  void note_stale() {
    this->stale = true;
    this->signal.wake();
  }
  /// Unless the chain is known by now.
  void ask_all_for_chain_now() {
    this->needs_all_for_chain = true;
    this->signal.wake();
  }
  [[nodiscard]] bool chain_open() const {
    return !this->chain_decided() && !this->all_asked_for_chain;
  }
  [[nodiscard]] bool may_ask_second_for_chain() const {
    return this->chain_open() && this->asked_for_chain.size() == 1;
  }
  [[nodiscard]] bool chain_decided() const {
    return !this->needs_chain || this->chain.outcome() != chain_outcome::undecided;
  }
  [[nodiscard]] bool decided() const {
    return this->chain_decided() && this->check.outcome() != budget_outcome::undecided;
  }
  [[nodiscard]] bool cannot_succeed() const {
    return this->check.cannot_succeed() || (!this->chain_decided() && this->chain.cannot_succeed());
  }
};

void ledger_client::send_appends(const std::shared_ptr<admission_state>& state) {
  append_request request;
  request.epoch = state->set.epoch;
  request.record = record_of(state->turn, reservation_phase::open, token_count(0));
  round_hooks<program_response> hooks;
  hooks.answered = [state](const program_response& answer) {
    state->check.on_append(answer);
    state->signal.wake();
  };
  hooks.failed = [state](const disk_id& disk) {
    state->check.on_append_failed(disk);
    state->signal.wake();
  };
  hooks.stale = [state](const disk_id&) { state->note_stale(); };
  this->ask_each(state->set.all(),
                 make_question(ledger_method::append, to_bytes(request), append_limit), hooks);
}

void ledger_client::send_collects(const std::shared_ptr<admission_state>& state) {
  state->collecting = true;
  const collect_request request{state->set.epoch, state->turn.program};
  round_hooks<program_response> hooks;
  hooks.answered = [state](const program_response& answer) {
    state->check.on_collect(answer);
    state->signal.wake();
  };
  hooks.failed = [state](const disk_id& disk) {
    state->check.on_collect_failed(disk);
    state->signal.wake();
  };
  hooks.stale = [state](const disk_id&) { state->note_stale(); };
  this->ask_each(state->set.all(),
                 make_question(ledger_method::collect, to_bytes(request), read_limit), hooks);
}

void ledger_client::send_chain_reads(const std::shared_ptr<admission_state>& state,
                                     const std::vector<disk_id>& disks) {
  const chain_request request{state->set.epoch, *state->turn.previous};
  round_hooks<chain_response> hooks;
  hooks.answered = [state](const chain_response& answer) {
    state->chain.on_answer(answer);
    state->ask_all_for_chain_now();
  };
  hooks.failed = [state](const disk_id& disk) {
    state->chain.on_failed(disk);
    state->ask_all_for_chain_now();
  };
  hooks.stale = [state](const disk_id&) { state->note_stale(); };
  question read = make_question(ledger_method::chain, to_bytes(request), read_limit);
  read.arriving = chain_arrival;
  read.on_silence = [state] { state->ask_all_for_chain_now(); };
  state->asked_for_chain.insert(state->asked_for_chain.end(), disks.begin(), disks.end());
  this->ask_each(disks, read, hooks);
}

std::optional<disk_id> ledger_client::choose_for_chain(const admission_state& state,
                                                       bool in_this_zone) const {
  const std::vector<disk_id>& members = state.set.members;
  const std::size_t start = std::hash<std::string>{}(state.turn.id.get()) % members.size();
  std::optional<disk_id> best;
  // Not silent before silent, then the zone that is wanted.
  std::pair<bool, bool> best_rank;
  for (std::size_t step = 0; step < members.size(); ++step) {
    const disk_id& candidate = members[(start + step) % members.size()];
    const auto& asked = state.asked_for_chain;
    if (std::find(asked.begin(), asked.end(), candidate) != asked.end()) {
      continue;
    }
    const auto found = this->links.find(candidate);
    const bool known = found != this->links.end();
    const std::pair<bool, bool> rank = {
        known && !found->second.suspected,
        known && (found->second.host.zone == this->zone) == in_this_zone};
    if (!best || rank > best_rank) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

void ledger_client::ask_first_for_chain(const std::shared_ptr<admission_state>& state) {
  state->second_asked_for_chain_at = steady::now() + chain_patience;
  // Those of one zone share the reads of its front hosts.
  if (const auto disk = this->choose_for_chain(*state, true)) {
    this->send_chain_reads(state, {*disk});
  }
}

void ledger_client::ask_second_for_chain(const std::shared_ptr<admission_state>& state) {
  // What keeps the first one from answering may be its zone's trouble.
  if (const auto disk = this->choose_for_chain(*state, false)) {
    this->send_chain_reads(state, {*disk});
  } else {
    this->ask_others_for_chain(state);
  }
}

void ledger_client::ask_others_for_chain(const std::shared_ptr<admission_state>& state) {
  state->all_asked_for_chain = true;
  std::vector<disk_id> others = state->set.all();
  std::erase_if(others, [&](const disk_id& disk) {
    const auto& asked = state->asked_for_chain;
    return std::find(asked.begin(), asked.end(), disk) != asked.end();
  });
  this->send_chain_reads(state, others);
}

void ledger_client::conclude(const admission_state& state, turn_admission& result) {
  if (state.needs_chain && state.chain.outcome() == chain_outcome::absent) {
    result.kind = admission_kind::unknown_turn;
    result.detail = fmt::format("a majority of epoch {} does not hold turn {}",
                                state.set.epoch.get(), state.turn.previous->get());
    return;
  }
  if (state.check.outcome() == budget_outcome::exceeds) {
    result.kind = admission_kind::over_budget;
    result.detail =
        fmt::format("reserved and used {} of {} in epoch {}", state.check.charged().get(),
                    state.turn.budget->get(), state.set.epoch.get());
    return;
  }
  result.kind = admission_kind::admitted;
  if (!state.needs_chain) {
    return;
  }
  for (const stored_turn& turn : state.chain.chain()) {
    this->cache.add(turn);
    result.history += turn.input;
    result.history += turn.output;
  }
}

asio::awaitable<bool> ledger_client::admit_once(std::shared_ptr<admission_state> state,
                                                turn_admission& result) {
  this->send_appends(state);
  if (state->needs_chain) {
    this->ask_first_for_chain(state);
  }
  while (true) {
    const net::steady_time now = steady::now();
    if (state->chain_open() && state->needs_all_for_chain) {
      this->ask_others_for_chain(state);
    } else if (state->may_ask_second_for_chain() && now >= state->second_asked_for_chain_at) {
      this->ask_second_for_chain(state);
    }
    if (state->stale) {
      co_return false;
    }
    if (state->decided()) {
      this->conclude(*state, result);
      co_return true;
    }
    if (state->cannot_succeed() || now >= state->until) {
      result.kind = admission_kind::unavailable;
      result.detail = fmt::format("no majority of epoch {} answers", state->set.epoch.get());
      co_return true;
    }
    if (state->check.appended() && state->appended_at == net::never) {
      state->appended_at = now;
    }
    net::steady_time wake_at = state->until;
    if (state->may_ask_second_for_chain()) {
      wake_at = std::min(wake_at, state->second_asked_for_chain_at);
    }
    const bool may_collect = state->appended_at != net::never && !state->collecting &&
                             state->check.outcome() == budget_outcome::undecided;
    if (may_collect && now >= state->appended_at + last_disk_wait) {
      this->send_collects(state);
    } else if (may_collect) {
      wake_at = std::min(wake_at, state->appended_at + last_disk_wait);
    }
    co_await state->signal.wait_until(wake_at);
  }
}

asio::awaitable<turn_admission> ledger_client::admit(turn_request turn, net::steady_time until) {
  turn_admission result;
  std::optional<std::string> cached;
  if (turn.kept && turn.previous) {
    cached = this->cache.history(*turn.previous);
  }
  const net::steady_time patient_until = std::min(until, steady::now() + admit_patience);
  while (true) {
    if (!this->set) {
      result.detail = "the set of disks is not known yet";
      co_return result;
    }
    const auto state = std::make_shared<admission_state>(this->context, *this->set, turn);
    state->until = until;
    state->needs_chain = turn.kept && turn.previous && !cached;
    const bool concluded = co_await this->admit_once(state, result);
    // What this host is still withdrawing may be all that the budget lacks.
    const bool may_fit = result.kind == admission_kind::over_budget && this->withdraws(turn);
    if (concluded && result.kind != admission_kind::unavailable && !may_fit) {
      break;
    }
    if (!concluded) {
      result.detail = "the set of disks is changing";
    }
    if (steady::now() + admit_pause >= patient_until) {
      break;
    }
    if (this->holds_still(state->set.epoch)) {
      net::async_signal pause(this->context);
      co_await pause.wait_until(steady::now() + admit_pause);
    }
  }
  if (result.kind == admission_kind::admitted && cached) {
    result.history = std::move(*cached);
  }
  if (result.kind != admission_kind::admitted) {
    log(event::turn_refused,
        {{"request", turn.id.get()}, {"program", turn.program.get()}, {"detail", result.detail}});
    this->withdraw(turn);
  }
  co_return result;
}

}  // namespace hawthornlane::front
