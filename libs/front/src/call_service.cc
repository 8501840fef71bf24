// Serves one call from its first byte to its answer.
#include "hawthornlane/front/call_service.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "hawthornlane/accounts/account_scope.h"
#include "hawthornlane/relay/event_splitter.h"
#include "hawthornlane/relay/framing.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using relay::try_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// Servers that one call is offered to at most; each costs a few milliseconds, and
/// after so many refusals the service as a whole is full.
constexpr int most_tries = 6;
/// A call that cannot start this long before its time ends will not be answered in
/// time: the quickest calls of both users' sheets take about this long.
constexpr duration least_service_time = std::chrono::milliseconds(40);
/// A stream that runs past its time gets this much longer to end by itself; the
/// server stops at the time that it was told.
constexpr duration timeout_slack = std::chrono::milliseconds(150);
/// For keeping what a turn that broke has used; until then it counts in full.
constexpr auto settle_patience = std::chrono::seconds(2);
/// For a caller that was refused because nothing can serve it right now: about the
/// time of one call, so that a place is likely to be free.
constexpr double retry_seconds = 0.25;
/// Spreads callers that were refused together over twice that time.
constexpr double retry_spread = 0.25;

/// While too few disk hosts answer, or no server is listed after an outage of the
/// store, a refused call comes back after about half the time that such a state
/// takes to end; its program has few tries, and they must span that.
constexpr double recovery_retry_seconds = 0.8;
/// The same at a host that has just started: it knows what it needs within half of this.
constexpr double starting_retry_seconds = 0.4;
/// A host that knows no configuration by then waits for the store, or for its peers.
constexpr auto longest_start = std::chrono::seconds(1);

std::uint64_t hash_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

/// What keeps calls of the same object at the same server. A program's lines stay
/// together: the prompt of a helper begins with its parent's.
std::uint64_t affinity_of(const route& from, const relay::call_terms& terms) {
  if (!from.sticky) {
    return terms.affinity.empty() ? 0 : hash_of(terms.affinity);
  }
  if (terms.program) {
    return hash_of(terms.program->get());
  }
  if (!terms.session.get().empty()) {
    return hash_of(terms.session.get());
  }
  if (!terms.affinity.empty()) {
    return hash_of(terms.affinity);
  }
  return terms.prefix.empty() ? 0 : hash_of(terms.prefix.front().id);
}

std::vector<prompt_piece> pieces_of(const std::vector<relay::prompt_part>& prefix) {
  std::vector<prompt_piece> pieces;
  pieces.reserve(prefix.size());
  for (const relay::prompt_part& part : prefix) {
    pieces.push_back({prompt_part_key(hash_of(part.id)), part.tokens});
  }
  return pieces;
}

/// Calls of one program go to one service of a split route.
std::uint64_t service_draw(const relay::call_terms& terms) {
  return hash_of(terms.program ? terms.program->get() : terms.id.get());
}

server_outcome health_of(try_outcome outcome) {
  switch (outcome) {
    case try_outcome::whole:
      return server_outcome::answered;
    case try_outcome::not_run:
      return server_outcome::refused;
    case try_outcome::not_sent:
      return server_outcome::unreachable;
    case try_outcome::abandoned:
      return server_outcome::caller_left;
    case try_outcome::broken:
    case try_outcome::timed_out:
      return server_outcome::failed;
  }
  return server_outcome::failed;
}

std::string_view name_of(try_outcome outcome) {
  switch (outcome) {
    case try_outcome::whole:
      return "whole";
    case try_outcome::not_run:
      return "not_run";
    case try_outcome::not_sent:
      return "not_sent";
    case try_outcome::abandoned:
      return "abandoned";
    case try_outcome::broken:
      return "broken";
    case try_outcome::timed_out:
      return "timed_out";
  }
  return "";
}

std::int64_t milliseconds_since(net::steady_time from) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - from).count();
}

}  // namespace

/// Everything about one call under way.
struct call_service::call {
  call(relay::caller_link& from, http::request what) : caller(from), request(std::move(what)) {}

  relay::caller_link& caller;
  http::request request;
  relay::call_terms terms;
  route_table_ptr table;
  const route* taken = nullptr;
  /// Points into `table`; null when the caller shows no account's key.
  const account* caller_account = nullptr;
  /// The call's id as the ledger knows it.
  request_id turn_name;
  /// One of the route's services.
  service_name service;
  net::steady_time arrived = steady::now();
  net::steady_time until;
  std::set<backend_server_id> tried;
  /// Servers that may have begun to work on it.
  std::uint32_t runs = 0;
  int tries = 0;
  relay::try_handle handle;
  placement_wait wait;
  relay::backend_answer answer;
  std::string detail;
  /// The turn in the ledger, once admitted.
  std::optional<turn_request> turn;
  std::string history;
  bool settled = false;
  // Of a stream: what the caller has been sent.
  relay::event_splitter splitter;
  std::optional<std::uint64_t> last_event;
  std::int64_t events = 0;
  /// Of the try under way: its name, and the events before it.
  placement_id placed;
  std::int64_t events_before = 0;
  std::string output;
  net::steady_time first_event_at;
  // For the log line.
  backend_server_id server;
  std::optional<placement_basis> basis;
  std::string outcome;
  int status = 0;
  std::int64_t queued_ms = 0;
  std::int64_t ledger_ms = 0;
};

call_service::call_service(discovery::fleet_state& state, call_placer& places,
                           relay::backend_pool& pool, const relay::call_codec& with,
                           quota_gate& gate, turn_keeper& keeper, call_metrics& counters)
    : fleet(state),
      placer(places),
      backends(pool),
      codec(with),
      quotas(gate),
      turns(keeper),
      metrics(counters) {}

asio::awaitable<void> call_service::refuse(relay::caller_link& caller, const failure& why,
                                           const std::string& id, duration wait) {
  const error_answer& row = answer_for(why.kind);
  std::vector<http::header> headers{{"Content-Type", "application/json"}};
  if (row.retry_later) {
    const double part = static_cast<double>(hash_of(id) % 1000) / 1000;
    const bool long_wait =
        why.kind == error_kind::history_unavailable || why.kind == error_kind::not_ready ||
        why.kind == error_kind::no_listed_server || why.kind == error_kind::quota_unknown;
    const bool starting = steady::now() - this->started_at < longest_start;
    const double recovery = starting ? starting_retry_seconds : recovery_retry_seconds;
    const double least = std::max(long_wait ? recovery : retry_seconds, to_seconds(wait));
    headers.push_back({"Retry-After", fmt::format("{:.2f}", least + retry_spread * part)});
  }
  this->metrics.count(fmt::format("refused_{}", row.name));
  log(event::call_refused, {{"request", id},
                            {"kind", std::string(row.name)},
                            {"status", std::to_string(row.http_status)},
                            {"detail", why.detail}});
  const std::string body =
      fmt::format(R"({{"error":"{}","outcome":"{}"}})", row.name, outcome_name(row.outcome));
  co_await caller.respond(row.http_status, headers, body);
}

asio::awaitable<void> call_service::serve(relay::caller_link& caller, http::request request) {
  call one(caller, std::move(request));
  ++this->calls;
  caller.connection().watch_for_close([this, &one] {
    one.caller.note_gone();
    one.handle.abandon();
    one.wait.leave();
    this->metrics.count("callers_left");
  });
  co_await this->run(one);
  caller.connection().stop_watching();
  --this->calls;
}

std::optional<failure> call_service::prepare(call& one) {
  failure reason;
  auto terms = this->codec.decode_call(one.request, reason);
  if (!terms) {
    return reason;
  }
  one.terms = std::move(*terms);
  one.turn_name = one.terms.id;
  one.table = this->fleet.table();
  if (!one.table) {
    return failure{error_kind::not_ready, "no configuration is known yet"};
  }
  if (this->turning_away) {
    return failure{error_kind::host_leaving, "the host is about to stop"};
  }
  one.taken = one.table->find(one.terms.host_name, one.request.path);
  if (one.taken == nullptr) {
    return failure{error_kind::not_found,
                   fmt::format("no route for {}{} in version {}", one.terms.host_name,
                               one.request.path, one.table->version().get())};
  }
  if (auto unknown = identify(one)) {
    return unknown;
  }
  one.service = route_table::choose_service(*one.taken, service_draw(one.terms));
  const duration longest = one.terms.deadline.value_or(one.taken->timeout);
  one.until = one.arrived + std::min(longest, one.taken->timeout);
  return std::nullopt;
}

std::optional<failure> call_service::identify(call& one) {
  const account_table_ptr& accounts = one.table->source().accounts;
  if (!accounts) {
    return std::nullopt;
  }
  one.caller_account = one.terms.key ? accounts->find(*one.terms.key) : nullptr;
  if (one.caller_account == nullptr && !one.taken->open_to_all) {
    return failure{error_kind::not_authenticated,
                   fmt::format("{} in version {}", one.terms.key ? "unknown key" : "no key",
                               one.table->version().get())};
  }
  keep_apart(one);
  return std::nullopt;
}

void call_service::keep_apart(call& one) {
  const client_account holder =
      one.caller_account == nullptr ? client_account() : one.caller_account->name;
  one.turn_name = request_id(within_account(holder, one.terms.id.get()));
  if (one.terms.program) {
    one.terms.program = program_id(within_account(holder, one.terms.program->get()));
  }
  if (one.terms.previous) {
    one.terms.previous = request_id(within_account(holder, one.terms.previous->get()));
  }
  if (!one.terms.session.get().empty()) {
    one.terms.session = session_id(within_account(holder, one.terms.session.get()));
  }
}

bool call_service::still_identified(const call& one) const {
  const route_table_ptr& newest = this->fleet.table();
  if (one.caller_account == nullptr || one.taken->open_to_all || newest == one.table ||
      !newest->source().accounts) {
    return true;
  }
  const account* holder = newest->source().accounts->find(*one.terms.key);
  return holder != nullptr && holder->name == one.caller_account->name;
}

asio::awaitable<void> call_service::run(call& one) {
  const std::optional<failure> unfit = this->prepare(one);
  if (unfit) {
    co_await this->refuse(one.caller, *unfit, one.terms.id.get());
    co_return;
  }
  if (!co_await this->admit_to_quota(one) || !co_await this->admit(one)) {
    co_return;
  }
  bool again = true;
  while (again) {
    again = co_await this->run_once(one);
  }
  this->log_call(one);
}

asio::awaitable<bool> call_service::run_once(call& one) {
  const acquired_server got = co_await this->acquire(one);
  if (!this->still_identified(one)) {
    if (got.server) {
      this->placer.finished(one.service, got.id, server_outcome::caller_left);
    }
    const bool may_have_run = one.runs > 0;
    const failure why{may_have_run ? error_kind::backend_failed : error_kind::not_authenticated,
                      "the key was taken away meanwhile"};
    co_await this->give_up(one, why);
    co_return false;
  }
  if (got.caller_left) {
    one.outcome = "caller_left";
    co_await this->settle_broken(one);
    co_return false;
  }
  if (!got.server) {
    failure why{error_kind::no_backend_server,
                one.detail.empty() ? "no server can take it in its time" : one.detail};
    if (one.runs > 0) {
      // An earlier try may have run: only what has not run is refused as such.
      why.kind = error_kind::backend_failed;
    } else if (!this->placer.lists_servers(one.service)) {
      why.kind = error_kind::no_listed_server;
    }
    co_await this->give_up(one, why);
    co_return false;
  }
  const try_outcome outcome = co_await this->try_server(one, *got.server);
  this->note_try(one, got, outcome);
  one.outcome = name_of(outcome);
  if (outcome == try_outcome::whole) {
    co_await this->finish_whole(one);
    co_return false;
  }
  if (outcome == try_outcome::abandoned) {
    co_await this->settle_broken(one);
    co_return false;
  }
  one.tried.insert(got.server->id);
  if (this->may_try_again(one, outcome)) {
    co_return true;
  }
  failure why{error_kind::backend_failed, one.detail};
  if (one.runs == 0) {
    why.kind = error_kind::no_backend_server;
  } else if (outcome == try_outcome::timed_out) {
    why.kind = error_kind::deadline_exceeded;
  }
  co_await this->give_up(one, why);
  co_return false;
}

asio::awaitable<bool> call_service::admit_to_quota(call& one) {
  if (one.caller_account == nullptr || !one.caller_account->limit.limits()) {
    co_return true;
  }
  quota_question question;
  question.account = one.caller_account->name;
  question.limit = one.caller_account->limit;
  question.version = limit_version(one.table->version().get());
  if (one.terms.program) {
    const bool is_turn = one.taken->kind == call_kind::stream;
    const bool begun =
        one.terms.previous || this->goes_on(one.service, pieces_of(one.terms.prefix));
    question.program =
        quota_program{program_key(hash_of(one.terms.program->get())), is_turn && !begun};
  }
  const net::steady_time began = steady::now();
  const quota_admission admission =
      co_await this->quotas.admit(question, service_draw(one.terms), one.until);
  this->metrics.record("quota_admit", std::chrono::duration_cast<duration>(steady::now() - began));
  if (admission.decision == quota_decision::granted) {
    co_return true;
  }
  failure why{error_kind::quota_unknown, "no keeper of the quota answers"};
  if (admission.decision == quota_decision::over_limit) {
    why.kind = error_kind::over_limit;
    why.detail = fmt::format("{} calls a second and {} on top, room in {} ms",
                             question.limit.calls_per_second, question.limit.burst,
                             admission.room_in.count() / 1000);
  }
  why.detail = fmt::format("client account {}, program {}: {}", question.account.get(),
                           one.terms.program ? one.terms.program->get() : "", why.detail);
  co_await this->refuse(one.caller, why, one.terms.id.get(), admission.room_in);
  co_return false;
}

asio::awaitable<bool> call_service::admit(call& one) {
  const bool counted = one.taken->kind == call_kind::stream && one.terms.program;
  if (!counted || (!one.taken->keeps_turns && !one.terms.budget)) {
    co_return true;
  }
  turn_request turn;
  turn.id = one.turn_name;
  turn.program = *one.terms.program;
  turn.most = one.terms.most_output;
  turn.budget = one.terms.budget;
  turn.kept = one.taken->keeps_turns;
  turn.previous = one.terms.previous;
  turn.retention = one.taken->retention;
  const net::steady_time began = steady::now();
  const turn_admission admission = co_await this->turns.admit(turn, one.until);
  one.ledger_ms = milliseconds_since(began);
  this->metrics.record("ledger_admit", std::chrono::duration_cast<duration>(steady::now() - began));
  failure why;
  why.detail = admission.detail;
  switch (admission.kind) {
    case admission_kind::admitted:
      one.turn = turn;
      one.history = admission.history;
      co_return true;
    case admission_kind::over_budget:
      why.kind = error_kind::budget_exhausted;
      break;
    case admission_kind::unknown_turn:
      why.kind = error_kind::turn_unknown;
      break;
    case admission_kind::unavailable:
      why.kind = error_kind::history_unavailable;
      break;
  }
  co_await this->refuse(one.caller, why, one.terms.id.get());
  co_return false;
}

asio::awaitable<acquired_server> call_service::acquire(call& one) {
  acquired_server got;
  if (one.caller.gone()) {
    got.caller_left = true;
    co_return got;
  }
  const timestamp now = discovery::scheduler_now();
  const auto left = std::chrono::duration_cast<duration>(one.until - steady::now());
  placement_request request;
  request.affinity = affinity_of(*one.taken, one.terms);
  request.kind = hash_of(one.taken->name.get());
  if (one.taken->sticky) {
    request.prompt = pieces_of(one.terms.prefix);
  }
  request.begun = one.terms.previous.has_value() || this->goes_on(one.service, request.prompt);
  const bool has_own = one.caller_account != nullptr && one.caller_account->priority;
  request.priority = has_own ? *one.caller_account->priority : one.taken->priority;
  if (one.caller_account != nullptr) {
    request.account = one.caller_account->name;
  }
  request.wanted_by = now + one.terms.program_time_left.value_or(left);
  request.give_up_at = now + left - least_service_time;
  request.tried = one.tried;
  got = co_await this->placer.acquire(one.service, request, one.wait);
  one.placed = got.id;
  one.basis = got.basis;
  one.queued_ms += got.waited.count() / 1000;
  co_return got;
}

bool call_service::goes_on(const service_name& service, const std::vector<prompt_piece>& prompt) {
  // The first part is shared by all programs of a kind, the one behind it is the program's.
  return prompt.size() > 1 && this->placer.knows(service, prompt[1].key);
}

void call_service::note_try(const call& one, const acquired_server& got, try_outcome outcome) {
  constexpr int first_server_error = 500;
  server_outcome health = health_of(outcome);
  if (outcome == try_outcome::whole && one.answer.status >= first_server_error) {
    health = server_outcome::error_answer;
  }
  this->placer.finished(one.service, got.id, health);
}

asio::awaitable<try_outcome> call_service::try_server(call& one, const backend_entry& server) {
  ++one.tries;
  one.server = server.id;
  one.events_before = one.events;
  one.splitter = {};
  one.handle = {};
  relay::dispatch_terms terms;
  terms.server = server.id;
  terms.time_left = std::max(std::chrono::duration_cast<duration>(one.until - steady::now()),
                             duration(std::chrono::milliseconds(1)));
  terms.hides_key = one.table->source().accounts != nullptr;
  if (one.caller_account != nullptr) {
    terms.account = one.caller_account->name;
  }
  terms.last_event = one.last_event ? one.last_event : one.terms.last_event;
  relay::backend_request request;
  request.where = server.address;
  request.server_start = server.start;
  request.method = one.request.method;
  request.target = one.request.target;
  request.headers = this->codec.dispatch_headers(one.request, terms);
  const std::string body = one.history + one.request.body;
  request.body = body;
  request.id = one.terms.id;
  request.until = one.until + timeout_slack;
  request.repeatable = one.taken->kind == call_kind::idempotent;
  relay::stream_sink sink;
  sink.on_head = [this, &one](const relay::backend_answer& head) {
    return this->stream_head(one, head);
  };
  sink.on_bytes = [this, &one](std::string_view bytes) { return this->stream_bytes(one, bytes); };
  one.answer = {};
  try_outcome outcome =
      co_await this->backends.run(request, sink, one.handle, one.answer, one.detail);
  if (outcome == try_outcome::abandoned && !one.caller.gone()) {
    outcome = try_outcome::broken;
  }
  const bool is_success = one.answer.status >= 200 && one.answer.status < 300;
  if (outcome == try_outcome::whole && is_success && !one.answer.terms.is_signed) {
    one.detail = "a success without the server's signature";
    outcome = try_outcome::broken;
  }
  if (outcome == try_outcome::whole && one.caller.started() && !is_success) {
    one.detail = fmt::format("status {} to a stream that was to go on", one.answer.status);
    outcome = try_outcome::broken;
  }
  if (outcome == try_outcome::whole && one.caller.started() && !one.splitter.between_events()) {
    one.detail = "the stream ended inside an event";
    outcome = try_outcome::broken;
  }
  const bool may_have_run = outcome != try_outcome::not_sent && outcome != try_outcome::not_run;
  one.runs += may_have_run ? 1 : 0;
  this->metrics.count(fmt::format("tries_{}", name_of(outcome)));
  co_return outcome;
}

bool call_service::may_try_again(const call& one, try_outcome outcome) const {
  const bool time_left = steady::now() + least_service_time < one.until;
  if (!time_left || one.tries >= most_tries || one.caller.gone()) {
    return false;
  }
  if (outcome == try_outcome::not_sent || outcome == try_outcome::not_run) {
    return true;
  }
  if (outcome == try_outcome::timed_out || one.runs >= one.taken->max_attempts) {
    return false;
  }
  return one.taken->kind == call_kind::idempotent || one.taken->resumable;
}

asio::awaitable<bool> call_service::stream_head(call& one, const relay::backend_answer& head) {
  if (one.caller.started()) {
    co_return true;
  }
  if (!head.terms.is_signed) {
    one.detail = "a stream without the server's signature";
    co_return false;
  }
  one.status = head.status;
  const std::vector<http::header> headers = relay::end_to_end(head.headers);
  co_return co_await one.caller.start(head.status, headers);
}

asio::awaitable<bool> call_service::stream_bytes(call& one, std::string_view bytes) {
  std::string out;
  for (relay::stream_event& item : one.splitter.add(bytes)) {
    out += item.bytes;
    if (one.events == one.events_before) {
      this->placer.started(one.service, one.placed);
    }
    if (one.events == 0) {
      one.first_event_at = steady::now();
    }
    ++one.events;
    one.last_event = item.id ? item.id : one.last_event;
    if (one.turn && one.turn->kept) {
      one.output += item.data;
      one.output += '\n';
    }
  }
  co_return co_await one.caller.write(out);
}

asio::awaitable<void> call_service::finish_whole(call& one) {
  if (one.caller.started()) {
    co_await this->finish_stream(one);
    co_return;
  }
  one.status = one.answer.status;
  if (one.turn) {
    co_await this->settle_broken(one);
  }
  const std::vector<http::header> headers = relay::end_to_end(one.answer.headers);
  co_await one.caller.respond(one.answer.status, headers, one.answer.body);
}

token_count call_service::tokens_handed_out(const call& one) {
  const service* pool = one.table->find_service(one.service);
  const std::int64_t each =
      pool != nullptr && pool->engine ? pool->engine->tokens_per_event.get() : 1;
  return token_count(one.events * each);
}

asio::awaitable<void> call_service::finish_stream(call& one) {
  if (one.turn) {
    turn_result result;
    result.used = tokens_handed_out(one);
    result.whole = true;
    result.input = one.request.body;
    result.output = std::move(one.output);
    one.settled = true;
    const net::steady_time began = steady::now();
    const bool kept =
        co_await this->turns.settle(*one.turn, std::move(result), one.until + timeout_slack);
    one.ledger_ms += milliseconds_since(began);
    this->metrics.record("ledger_settle",
                         std::chrono::duration_cast<duration>(steady::now() - began));
    if (!kept && one.turn->kept) {
      one.outcome = "not_kept";
      one.caller.break_off();
      co_return;
    }
  }
  co_await one.caller.finish();
}

asio::awaitable<void> call_service::settle_broken(call& one) {
  if (!one.turn || one.settled) {
    co_return;
  }
  one.settled = true;
  if (one.runs == 0) {
    this->turns.withdraw(*one.turn);
    co_return;
  }
  turn_result result;
  result.used = tokens_handed_out(one);
  const net::steady_time until = steady::now() + settle_patience;
  co_await this->turns.settle(*one.turn, std::move(result), until);
}

asio::awaitable<void> call_service::give_up(call& one, failure why) {
  if (one.caller.started()) {
    one.caller.break_off();
    one.outcome += " after the head";
  } else {
    one.status = answer_for(why.kind).http_status;
    co_await this->refuse(one.caller, why, one.terms.id.get());
  }
  co_await this->settle_broken(one);
}

void call_service::log_call(const call& one) const {
  const auto took = std::chrono::duration_cast<duration>(steady::now() - one.arrived);
  this->metrics.count(fmt::format("calls_{}", one.outcome));
  this->metrics.record("call_" + one.taken->name.get(), took);
  if (one.events > 0) {
    this->metrics.record("first_event",
                         std::chrono::duration_cast<duration>(one.first_event_at - one.arrived));
  }
  const placement_basis basis = one.basis.value_or(placement_basis{});
  log(event::call_ended, {{"request", one.terms.id.get()},
                          {"program", one.terms.program ? one.terms.program->get() : ""},
                          {"account", one.caller_account ? one.caller_account->name.get() : ""},
                          {"route", one.taken->name.get()},
                          {"version", std::to_string(one.table->version().get())},
                          {"server", one.server.get()},
                          {"outcome", one.outcome},
                          {"status", std::to_string(one.status)},
                          {"tries", std::to_string(one.tries)},
                          {"events", std::to_string(one.events)},
                          {"server_calls", fmt::format("{:.0f}", basis.calls)},
                          {"load_age_ms", std::to_string(basis.load_age.count() / 1000)},
                          {"missing_tokens", std::to_string(basis.missing_tokens.get())},
                          {"holds_line", basis.holds_line ? "yes" : "no"},
                          {"queue_ms", std::to_string(one.queued_ms)},
                          {"ledger_ms", std::to_string(one.ledger_ms)},
                          {"took_ms", std::to_string(milliseconds_since(one.arrived))},
                          {"detail", one.detail}});
}

}  // namespace hawthornlane::front
