// One attempt of a call at one server: sends it, relays its stream and classifies the outcome.
#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "call_state.h"
#include "hawthornlane/relay/framing.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using relay::attempt_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// Attempts per call. Each costs a few milliseconds, and after this many refusals the whole
/// service is full.
constexpr int max_tries = 6;
/// Limit of one event of a stream.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
/// A stream may have twice the events that its tokens take, and this many in any case: the limit
/// only has to end a stream that would not end by itself.
constexpr std::int64_t min_event_limit = 1000;

server_outcome health_of(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::whole:
      return server_outcome::answered;
    case attempt_outcome::not_run:
      return server_outcome::refused;
    case attempt_outcome::not_sent:
      return server_outcome::unreachable;
    case attempt_outcome::abandoned:
      return server_outcome::caller_left;
    case attempt_outcome::broken:
    case attempt_outcome::timed_out:
      return server_outcome::failed;
  }
  return server_outcome::failed;
}

}  // namespace

std::string_view name_of(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::whole:
      return "whole";
    case attempt_outcome::not_run:
      return "not_run";
    case attempt_outcome::not_sent:
      return "not_sent";
    case attempt_outcome::abandoned:
      return "abandoned";
    case attempt_outcome::broken:
      return "broken";
    case attempt_outcome::timed_out:
      return "timed_out";
  }
  return "";
}

void call_service::report_outcome(const call& one, const acquired_server& acquired,
                                  attempt_outcome outcome) {
  constexpr int first_server_error = 500;
  server_outcome health = health_of(outcome);
  if (outcome == attempt_outcome::whole && one.answer.status >= first_server_error) {
    health = server_outcome::error_answer;
  }
  this->placer.finished(one.service, acquired.id, health);
}

relay::dispatch_terms call_service::terms_for(const call& one, const backend_entry& server) {
  relay::dispatch_terms terms;
  terms.server = server.id;
  terms.time_left = std::max(std::chrono::duration_cast<duration>(one.until - steady::now()),
                             duration(std::chrono::milliseconds(1)));
  terms.strips_key = one.table->source().accounts != nullptr;
  if (one.caller_account != nullptr) {
    terms.account = one.caller_account->name;
  }
  terms.last_event = one.last_event ? one.last_event : one.terms.last_event;
  return terms;
}

asio::awaitable<attempt_outcome> call_service::try_server(call& one, const backend_entry& server) {
  ++one.tries;
  if (one.events > 0 || one.is_resumption) {
    log_placed_resumption(one, server);
    this->metrics.count("resumptions_placed");
  }
  one.server = server.id;
  one.server_version = server.version;
  one.server_start = server.start;
  this->store_origin(one, server);
  one.sent_at = steady::now();
  one.events_before = one.events;
  one.is_run_invalid = false;
  one.splitter = {};
  one.handle = {};
  const relay::dispatch_terms terms = terms_for(one, server);
  relay::backend_request request;
  request.where = server.address;
  request.server_start = server.start;
  request.method = one.request.method;
  request.target = one.request.target;
  request.headers = this->codec.dispatch_headers(one.request, terms);
  if (!one.sent) {
    one.sent = std::make_shared<const call::sent_body>(
        call::sent_body{std::move(one.history), std::move(one.request.body)});
  }
  request.body_begin = one.sent->history;
  request.body = one.sent->input;
  request.body_owner = one.sent;
  request.id = one.terms.id;
  request.until = one.until + timeout_slack;
  request.repeatable = one.taken->kind == call_kind::idempotent;
  request.liveness_check = [this, &one, &server]() -> std::optional<http::request> {
    const service* pool = one.table->find_service(one.service);
    return pool != nullptr ? this->codec.liveness_check(*pool, server.id) : std::nullopt;
  };
  relay::stream_sink sink;
  sink.on_head = [this, &one](const relay::backend_response& head) {
    return this->stream_head(one, head);
  };
  sink.on_bytes = [this, &one](std::string_view bytes) { return this->stream_bytes(one, bytes); };
  one.answer = {};
  const attempt_outcome ended =
      co_await this->backends.run(request, sink, one.handle, one.answer, one.detail);
  log_malformed(one);
  attempt_outcome outcome = checked(one, ended);
  if (this->may_lack_rest(one, outcome)) {
    outcome = co_await this->read_rest(one, server, request, sink);
  }
  this->note_spoilt_stream(one);
  const bool may_have_run =
      outcome != attempt_outcome::not_sent && outcome != attempt_outcome::not_run;
  one.possible_runs += may_have_run ? 1 : 0;
  this->metrics.count(fmt::format("tries_{}", name_of(outcome)));
  if (one.answer.ends_with_connection) {
    this->metrics.count("responses_ended_by_connection");
  }
  co_return outcome;
}

void call_service::log_malformed(const call& one) {
  if (!one.answer.is_malformed) {
    return;
  }
  log(event::response_malformed,
      {{"request", one.terms.id.get()}, {"server", one.server.get()}, {"detail", one.detail}});
}

attempt_outcome call_service::checked(call& one, attempt_outcome outcome) {
  if (outcome == attempt_outcome::abandoned && !one.caller.gone() && !one.ended_by_stop) {
    return attempt_outcome::broken;
  }
  if (outcome == attempt_outcome::whole && one.answer.terms.is_encoded) {
    one.detail = "the body of the response is in a content coding";
    return attempt_outcome::broken;
  }
  const bool is_success = one.answer.status >= 200 && one.answer.status < 300;
  if (outcome == attempt_outcome::whole && is_success && !one.answer.terms.is_signed) {
    one.detail = "success response without the server's signature";
    return attempt_outcome::broken;
  }
  if (outcome == attempt_outcome::whole && one.caller.started() && !is_success) {
    one.detail = fmt::format("status {} when resuming a stream", one.answer.status);
    outcome = attempt_outcome::broken;
  }
  if (outcome == attempt_outcome::whole && one.caller.started() && !is_stream(one.answer)) {
    one.detail = "a stream was resumed with a response that is no stream";
    return attempt_outcome::broken;
  }
  if (outcome == attempt_outcome::whole && one.caller.started() &&
      !one.splitter.at_event_boundary()) {
    one.detail = "the stream ended inside an event";
    return attempt_outcome::broken;
  }
  return outcome;
}

bool call_service::may_try_again(const call& one, attempt_outcome outcome) const {
  const bool time_left = steady::now() + min_service_time < one.until;
  if (!time_left || one.is_spoilt || one.tries >= max_tries || one.caller.gone() ||
      one.ended_by_stop) {
    return false;
  }
  if (outcome == attempt_outcome::not_sent || outcome == attempt_outcome::not_run) {
    return true;
  }
  if (outcome == attempt_outcome::timed_out || one.possible_runs >= one.taken->max_attempts) {
    return false;
  }
  if (one.events > 0 && one.origin_version.get().empty()) {
    return false;
  }
  return one.taken->kind == call_kind::idempotent || one.taken->resumable;
}

std::int64_t call_service::max_events(const call& one) {
  const std::int64_t tokens = one.terms.max_output.get();
  if (tokens <= 0) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const service* pool = one.table->find_service(one.service);
  const std::int64_t each = pool != nullptr && pool->engine
                                ? std::max<std::int64_t>(pool->engine->tokens_per_event.get(), 1)
                                : 1;
  return std::max(min_event_limit, 2 * (tokens / each));
}

asio::awaitable<bool> call_service::stream_head(call& one, const relay::backend_response& head) {
  if (one.caller.started()) {
    co_return true;
  }
  if (!head.terms.is_signed) {
    one.detail = "stream without the server's signature";
    co_return false;
  }
  if (head.terms.is_encoded) {
    one.detail = "the stream is in a content coding";
    co_return false;
  }
  one.status = head.status;
  if (one.caller.ends_with_connection()) {
    this->metrics.count("streams_without_chunks");
  }
  const std::vector<http::header> headers = relay::end_to_end_headers(head.headers);
  co_return co_await one.caller.start(head.status, headers);
}

bool call_service::keep_new_events(const call& one, std::vector<relay::stream_event>& events) {
  std::erase_if(events, [](const auto& item) { return !item.id && item.data.empty(); });
  std::uint64_t last = one.last_event.value_or(one.terms.last_event.value_or(0));
  return std::none_of(events.begin(), events.end(), [&last](const auto& item) {
    const bool is_repeated = item.id && *item.id <= last;
    last = item.id.value_or(last);
    return is_repeated;
  });
}

void call_service::note_id_gap(call& one, const relay::stream_event& first) {
  const auto before = one.last_event ? one.last_event : one.terms.last_event;
  if (!before || !first.id || *first.id == *before + 1) {
    return;
  }
  ++one.id_gaps;
  this->metrics.count("resumption_id_gaps");
}

asio::awaitable<bool> call_service::stream_bytes(call& one, std::string_view bytes) {
  std::string out;
  std::vector<relay::stream_event> events = one.splitter.add(bytes);
  if (one.splitter.pending_bytes() > max_event_bytes) {
    co_return reject_run(one, "an event of the stream is too large");
  }
  if (!keep_new_events(one, events)) {
    co_return reject_run(one, "an event of the stream is repeated");
  }
  const auto count = static_cast<std::int64_t>(events.size());
  if (one.events + count > max_events(one)) {
    co_return reject_run(one, "the stream has more events than the tokens that it may generate");
  }
  if (one.events == one.events_before && !events.empty()) {
    const bool may_leave = co_await this->may_first_event_leave(one);
    if (!may_leave) {
      co_return false;
    }
  }
  for (relay::stream_event& item : events) {
    out += item.bytes;
    if (one.events == one.events_before) {
      this->placer.started(one.service, one.attempt_id);
      this->note_id_gap(one, item);
    }
    if (one.events == 0) {
      one.origin_server = one.server;
      one.origin_version = one.server_version;
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

}  // namespace hawthornlane::front
