// What the steps of a call share: its state, and the times that bound it.
#pragma once

#include <xxhash.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "hawthornlane/front/call_service.h"
#include "hawthornlane/relay/event_splitter.h"

namespace hawthornlane::front {

/// A call that cannot start this long before its time ends will not be answered in
/// time: the quickest calls of both users' sheets take about this long.
constexpr duration least_service_time = std::chrono::milliseconds(40);
/// A stream that runs past its time gets this much longer to end by itself; the
/// server stops at the time that it was told.
constexpr duration timeout_slack = std::chrono::milliseconds(150);

inline std::uint64_t hash_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

/// The parts of a prompt by their hashes.
inline std::vector<prompt_piece> pieces_of(const std::vector<relay::prompt_part>& prefix) {
  std::vector<prompt_piece> pieces;
  pieces.reserve(prefix.size());
  for (const relay::prompt_part& part : prefix) {
    pieces.push_back({prompt_part_key(hash_of(part.id)), part.tokens});
  }
  return pieces;
}

/// Calls of one program go to one service of a split route, and ask one keeper of a quota.
inline std::uint64_t service_draw(const relay::call_terms& terms) {
  return hash_of(terms.program ? terms.program->get() : terms.id.get());
}

inline std::int64_t milliseconds_since(net::steady_time from) {
  const auto since = std::chrono::steady_clock::now() - from;
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

/// As logs and metrics say it.
std::string_view name_of(relay::attempt_outcome outcome);

/// Everything about one call under way.
struct call_service::call {
  call(relay::caller_connection& from, http::request what)
      : caller(from), request(std::move(what)) {}

  relay::caller_connection& caller;
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
  net::steady_time arrived = std::chrono::steady_clock::now();
  net::steady_time until;
  std::set<backend_server_id> tried;
  /// Servers that may have begun to work on it.
  std::uint32_t runs = 0;
  int tries = 0;
  relay::attempt_handle handle;
  placement_wait wait;
  relay::backend_response answer;
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

}  // namespace hawthornlane::front
