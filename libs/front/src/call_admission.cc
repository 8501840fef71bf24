// Admission of a call: decodes, routes and authenticates it, and checks its account's quota and
// its program's budget.
#include <fmt/format.h>

#include <algorithm>

#include "call_state.h"
#include "hawthornlane/accounts/account_scope.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Ledger program of a stream that belongs to none. No caller can send a line feed in a header.
program_id program_of_stream(const request_id& origin) {
  return program_id("stream\n" + origin.get());
}

/// Copies of a kept turn's input while it is stored: the record, its message, and one on the way to
/// each of three disk hosts.
constexpr std::size_t kept_turn_copies = 5;

}  // namespace

bool call_service::hold_copies(const call& one) {
  const std::size_t kept =
      one.taken->keeps_turns ? kept_turn_copies * one.request.body.size() : std::size_t{0};
  return one.caller.hold_also(kept + one.history.size());
}

std::optional<failure> call_service::prepare(call& one) {
  if (auto malformed = this->decode(one)) {
    return malformed;
  }
  if (auto unroutable = this->find_route(one)) {
    return unroutable;
  }
  if (auto unknown = authenticate(one)) {
    return unknown;
  }
  one.is_resumption = takes_up_stream(one);
  const client_account holder =
      one.caller_account == nullptr ? client_account() : one.caller_account->name;
  one.fingerprint = fingerprint_of(one.request, one.terms, holder);
  one.service = route_table::choose_service(*one.taken, service_draw(one.terms));
  if (this->standing_of(one) == crash_standing::blocked) {
    return failure{error_kind::request_crashes_servers, text_of(*one.fingerprint)};
  }
  const duration longest = one.terms.deadline.value_or(one.taken->timeout);
  one.time_limit = one.arrived + std::min(longest, one.taken->timeout);
  one.until = one.time_limit;
  return this->admit_during_stop(one);
}

std::optional<failure> call_service::decode(call& one) {
  failure reason;
  auto terms = this->codec.decode_call(one.request, reason);
  if (!terms) {
    return reason;
  }
  one.terms = std::move(*terms);
  one.ledger_turn_id = one.terms.id;
  one.resumes = one.terms.resumes;
  return std::nullopt;
}

std::optional<failure> call_service::find_route(call& one) {
  one.table = this->fleet.table();
  if (!one.table) {
    return failure{error_kind::not_ready, "no configuration has been received yet"};
  }
  if (!this->crashes.informed()) {
    return failure{error_kind::not_ready, "crashes under requests have not been read yet"};
  }
  if (this->stop && this->stop->rules.rejects_calls(this->stop->elapsed())) {
    return failure{error_kind::host_leaving, "the host is stopping"};
  }
  one.taken = one.table->find(one.terms.host_name, one.request.path);
  if (one.taken == nullptr) {
    return failure{error_kind::not_found,
                   fmt::format("no route for {}{} in version {}", one.terms.host_name,
                               one.request.path, one.table->version().get())};
  }
  return std::nullopt;
}

std::optional<failure> call_service::authenticate(call& one) {
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
  scope_ids(one);
  return std::nullopt;
}

void call_service::scope_ids(call& one) {
  const client_account holder =
      one.caller_account == nullptr ? client_account() : one.caller_account->name;
  one.ledger_turn_id = request_id(within_account(holder, one.terms.id.get()));
  if (one.resumes) {
    one.resumes = request_id(within_account(holder, one.resumes->get()));
  }
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

bool call_service::still_authenticated(const call& one) const {
  const route_table_ptr& newest = this->fleet.table();
  if (one.caller_account == nullptr || one.taken->open_to_all || newest == one.table ||
      !newest->source().accounts) {
    return true;
  }
  const account* holder = newest->source().accounts->find(*one.terms.key);
  return holder != nullptr && holder->name == one.caller_account->name;
}

// One `co_await` a statement: GCC 12 evaluates all operands of a condition with three of them.
asio::awaitable<bool> call_service::admit(call& one) {
  const bool has_quota = co_await this->admit_to_quota(one);
  if (!has_quota) {
    co_return false;
  }
  const bool is_recorded = co_await this->admit_to_ledger(one);
  if (!is_recorded) {
    co_return false;
  }
  co_return co_await this->admit_resumption(one);
}

asio::awaitable<bool> call_service::admit_to_quota(call& one) {
  if (one.caller_account == nullptr || !one.caller_account->limit.limits()) {
    co_return true;
  }
  quota_request request;
  request.account = one.caller_account->name;
  request.limit = one.caller_account->limit;
  request.version = limit_version(one.table->version().get());
  if (one.terms.program) {
    const bool may_be_first_turn = one.taken->kind == call_kind::stream && !one.terms.previous;
    const bool is_first_turn =
        may_be_first_turn && !this->continues_program(one.service, pieces_of(one.terms.prefix));
    request.program = quota_program{program_key(hash_of(one.terms.program->get())), is_first_turn};
  }
  const net::steady_time began = steady::now();
  const quota_admission admission =
      co_await this->quotas.admit(request, service_draw(one.terms), one.until);
  this->metrics.record("quota_admit", std::chrono::duration_cast<duration>(steady::now() - began));
  if (admission.decision == quota_decision::granted) {
    co_return true;
  }
  failure why{error_kind::quota_unknown, "no quota manager could decide"};
  if (admission.decision == quota_decision::over_limit) {
    why.kind = error_kind::over_limit;
    why.detail = fmt::format("exceeds {} calls per second with a burst of {}, retry in {} ms",
                             request.limit.calls_per_second, request.limit.burst,
                             admission.retry_after.count() / 1000);
  }
  why.detail = fmt::format("client account {}, program {}: {}", request.account.get(),
                           one.terms.program ? one.terms.program->get() : "", why.detail);
  co_await this->refuse(one.caller, why, one.terms.id.get(), admission.retry_after);
  co_return false;
}

turn_request call_service::turn_request_of(call& one, bool counted) {
  turn_request turn;
  turn.id = one.ledger_turn_id;
  turn.program = one.terms.program.value_or(program_of_stream(one.resumes.value_or(turn.id)));
  if (counted) {
    turn.max_output_tokens = one.terms.max_output;
    turn.budget = one.terms.budget;
    turn.kept = one.taken->keeps_turns;
    turn.previous = one.terms.previous;
  }
  turn.retention = one.taken->retention;
  if (one.is_resumption) {
    turn.resumes = one.resumes;
  } else if (one.origin) {
    const auto only_version = this->placer.only_listed_version(one.service);
    turn.origin = one.origin->writer.at_admission(one.service, only_version);
  }
  return turn;
}

asio::awaitable<bool> call_service::admit_to_ledger(call& one) {
  const bool is_stream = one.taken->kind == call_kind::stream;
  const bool counted =
      is_stream && one.terms.program && (one.taken->keeps_turns || one.terms.budget.has_value());
  if (is_stream && one.taken->resumable && !one.is_resumption) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    one.origin = std::make_shared<origin_state>(executor);
  }
  if (!counted && !this->needs_origin_record(one)) {
    co_return true;
  }
  const failure no_room{error_kind::overloaded, "the calls in memory are too large"};
  if (!hold_copies(one)) {
    co_await this->refuse(one.caller, no_room, one.terms.id.get());
    co_return false;
  }
  const turn_request turn = this->turn_request_of(one, counted);
  const net::steady_time began = steady::now();
  turn_admission admission = co_await this->turns.admit(turn, one.until);
  one.ledger_ms = milliseconds_since(began);
  this->metrics.record("ledger_admit", std::chrono::duration_cast<duration>(steady::now() - began));
  failure why;
  why.detail = admission.detail;
  switch (admission.kind) {
    case admission_kind::admitted:
      one.turn = turn;
      one.history = std::move(admission.history);
      if (!hold_copies(one)) {
        this->turns.withdraw(turn);
        co_await this->refuse(one.caller, no_room, one.terms.id.get());
        co_return false;
      }
      one.origin_found = admission.origin_found;
      one.stored_origin = admission.origin;
      co_return true;
    case admission_kind::over_budget:
      why.kind = error_kind::budget_exhausted;
      break;
    case admission_kind::unknown_turn:
      why.kind = error_kind::turn_unknown;
      break;
    case admission_kind::unavailable:
      if (!counted) {
        co_return true;
      }
      why.kind = error_kind::history_unavailable;
      break;
  }
  co_await this->refuse(one.caller, why, one.terms.id.get());
  co_return false;
}

}  // namespace hawthornlane::front
