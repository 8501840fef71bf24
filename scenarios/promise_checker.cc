// Checks what callers and backend servers observe against the promises to callers.
#include "promise_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace hawthornlane::scenarios {
namespace {

/// Of the test configuration.
constexpr int tokens_per_event = 10;
/// A call that is cut off this soon after it was sent may have been on its way while the host
/// closed the connection.
constexpr std::chrono::milliseconds crossing_slack{200};
/// Maximum number of servers at which an idempotent call or a resumable stream may run.
constexpr int max_runs = 2;
/// Resumptions of a stream at a server that has run it, which add no server to the call.
constexpr int max_rests = 3;
/// Servers that may end under one request.
constexpr int max_ends = 3;

/// Statuses that promise that the request has not run and never will.
bool promises_not_run(int status) {
  constexpr std::array promises{402, 408, 421, 429, 503};
  return std::find(promises.begin(), promises.end(), status) != promises.end();
}

}  // namespace

std::string fatal_request_in(const std::string& body) {
  const std::size_t begin = body.find(fatal_mark);
  if (begin == std::string::npos) {
    return "";
  }
  return body.substr(begin, body.find(';', begin) - begin);
}

void promise_checker::on_server_end(const std::string& fatal_request) {
  ++this->ends[fatal_request];
}

int promise_checker::fatal_requests_stopped() const {
  return static_cast<int>(std::count_if(this->ends.begin(), this->ends.end(),
                                        [](const auto& item) { return item.second >= max_ends; }));
}

int promise_checker::servers_ended() const {
  int sum = 0;
  for (const auto& [request, count] : this->ends) {
    sum += count;
  }
  return sum;
}

void promise_checker::note(const std::string& what) { this->found.push_back(what); }

void promise_checker::on_sent(const sent_call& call) { this->calls[call.request.id].sent = call; }

int promise_checker::runs(const std::string& id) const {
  const auto call = this->calls.find(id);
  return call == this->calls.end() ? 0 : call->second.runs;
}

void promise_checker::on_arrival(const std::string& server,
                                 const stand_ins::backend_arrival& arrival) {
  if (!arrival.ran) {
    return;
  }
  const std::string id = arrival.request.find_header("X-Request-Id").value_or("");
  const auto found_call = this->calls.find(id);
  if (found_call == this->calls.end()) {
    this->note(fmt::format("{} ran request '{}', which no caller sent: {} {}", server, id,
                           arrival.request.method, arrival.request.target));
    return;
  }
  known_call& call = found_call->second;
  const sent_call& sent = call.sent;
  ++call.runs;
  const bool is_first_here = ++call.servers[server] == 1;
  const bool may_ask_rest =
      sent.repeats == repetition::resumable && arrival.request.find_header("Last-Event-Id");
  if (!is_first_here && may_ask_rest) {
    if (call.servers[server] > 1 + max_rests) {
      this->note(fmt::format("{} was asked for the rest of {} {} times", server, id,
                             call.servers[server] - 1));
    }
    --call.runs;
  }
  const int maximum = sent.repeats == repetition::once ? 1 : max_runs;
  if (call.runs > maximum) {
    this->note(
        fmt::format("{} ran {} {} times, at most {} allowed", server, id, call.runs, maximum));
  }
  const std::string fatal_request = fatal_request_in(arrival.request.body);
  if (!fatal_request.empty() && this->ends[fatal_request] >= max_ends) {
    this->note(fmt::format("{} received {} after {} servers had ended under '{}'", server, id,
                           this->ends[fatal_request], fatal_request));
  }
  if (call.refused != 0) {
    this->note(fmt::format("{} ran {} after the call was answered {}", server, id, call.refused));
  }
  if (arrival.is_read && arrival.request.body != sent.body_at_server) {
    this->note(fmt::format("{} received a wrong body for {}: {} bytes, expected {}", server, id,
                           arrival.request.body.size(), sent.body_at_server.size()));
  }
  if (arrival.request.find_header("X-Tenant").value_or("") != sent.account ||
      arrival.request.find_header("Authorization")) {
    this->note(fmt::format("{} received {} for another account than '{}', or with a key", server,
                           id, sent.account));
  }
  if (arrival.request.method != sent.request.method ||
      arrival.request.target != sent.request.path) {
    this->note(fmt::format("{} received the request line {} {} for {}", server,
                           arrival.request.method, arrival.request.target, id));
  }
}

void promise_checker::on_answer(const std::string& id, const call_result& result, bool calm) {
  known_call& call = this->calls.at(id);
  ++this->counts[result.status];
  constexpr int first_success = 200;
  constexpr int first_after_success = 300;
  constexpr int not_found = 404;
  if (result.malformed) {
    this->note(fmt::format("the response to {} is not valid HTTP", id));
  }
  constexpr int first_after_errors = 600;
  const bool is_status = result.status >= first_success && result.status < first_after_errors;
  if (result.status != 0 && !is_status) {
    this->note(fmt::format("{} was answered {}", id, result.status));
  }
  if (promises_not_run(result.status)) {
    call.refused = result.status;
    if (call.runs > 0) {
      this->note(fmt::format("{} was answered {} although it has run", id, result.status));
    }
  }
  constexpr int bad_request = 400;
  if (result.status == bad_request && !call.sent.is_fatal) {
    this->note(fmt::format("{} was answered 400", id));
  }
  const bool must_be_known =
      call.sent.continues_turn || (!call.sent.is_stream && call.sent.route_is_certain);
  if (result.status == not_found && must_be_known) {
    this->note(fmt::format("{} was answered 404", id));
  }
  if (result.status >= first_success && result.status < first_after_success) {
    this->check_success(call, result);
  }
  const bool cut = (result.status == 0 || !result.whole) && !result.left;
  if (calm && cut && (call.runs > 0 || result.took > crossing_slack)) {
    this->note(
        fmt::format("{} was cut off after {} ms with no fault active, run {} times, on a "
                    "connection idle for {} ms",
                    id, result.took.count(), call.runs, result.idle_before.count()));
  }
}

void promise_checker::on_memory(const std::string& kind, const std::string& process,
                                memory_use use) {
  memory_use& maximum = this->largest.try_emplace(kind, use).first->second;
  if (use.peak_kb * maximum.limit_kb > maximum.peak_kb * use.limit_kb) {
    maximum = use;
  }
  if (use.peak_kb > use.limit_kb && this->too_large.insert(process).second) {
    this->note(
        fmt::format("{} has used {} KB of memory, limit {}", process, use.peak_kb, use.limit_kb));
  }
}

void promise_checker::check_success(const known_call& call, const call_result& result) {
  const std::string& id = call.sent.request.id;
  const std::string seal = result.header("X-Response-Seal").value_or("");
  if (seal != "seal-" + id && seal != "s") {
    this->note(fmt::format("{} received a wrong signature '{}'", id, seal));
  }
  if (call.sent.is_stream) {
    this->check_stream(call, result);
    return;
  }
  const bool good = result.body == "answer to " + id || result.body == "all of it";
  if (result.whole && !good) {
    this->note(fmt::format("{} received a wrong body '{}'", id, result.body));
  }
}

void promise_checker::check_stream(const known_call& call, const call_result& result) {
  const bool is_resumption = !call.sent.resumes.empty();
  stream_part part;
  part.stream = is_resumption ? call.sent.resumes : call.sent.request.id;
  part.after = call.sent.last_event;
  part.events = result.body;
  part.whole = result.whole;
  const std::string& version = call.sent.request.http_version;
  for (const std::string& broken : this->streams.on_part(part)) {
    this->note(version == "1.1" ? broken
                                : fmt::format("{}, to a caller of HTTP/{}", broken, version));
  }
  int& used = this->tokens[call.sent.program];
  used += events_in(result.body) * tokens_per_event;
  const int max_tokens_per_turn = events_per_turn * tokens_per_event;
  if (call.sent.budget != 0 && used > call.sent.budget + max_tokens_per_turn) {
    this->note(fmt::format("program {} received {} tokens, budget {}", call.sent.program, used,
                           call.sent.budget));
  }
}

}  // namespace hawthornlane::scenarios
