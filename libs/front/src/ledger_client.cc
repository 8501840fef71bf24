// The front host's side of the ledger.
#include "hawthornlane/front/ledger_client.h"

#include <fmt/format.h>

#include <algorithm>

#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/frame.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// An append waits for a sync of 2 to 5 ms and for those before it; one that takes
/// this long, besides its way, comes from a disk host in trouble.
constexpr duration append_limit = std::chrono::milliseconds(500);
/// A healthy disk host answers within some ten milliseconds of having the question, also
/// under load; then the question goes by way of another front host, which may still
/// reach it.
constexpr duration direct_patience = std::chrono::milliseconds(200);
/// Bytes a second, for the time that a host's own questions take to leave it: half of
/// what a link of 30 Mbit/s carries, since callers and backend servers share it.
constexpr std::int64_t cautious_link_rate = 2'000'000;
/// Between two probes of a disk host that is not reached.
constexpr auto disk_probe_pause = std::chrono::milliseconds(300);
constexpr duration read_limit = std::chrono::milliseconds(400);
/// For a chain to arrive, of which nobody here knows the size: the largest there can be.
/// A disk host that is silent is found by the reservation that is sent with the question.
constexpr duration chain_arrival = duration(std::chrono::seconds(1)) *
                                   static_cast<std::int64_t>(net::largest_payload) /
                                   cautious_link_rate;
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
constexpr auto settle_pause = std::chrono::milliseconds(50);
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

/// The other host did not answer at all; else it did, if only to refuse.
bool is_silence(net::rpc_failure why) {
  return why == net::rpc_failure::unknown || why == net::rpc_failure::unreachable;
}

ledger_record record_of(const turn_request& turn, reservation_phase phase, token_count used) {
  ledger_record record;
  record.program = turn.program;
  record.state = {turn.id, turn.most, used, phase};
  record.expires_at = expiry(turn.retention);
  return record;
}

}  // namespace

/// One disk host.
struct ledger_client::disk_link {
  host_entry host;
  std::unique_ptr<net::rpc_client> link;
  /// It did not answer in time; questions go by way of other front hosts until a
  /// probe is answered.
  bool suspected = false;
  /// It has answered over this link. Until then other front hosts are not told that it
  /// is reached, but it is asked directly.
  bool answered = false;

  [[nodiscard]] bool reached() const { return this->answered && !this->suspected; }
};

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
    return !this->needs_chain || this->chain.verdict() != chain_verdict::undecided;
  }
  [[nodiscard]] bool decided() const {
    return this->chain_decided() && this->check.verdict() != budget_verdict::undecided;
  }
  [[nodiscard]] bool hopeless() const {
    return this->check.hopeless() || (!this->chain_decided() && this->chain.hopeless());
  }
};

ledger_client::ledger_client(asio::io_context& io, net::deadline_sweeper& sweep,
                             const discovery::fleet_state& state, availability_zone here,
                             std::size_t cache_bytes)
    : context(io), sweeper(sweep), fleet(state), zone(std::move(here)), cache(cache_bytes) {}

ledger_client::~ledger_client() = default;

void ledger_client::take_set(const platform_adapter::object_page& page) {
  for (const auto& item : page.items) {
    if (item.removed || !platform_adapter::is_ledger_object(item.object)) {
      continue;
    }
    // One that cannot be read is told of where the hosts' entries of the page are read.
    failure ignored;
    if (const auto told = platform_adapter::ledger_set_from(item.object, ignored)) {
      this->take_set(*told, "store");
    }
  }
}

void ledger_client::take_set(const ledger_set& told, const std::string& source) {
  if (this->set && told.epoch <= this->set->epoch) {
    return;
  }
  this->set = told;
  log(event::ledger_set_changed, {{"epoch", std::to_string(told.epoch.get())},
                                  {"members", std::to_string(told.members.size())},
                                  {"joint", told.joint() ? "yes" : "no"},
                                  {"source", source}});
  this->drop_links();
}

void ledger_client::refresh_hosts() {
  for (const auto& [name, entry] : this->fleet.hosts().listed()) {
    if (entry.role != host_role::disk || entry.disk.empty()) {
      continue;
    }
    disk_link& known = this->links[disk_id(entry.disk)];
    if (known.link && known.host == entry) {
      continue;
    }
    known.host = entry;
    known.link = std::make_unique<net::rpc_client>(this->context, this->sweeper, entry.peers_at);
    known.answered = false;
  }
  this->drop_links();
}

void ledger_client::drop_links() {
  std::set<disk_id> needed;
  for (const auto& [name, entry] : this->fleet.hosts().listed()) {
    needed.insert(disk_id(entry.disk));
  }
  if (this->set) {
    // A member may be listed no more because of trouble at the store; turns still need it.
    const std::vector<disk_id> members = this->set->all();
    needed.insert(members.begin(), members.end());
  }
  std::erase_if(this->links, [&](const auto& item) { return !needed.contains(item.first); });
}

void ledger_client::note_outcome(const disk_id& disk, net::rpc_failure why) {
  const auto found = this->links.find(disk);
  if (found == this->links.end()) {
    return;
  }
  disk_link& known = found->second;
  if (!is_silence(why)) {
    known.answered = true;
  } else if (!known.suspected) {
    known.suspected = true;
    log(event::host_silent, {{"peer", known.host.name.get()}, {"detail", "disk host"}});
  }
}

duration ledger_client::time_to_send(std::size_t bytes) const {
  const auto before_it = static_cast<std::int64_t>(this->bytes_underway + bytes);
  return duration(std::chrono::seconds(1)) * before_it / cautious_link_rate;
}

net::rpc_done ledger_client::while_underway(std::size_t bytes, net::rpc_done done) {
  this->bytes_underway += bytes;
  return [this, bytes, done = std::move(done)](net::rpc_failure why, std::string answer) {
    this->bytes_underway -= bytes;
    done(why, std::move(answer));
  };
}

void ledger_client::ask_by_relay(const disk_id& disk, const question& what, duration limit,
                                 net::rpc_done done) {
  const relayed_question passed_on{disk, static_cast<std::uint16_t>(what.method), *what.payload};
  this->relay(passed_on, limit, this->while_underway(what.payload->size(), std::move(done)));
}

void ledger_client::ask(const disk_id& disk, const question& what, net::rpc_done done) {
  const auto found = this->links.find(disk);
  if (found == this->links.end() || found->second.suspected) {
    this->ask_by_relay(disk, what, what.limit + what.on_the_way(), std::move(done));
    return;
  }
  const duration direct_limit = std::min(what.limit, direct_patience);
  const duration rest = what.limit - direct_limit;
  auto retry = [this, disk, what, rest, done = std::move(done)](net::rpc_failure why,
                                                                std::string answer) {
    this->note_outcome(disk, why);
    if (!is_silence(why)) {
      done(why, std::move(answer));
      return;
    }
    if (rest <= duration::zero()) {
      done(why, {});
      return;
    }
    this->ask_by_relay(disk, what, rest + what.on_the_way(), done);
    if (what.on_silence) {
      what.on_silence();
    }
  };
  found->second.link->call(static_cast<std::uint16_t>(what.method), *what.payload,
                           direct_limit + what.on_the_way(),
                           this->while_underway(what.payload->size(), std::move(retry)));
}

void ledger_client::serve_relayed(const std::string& payload, const net::rpc_reply& reply) {
  auto question = from_bytes<relayed_question>(payload);
  const auto found = question ? this->links.find(question->disk) : this->links.end();
  // Passed on once only: a host that does not reach the disk host says so.
  if (found == this->links.end() || found->second.suspected) {
    reply(std::nullopt);
    return;
  }
  const std::size_t bytes = question->payload.size();
  const bool is_chain = static_cast<ledger_method>(question->method) == ledger_method::chain;
  const duration patience =
      direct_patience + this->time_to_send(bytes) + (is_chain ? chain_arrival : duration::zero());
  found->second.link->call(
      question->method, std::move(question->payload), patience,
      this->while_underway(
          bytes, [this, disk = question->disk, reply](net::rpc_failure why, std::string answer) {
            this->note_outcome(disk, why);
            const bool good = why == net::rpc_failure::none;
            reply(good ? std::optional(std::move(answer)) : std::nullopt);
          }));
}

void ledger_client::tick() {
  const net::steady_time now = steady::now();
  if (now < this->next_probe) {
    return;
  }
  this->next_probe = now + disk_probe_pause;
  const duration patience = direct_patience + this->time_to_send(0);
  for (auto& [disk, known] : this->links) {
    if (known.reached()) {
      continue;
    }
    known.link->call(static_cast<std::uint16_t>(ledger_method::probe), "", patience,
                     [this, disk = disk](net::rpc_failure why, const std::string& bytes) {
                       const auto answer = from_bytes<probe_answer>(bytes);
                       const auto found = this->links.find(disk);
                       if (why != net::rpc_failure::none || !answer || answer->disk != disk ||
                           found == this->links.end()) {
                         return;
                       }
                       found->second.answered = true;
                       if (!found->second.suspected) {
                         return;
                       }
                       found->second.suspected = false;
                       log(event::host_reachable,
                           {{"peer", found->second.host.name.get()}, {"detail", "disk host"}});
                     });
  }
}

bool ledger_client::lacks_address() const {
  if (!this->set) {
    return false;
  }
  const std::vector<disk_id> disks = this->set->all();
  return std::any_of(disks.begin(), disks.end(),
                     [this](const disk_id& disk) { return !this->links.contains(disk); });
}

std::uint32_t ledger_client::reached() const {
  if (!this->set) {
    return 0;
  }
  const std::vector<disk_id> disks = this->set->all();
  const auto count = std::count_if(disks.begin(), disks.end(), [this](const disk_id& disk) {
    const auto found = this->links.find(disk);
    return found != this->links.end() && found->second.reached();
  });
  return static_cast<std::uint32_t>(count);
}

bool ledger_client::holds_still(set_epoch asked) const {
  return this->set && this->set->epoch == asked;
}

void ledger_client::note_stale(const std::optional<ledger_set>& newest) {
  if (newest) {
    this->take_set(*newest, "disk host");
  }
}

ledger_client::question ledger_client::make_question(ledger_method method, std::string payload,
                                                     duration limit) {
  // The encoder leaves room for up to as much again.
  payload.shrink_to_fit();
  question made;
  made.method = method;
  made.payload = std::make_shared<const std::string>(std::move(payload));
  made.limit = limit;
  return made;
}

template <class Answer>
void ledger_client::ask_each(const std::vector<disk_id>& disks, question what,
                             const round_hooks<Answer>& hooks) {
  what.sending = this->time_to_send(what.payload->size() * disks.size());
  for (const disk_id& disk : disks) {
    this->ask(disk, what, [this, disk, hooks](net::rpc_failure why, const std::string& bytes) {
      const bool good = why == net::rpc_failure::none;
      const auto answer = good ? from_bytes<Answer>(bytes) : std::nullopt;
      if (!answer || answer->disk != disk) {
        hooks.failed(disk);
      } else if (answer->stale) {
        this->note_stale(answer->newest);
        hooks.stale(disk);
      } else {
        hooks.answered(*answer);
      }
    });
  }
}

void ledger_client::send_appends(const std::shared_ptr<admission_state>& state) {
  append_request request;
  request.epoch = state->set.epoch;
  request.record = record_of(state->turn, reservation_phase::open, token_count(0));
  round_hooks<program_answer> hooks;
  hooks.answered = [state](const program_answer& answer) {
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
  round_hooks<program_answer> hooks;
  hooks.answered = [state](const program_answer& answer) {
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
  round_hooks<chain_answer> hooks;
  hooks.answered = [state](const chain_answer& answer) {
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
  if (state.needs_chain && state.chain.verdict() == chain_verdict::absent) {
    result.kind = admission_kind::unknown_turn;
    result.detail = fmt::format("a majority of epoch {} does not hold turn {}",
                                state.set.epoch.get(), state.turn.previous->get());
    return;
  }
  if (state.check.verdict() == budget_verdict::exceeds) {
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
  for (const kept_turn& turn : state.chain.chain()) {
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
    if (state->hopeless() || now >= state->until) {
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
                             state->check.verdict() == budget_verdict::undecided;
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
    if (concluded && result.kind != admission_kind::unavailable) {
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
    return this->round.majority() || this->stale || this->round.hopeless();
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
  round_hooks<program_answer> hooks;
  hooks.answered = [state](const program_answer& answer) {
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

asio::awaitable<bool> ledger_client::settle(turn_request turn, turn_result result,
                                            net::steady_time until) {
  append_request request;
  request.record = record_of(turn, reservation_phase::settled, result.used);
  if (turn.kept && result.whole) {
    request.record.turn =
        kept_turn{turn.id, turn.previous, std::move(result.input), std::move(result.output)};
  }
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
      if (request.record.turn) {
        this->cache.add(*request.record.turn);
      }
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

void ledger_client::withdraw(const turn_request& turn) {
  if (!this->set) {
    return;
  }
  append_request request;
  request.epoch = this->set->epoch;
  request.record = record_of(turn, reservation_phase::withdrawn, token_count(0));
  round_hooks<program_answer> hooks;
  // Without the withdrawal the reservation counts in full: a later turn may be
  // refused too early, but the budget holds.
  hooks.answered = [](const program_answer&) {};
  hooks.failed = [](const disk_id&) {};
  hooks.stale = [](const disk_id&) {};
  this->ask_each(this->set->all(),
                 make_question(ledger_method::append, to_bytes(request), append_limit), hooks);
}

}  // namespace hawthornlane::front
