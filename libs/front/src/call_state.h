// State of a call in progress and time limits, shared by the steps in call_*.cc.
#pragma once

#include <xxhash.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "hawthornlane/front/call_fingerprint.h"
#include "hawthornlane/front/call_service.h"
#include "hawthornlane/relay/event_splitter.h"

namespace hawthornlane::front {

/// A call that cannot start this long before its deadline will miss it: the fastest calls of both
/// users' workloads take about this long.
constexpr duration min_service_time = std::chrono::milliseconds(40);
/// Extra time for a stream to end by itself after the call's deadline. The server stops at the
/// deadline that it was sent.
constexpr duration timeout_slack = std::chrono::milliseconds(150);

inline std::uint64_t hash_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

/// The parts of a prompt, each identified by its hash.
inline std::vector<prompt_piece> pieces_of(const std::vector<relay::prompt_part>& prefix) {
  std::vector<prompt_piece> pieces;
  pieces.reserve(prefix.size());
  for (const relay::prompt_part& part : prefix) {
    pieces.push_back({prompt_part_key(hash_of(part.id)), part.tokens});
  }
  return pieces;
}

/// Hash that chooses the service of a split route and the quota manager to ask first; equal for all
/// calls of a program.
inline std::uint64_t service_draw(const relay::call_terms& terms) {
  return hash_of(terms.program ? terms.program->get() : terms.id.get());
}

inline std::int64_t milliseconds_since(net::steady_time from) {
  const auto since = std::chrono::steady_clock::now() - from;
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

/// Name of an outcome in logs and metrics.
std::string_view name_of(relay::attempt_outcome outcome);

/// Storing what begins a call's stream. Shared with the writes, which may outlive the call.
struct call_service::origin_state {
  explicit origin_state(const boost::asio::any_io_executor& executor) : stored(executor) {}

  origin_writer writer;
  /// Number of the latest write, while it is under way; else 0.
  std::uint32_t under_way = 0;
  /// Number of writes besides the admission's.
  std::uint32_t writes = 0;
  /// Cancelled when the latest write has ended.
  boost::asio::steady_timer stored;
};

/// State of one call in progress.
struct call_service::call {
  call(relay::caller_connection& from, http::request what)
      : caller(from), request(std::move(what)) {}

  relay::caller_connection& caller;
  http::request request;
  relay::call_terms terms;
  route_table_ptr table;
  const route* taken = nullptr;
  /// Points into `table`; null if the caller's key belongs to no account.
  const account* caller_account = nullptr;
  /// The call's id in the ledger, scoped to the account.
  request_id ledger_turn_id;
  /// The caller takes up a stream that has begun; `resumes` is the ledger's id of the attempt that
  /// began it, if the caller names it.
  bool is_resumption = false;
  std::optional<request_id> resumes;
  /// The version that began that stream. Set once the resumption is admitted.
  std::optional<software_version> resumed_version;
  /// Nothing if the call cannot be told apart from others.
  std::optional<request_fingerprint> fingerprint;
  /// The service chosen from the route's services.
  service_name service;
  net::steady_time arrived = std::chrono::steady_clock::now();
  /// End of the time that the caller and the route allow, and of the time that the call is given,
  /// which a planned stop of the host shortens.
  net::steady_time time_limit;
  net::steady_time until;
  /// A planned stop has ended the call's wait or its attempt.
  bool ended_by_stop = false;
  /// The call waits for a server.
  bool is_placing = false;
  std::set<backend_server_id> tried;
  /// Number of attempts that a server may have started to run.
  std::uint32_t possible_runs = 0;
  int tries = 0;
  relay::attempt_handle handle;
  server_wait wait;
  relay::backend_response answer;
  std::string detail;
  /// The turn in the ledger, once admitted.
  std::optional<turn_request> turn;
  std::string history;
  /// History and input, from the first attempt on; shared with writes that may outlive the call.
  struct sent_body {
    std::string history;
    std::string input;
  };
  std::shared_ptr<const sent_body> sent;
  /// Origin of the stream that the call takes up, as the ledger has it.
  origin_outcome origin_found = origin_outcome::undecided;
  std::optional<stream_origin> stored_origin;
  /// Of a stream that this call begins and that can be resumed.
  std::shared_ptr<origin_state> origin;
  bool settled = false;
  /// Set while an attempt at a suspected request is in progress.
  std::optional<suspected_run> run;
  /// When the current attempt was sent.
  net::steady_time sent_at;
  // Streams only: what the caller has been sent.
  relay::event_splitter splitter;
  std::optional<std::uint64_t> last_event;
  std::int64_t events = 0;
  /// Of the current attempt: its placement id, and the number of events relayed before it.
  placement_id attempt_id;
  std::int64_t events_before = 0;
  /// The current attempt's server has sent what no valid run sends.
  bool is_run_invalid = false;
  /// The caller has an event of an invalid run: no other run may go on after it.
  bool is_spoilt = false;
  /// Number of resumptions after which the first event's id was not the next one.
  int id_gaps = 0;
  std::string output;
  net::steady_time first_event_at;
  // For the log line.
  backend_server_id server;
  software_version server_version;
  incarnation server_start;
  /// Of the stream's first event, once it has been relayed.
  backend_server_id origin_server;
  software_version origin_version;
  std::optional<placement_basis> basis;
  std::string outcome;
  int status = 0;
  std::int64_t queued_ms = 0;
  std::int64_t ledger_ms = 0;
};

}  // namespace hawthornlane::front
