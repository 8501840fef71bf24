// The software version of a call's stream: stored before the first event leaves, and found again
// when the stream is taken up after a break.
#include <algorithm>

#include "call_state.h"
#include "hawthornlane/telemetry/log.h"
#include "hawthornlane/turn_ledger/resumption.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Time limit for storing an origin.
constexpr auto origin_write_time = std::chrono::seconds(1);
/// Longest time that a first event waits for its origin if nothing else has been stored for the
/// stream. After it the stream goes on, but a resumption may find no origin and be refused.
constexpr auto max_origin_wait = std::chrono::milliseconds(200);
}  // namespace

bool call_service::takes_up_stream(const call& one) {
  const bool has_part = one.terms.last_event.value_or(0) > 0;
  return one.taken->kind == call_kind::stream && (has_part || one.terms.resumes);
}

bool call_service::needs_origin_record(const call& one) {
  if (one.is_resumption) {
    return one.resumes.has_value();
  }
  return one.origin != nullptr;
}

std::optional<software_version> call_service::required_version(const call& one) {
  return one.events > 0 ? std::optional(one.origin_version) : one.resumed_version;
}

asio::awaitable<bool> call_service::admit_resumption(call& one) {
  if (!one.is_resumption) {
    co_return true;
  }
  resumption_facts facts;
  facts.found = one.origin_found;
  facts.origin = one.stored_origin;
  facts.service = one.service;
  facts.keeps_turns = one.taken->keeps_turns;
  const resumption_decision decision = decide_resumption(facts);
  one.resumed_version = decision.version;
  if (decision.version && this->placer.lists_version(one.service, *decision.version)) {
    co_return true;
  }
  failure why{error_kind::stream_version_unknown, std::string(name_of(decision.kind))};
  if (!this->placer.has_listed_servers(one.service)) {
    why = {error_kind::no_listed_server, "no server of the service is listed"};
  } else if (decision.version) {
    why = {error_kind::stream_version_gone,
           "no server of version " + decision.version->get() + " is listed"};
  }
  this->log_refused_resumption(one, why.detail);
  co_await this->refuse(one.caller, why, one.terms.id.get());
  co_await this->settle_incomplete(one);
  co_return false;
}

void call_service::store_origin(call& one, const backend_entry& server) {
  if (!one.origin || !one.turn || one.events > 0) {
    return;
  }
  const auto written = one.origin->writer.at_dispatch(one.service, server.version, server.id);
  if (!written) {
    return;
  }
  one.origin->under_way = written->write;
  ++one.origin->writes;
  this->metrics.count("origins_stored");
  const auto on_stored = [state = one.origin, origin = *written](bool stored) {
    if (stored) {
      state->writer.confirmed(origin);
    }
    if (state->under_way == origin.write) {
      state->under_way = 0;
      state->stored.cancel();
    }
  };
  this->turns.store_origin(*one.turn, *written, steady::now() + origin_write_time, on_stored);
}

bool call_service::is_known_process(const call& one) const {
  const auto& listed = this->fleet.backends().listed();
  const auto entry = listed.find(one.server);
  return entry == listed.end() || entry->second.start == one.server_start;
}

asio::awaitable<bool> call_service::may_first_event_leave(call& one) {
  if (!one.origin && !one.is_resumption) {
    co_return true;
  }
  if (!this->is_known_process(one)) {
    // The process that wrote the event may be of another version than the known one.
    one.detail = "the server has restarted under its id";
    co_return false;
  }
  const std::shared_ptr<origin_state> state = one.origin;
  if (one.events > 0 || !state || state->writes == 0) {
    co_return true;
  }
  const net::steady_time began = steady::now();
  while (state->under_way != 0) {
    const net::steady_time until = state->writer.may_leave() ? began + max_origin_wait : one.until;
    if (steady::now() >= until) {
      break;
    }
    state->stored.expires_at(until);
    boost::system::error_code ignored;
    co_await state->stored.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  this->metrics.record("origin_wait", std::chrono::duration_cast<duration>(steady::now() - began));
  if (!state->writer.may_leave()) {
    one.detail = "the version that begins the stream could not be stored";
  }
  co_return state->writer.may_leave();
}

/// What is logged of a resumption, whether it is placed or refused.
struct call_service::resumption_log {
  std::string decision;
  backend_entry server;
  std::string detail;

  void write(const call& one) const {
    const bool by_host = one.events > 0;
    const std::uint64_t before = one.last_event.value_or(one.terms.last_event.value_or(0));
    const backend_server_id stored_for =
        one.stored_origin ? one.stored_origin->server : backend_server_id();
    const software_version version = required_version(one).value_or(software_version());
    log(event::resumption_decided,
        {{"request", one.terms.id.get()},
         {"resumes", one.terms.resumes ? one.terms.resumes->get() : ""},
         {"by", by_host ? "host" : "caller"},
         {"last_event", std::to_string(before)},
         {"origin_server", by_host ? one.origin_server.get() : stored_for.get()},
         {"origin_version", version.get()},
         {"decision", this->decision},
         {"server", this->server.id.get()},
         {"server_version", this->server.version.get()},
         {"detail", this->detail}});
  }
};

void call_service::log_placed_resumption(const call& one, const backend_entry& server) {
  resumption_log{"placed", server, ""}.write(one);
}

void call_service::log_refused_resumption(const call& one, const std::string& detail) {
  this->metrics.count("resumptions_refused");
  resumption_log{"refused", {}, detail}.write(one);
}

}  // namespace hawthornlane::front
