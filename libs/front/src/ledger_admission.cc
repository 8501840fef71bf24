// Admits a turn: reserves its tokens at the disks and reads its history.
#include <fmt/format.h>

#include <algorithm>

#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/telemetry/log.h"
#include "ledger_rounds.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr duration read_timeout = std::chrono::milliseconds(400);
/// Limit of the text of one answer to a chain's read.
constexpr std::uint64_t max_part_bytes = net::max_payload_bytes / 2;
/// Time after which a second disk host is also asked for a chain; a disk host sends a short chain
/// within some 10 ms. Further disk hosts are not asked: each would send the whole chain over the
/// same link, on which the first one may still be sending a long chain.
constexpr auto second_read_delay = std::chrono::milliseconds(25);
/// Wait for the remaining disks after a majority has the reservation: if all answer, no second
/// round is needed. About the spread of sync times of healthy disks.
constexpr auto last_disk_wait = std::chrono::milliseconds(4);
/// Time for which an admission is retried while the set of disks changes. A change that needs no
/// copying takes less.
constexpr auto admit_retry_time = std::chrono::milliseconds(300);
constexpr auto admit_retry_interval = std::chrono::milliseconds(40);

std::string_view text_of(disk_miss why) {
  switch (why) {
    case disk_miss::no_address:
      return "no address";
    case disk_miss::no_answer:
      return "no answer";
    case disk_miss::refused:
      return "refused";
    case disk_miss::other_disk:
      return "another disk answers";
  }
  return "";
}

}  // namespace

/// One attempt to admit a turn at one set. Shared with the answer callbacks, which may run after
/// the attempt is over.
struct ledger_client::admission_state {
  admission_state(asio::io_context& context, const ledger_set& at, const turn_request& what)
      : turn(what),
        set(at),
        check(at, {what.id, what.max_output_tokens, token_count(0), reservation_phase::open},
              what.budget),
        chain(at, what.previous.value_or(request_id())),
        origin(at),
        signal(context) {}

  turn_request turn;
  ledger_set set;
  reservation_check check;
  chain_check chain;
  origin_check origin;
  net::async_signal signal;
  bool needs_chain = false;
  /// The turn whose chain is being read: the one that `turn` continues from, or an earlier one if
  /// the disks' answers so far end after it.
  std::optional<request_id> reading;
  /// The disks that were asked for the chain of `reading`: a second one if the first does not send
  /// it in time, all others if one of these lacks it or does not answer.
  std::vector<disk_id> asked_for_chain;
  net::steady_time second_asked_for_chain_at = net::never;
  bool needs_all_for_chain = false;
  bool all_asked_for_chain = false;
  bool stale = false;
  bool collecting = false;
  net::steady_time appended_at = net::never;
  net::steady_time until;
  /// For the log: the disks that have the reservation, and the last failure of each other one.
  std::set<disk_id> appended_at_disks;
  std::map<disk_id, disk_miss> missed;

  void note_stale() {
    this->stale = true;
    this->signal.wake();
  }
  /// A disk has not provided the turn: asks all other disks, unless it is already known.
  void note_not_provided(const request_id& asked) {
    this->needs_all_for_chain = this->needs_all_for_chain || this->reading == asked;
    this->signal.wake();
  }
  /// Starts over with the next turn if the answers have provided the one being read.
  bool reads_next_turn() {
    if (this->chain_decided() || this->reading == this->chain.missing()) {
      return false;
    }
    this->reading = this->chain.missing();
    this->asked_for_chain.clear();
    this->needs_all_for_chain = false;
    this->all_asked_for_chain = false;
    return true;
  }
  [[nodiscard]] bool may_ask_for_chain(const disk_id& disk) const {
    const auto& asked = this->asked_for_chain;
    return std::find(asked.begin(), asked.end(), disk) == asked.end() &&
           !this->chain.lacks_missing(disk);
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
  const std::string tail = origin_tail(state->turn.origin, state->turn.resumes);
  round_hooks<reported_response> hooks;
  hooks.answered = [state](const reported_response& answer) {
    state->appended_at_disks.insert(answer.disk);
    state->check.on_append(answer);
    state->origin.on_report(answer.disk, answer.report);
    state->signal.wake();
  };
  hooks.failed = [state](const disk_id& disk, disk_miss why) {
    state->missed[disk] = why;
    state->check.on_append_failed(disk);
    state->signal.wake();
  };
  hooks.stale = [state](const disk_id&) { state->note_stale(); };
  this->ask_each(state->set.all(),
                 make_request(ledger_method::append, to_bytes(request) + tail, append_timeout),
                 hooks);
}

void ledger_client::send_collects(const std::shared_ptr<admission_state>& state) {
  state->collecting = true;
  const collect_request request{state->set.epoch, state->turn.program};
  const std::string tail = origin_tail(std::nullopt, state->turn.resumes);
  round_hooks<reported_response> hooks;
  hooks.answered = [state](const reported_response& answer) {
    state->check.on_collect(answer);
    state->origin.on_report(answer.disk, answer.report);
    state->signal.wake();
  };
  hooks.failed = [state](const disk_id& disk, disk_miss why) {
    state->missed[disk] = why;
    state->check.on_collect_failed(disk);
    state->signal.wake();
  };
  hooks.stale = [state](const disk_id&) { state->note_stale(); };
  this->ask_each(state->set.all(),
                 make_request(ledger_method::collect, to_bytes(request) + tail, read_timeout),
                 hooks);
}

void ledger_client::send_chain_reads(const std::shared_ptr<admission_state>& state,
                                     const std::vector<disk_id>& disks) {
  const request_id asked = *state->reading;
  round_hooks<parted_response> hooks;
  hooks.answered = [state, asked](const parted_response& answer) {
    state->chain.on_answer(asked, answer, answer.part);
    state->note_not_provided(asked);
  };
  hooks.failed = [state, asked](const disk_id& disk, disk_miss why) {
    state->missed[disk] = why;
    state->chain.on_failed(asked, disk);
    state->note_not_provided(asked);
  };
  hooks.stale = [state](const disk_id&) { state->note_stale(); };
  const chain_request request{state->set.epoch, asked};
  const std::string bytes = to_bytes(request) + to_bytes(chain_part_request{max_part_bytes});
  disk_request read = make_request(ledger_method::chain, bytes, read_timeout);
  read.arrival_time = chain_transfer_time;
  read.on_no_answer = [state, asked] { state->note_not_provided(asked); };
  state->asked_for_chain.insert(state->asked_for_chain.end(), disks.begin(), disks.end());
  this->ask_each(disks, read, hooks);
}

std::optional<disk_id> ledger_client::choose_for_chain(const admission_state& state,
                                                       bool in_this_zone) const {
  const std::vector<disk_id>& members = state.set.members;
  const std::size_t start = std::hash<std::string>{}(state.turn.id.get()) % members.size();
  std::optional<disk_id> best;
  // The greatest rank wins: first disks that are not suspected, then those in the preferred zone.
  std::pair<bool, bool> best_rank;
  for (std::size_t step = 0; step < members.size(); ++step) {
    const disk_id& candidate = members[(start + step) % members.size()];
    if (!state.may_ask_for_chain(candidate)) {
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
  state->second_asked_for_chain_at = steady::now() + second_read_delay;
  // Members in the same zone are chosen by the turn's hash, so they share the reads of its hosts.
  if (const auto disk = this->choose_for_chain(*state, true)) {
    this->send_chain_reads(state, {*disk});
  } else {
    this->ask_others_for_chain(state);
  }
}

void ledger_client::ask_second_for_chain(const std::shared_ptr<admission_state>& state) {
  // The first one may be slow because of a fault in its zone.
  if (const auto disk = this->choose_for_chain(*state, false)) {
    this->send_chain_reads(state, {*disk});
  } else {
    this->ask_others_for_chain(state);
  }
}

void ledger_client::ask_others_for_chain(const std::shared_ptr<admission_state>& state) {
  state->all_asked_for_chain = true;
  std::vector<disk_id> others = state->set.all();
  std::erase_if(others, [&](const disk_id& disk) { return !state->may_ask_for_chain(disk); });
  this->send_chain_reads(state, others);
}

std::string ledger_client::name_of(const disk_id& disk) const {
  constexpr std::size_t shown = 8;
  const auto found = this->links.find(disk);
  const std::string host = found == this->links.end() ? "?" : found->second.host.name.get();
  return host + "/" + disk.get().substr(0, shown);
}

std::string ledger_client::describe_missing(const admission_state& state) const {
  std::string text = state.set.joint() ? " (joint)" : "";
  for (const disk_id& disk : state.set.all()) {
    const auto missed = state.missed.find(disk);
    if (missed == state.missed.end() && state.appended_at_disks.contains(disk)) {
      continue;
    }
    const std::string_view why = missed == state.missed.end() ? "waiting" : text_of(missed->second);
    text += fmt::format("; {}: {}", this->name_of(disk), why);
  }
  return text;
}

std::string ledger_client::describe_failure(const admission_state& state) const {
  const std::string missing = this->describe_missing(state);
  if (state.check.outcome() != budget_outcome::undecided && !state.chain_decided()) {
    return fmt::format("no disk of epoch {} that answers has turn {} of the chain{}",
                       state.set.epoch.get(), state.chain.missing()->get(), missing);
  }
  return fmt::format("no majority of epoch {} answers{}", state.set.epoch.get(), missing);
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
  result.origin_found = state.origin.outcome();
  result.origin = state.origin.origin();
  if (!state.needs_chain) {
    return;
  }
  for (const stored_turn* turn : state.chain.turns()) {
    this->cache.add(*turn);
    result.history += turn->input;
    result.history += turn->output;
  }
}

asio::awaitable<bool> ledger_client::admit_once(std::shared_ptr<admission_state> state,
                                                turn_admission& result) {
  this->send_appends(state);
  while (true) {
    const net::steady_time now = steady::now();
    if (state->reads_next_turn()) {
      this->ask_first_for_chain(state);
    }
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
      result.detail = this->describe_failure(*state);
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
  const net::steady_time retry_until = std::min(until, steady::now() + admit_retry_time);
  while (true) {
    if (!this->set) {
      result.detail = "no set of disks has been received yet";
      co_return result;
    }
    const auto state = std::make_shared<admission_state>(this->context, *this->set, turn);
    state->until = until;
    state->needs_chain = turn.kept && turn.previous && !cached;
    const bool concluded = co_await this->admit_once(state, result);
    // The budget may be exceeded only because of reservations that this host is still withdrawing:
    // retry.
    const bool may_fit = result.kind == admission_kind::over_budget && this->is_withdrawing(turn);
    if (concluded && result.kind != admission_kind::unavailable && !may_fit) {
      break;
    }
    if (!concluded) {
      result.detail = "the set of disks is changing";
    }
    if (steady::now() + admit_retry_interval >= retry_until) {
      break;
    }
    if (this->is_newest_epoch(state->set.epoch)) {
      net::async_signal pause(this->context);
      co_await pause.wait_until(steady::now() + admit_retry_interval);
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
