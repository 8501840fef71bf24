// The end of a call: its answer, its turn's record in the ledger, its log line.
#include <fmt/format.h>

#include "call_state.h"
#include "hawthornlane/relay/framing.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Time limit for recording the tokens that a broken turn has used. Until they are recorded, its
/// whole reservation counts against the budget.
constexpr auto settle_timeout = std::chrono::seconds(2);

std::string number_text(const std::optional<std::uint64_t>& number) {
  return number ? std::to_string(*number) : std::string();
}

}  // namespace

asio::awaitable<void> call_service::finish_whole(call& one) {
  if (one.caller.started()) {
    co_await this->finish_stream(one);
    co_return;
  }
  one.status = one.answer.status;
  if (one.turn) {
    co_await this->settle_incomplete(one);
  }
  const std::vector<http::header> headers = relay::end_to_end_headers(one.answer.headers);
  co_await one.caller.respond(one.answer.status, headers, one.answer.body);
}

token_count call_service::tokens_sent(const call& one) {
  const service* pool = one.table->find_service(one.service);
  const std::int64_t each =
      pool != nullptr && pool->engine ? pool->engine->tokens_per_event.get() : 1;
  return token_count(one.events * each);
}

asio::awaitable<void> call_service::finish_stream(call& one) {
  if (one.turn) {
    turn_result result;
    result.used = tokens_sent(one);
    result.whole = true;
    result.input = one.sent->input;
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
      one.caller.abort_connection();
      co_return;
    }
  }
  co_await one.caller.finish();
}

asio::awaitable<void> call_service::settle_incomplete(call& one) {
  if (!one.turn || one.settled) {
    co_return;
  }
  one.settled = true;
  if (one.possible_runs == 0) {
    this->turns.withdraw(*one.turn);
    co_return;
  }
  turn_result result;
  result.used = tokens_sent(one);
  const net::steady_time until = steady::now() + settle_timeout;
  co_await this->turns.settle(*one.turn, std::move(result), until);
}

asio::awaitable<void> call_service::give_up(call& one, failure why, duration wait) {
  if (one.caller.started()) {
    one.caller.abort_connection();
    one.outcome += " after the head";
  } else {
    one.status = answer_for(why.kind).http_status;
    co_await this->refuse(one.caller, why, one.terms.id.get(), wait);
  }
  co_await this->settle_incomplete(one);
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
  log(event::call_ended,
      {{"request", one.terms.id.get()},
       {"program", one.terms.program ? one.terms.program->get() : ""},
       {"account", one.caller_account ? one.caller_account->name.get() : ""},
       {"content", one.fingerprint ? text_of(*one.fingerprint) : ""},
       {"route", one.taken->name.get()},
       {"version", std::to_string(one.table->version().get())},
       {"server", one.server.get()},
       {"server_version", one.server_version.get()},
       {"resumes", one.terms.resumes ? one.terms.resumes->get() : ""},
       {"last_event", number_text(one.terms.last_event)},
       {"outcome", one.outcome},
       {"status", std::to_string(one.status)},
       {"tries", std::to_string(one.tries)},
       {"events", std::to_string(one.events)},
       {"id_gaps", std::to_string(one.id_gaps)},
       {"ended_by", one.answer.ends_with_connection ? "connection" : "framing"},
       {"caller_framing", one.caller.ends_with_connection() ? "connection" : "chunks"},
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
