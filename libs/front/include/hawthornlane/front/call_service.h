// Serves calls at a front host, from the request to the answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/front/call_metrics.h"
#include "hawthornlane/front/call_placer.h"
#include "hawthornlane/front/crash_tracker.h"
#include "hawthornlane/front/quota_gate.h"
#include "hawthornlane/front/recent_call_times.h"
#include "hawthornlane/front/shutdown_policy.h"
#include "hawthornlane/front/turn_store.h"
#include "hawthornlane/relay/backend_pool.h"
#include "hawthornlane/relay/caller_connection.h"
#include "hawthornlane/relay/event_splitter.h"

namespace hawthornlane::front {

/// Serves the calls of one front host. Not thread-safe.
class call_service {
public:
  call_service(discovery::fleet_state& fleet, call_placer& placer, relay::backend_pool& backends,
               const relay::call_codec& codec, quota_gate& quotas, turn_store& turns,
               crash_tracker& crashes, call_metrics& metrics);
  call_service(const call_service&) = delete;
  call_service& operator=(const call_service&) = delete;
  ~call_service() = default;

  /// Serves one request and answers it.
  boost::asio::awaitable<void> serve(relay::caller_connection& caller, http::request request);
  /// Answers with an error, for example when the request is malformed or cannot be served now.
  /// `wait`: the least time for Retry-After, where it is known.
  boost::asio::awaitable<void> refuse(relay::caller_connection& caller, const failure& why,
                                      const std::string& id, duration wait = {});
  /// Answers a request that was refused before it was whole. No log line: the caller decides how
  /// many there are.
  boost::asio::awaitable<void> refuse_unread(relay::caller_connection& caller, const failure& why);
  /// Number of calls that have been read and not answered.
  [[nodiscard]] std::size_t in_flight() const { return this->active.size(); }
  /// Begins a planned stop: from now on only calls that can end before the process are accepted.
  void begin_stop(const shutdown_policy& rules);
  /// Answers the calls that can no longer end in time. Call this regularly during a stop.
  void continue_stop();

private:
  struct call;
  boost::asio::awaitable<void> run(call& one);

  // Admission. A step returns the reason why the call cannot be served. A coroutine returns false
  // if it has already answered the call.
  std::optional<failure> prepare(call& one);
  std::optional<failure> decode(call& one);
  std::optional<failure> find_route(call& one);
  /// Finds the account of the caller's key, where the route requires one.
  static std::optional<failure> authenticate(call& one);
  /// Scopes the ids that the caller chose to its account.
  static void scope_ids(call& one);
  /// Whether the key is still valid in the newest configuration; checked again after a wait.
  [[nodiscard]] bool still_authenticated(const call& one) const;
  /// The steps below, up to the first one that refuses the call.
  boost::asio::awaitable<bool> admit(call& one);
  /// Charges the call to its account's quota.
  boost::asio::awaitable<bool> admit_to_quota(call& one);
  /// Reserves the call's turn in the ledger, if its route stores turns or its program has a budget.
  boost::asio::awaitable<bool> admit_to_ledger(call& one);
  /// `counted`: the call is charged to its program's budget, or its turn is stored.
  turn_request turn_request_of(call& one, bool counted);

  // Versions of streams (call_resumption.cc).
  struct origin_state;
  struct resumption_log;
  [[nodiscard]] static bool takes_up_stream(const call& one);
  /// Whether a call that the ledger need not count is admitted to it, so that its stream's origin
  /// is stored or found.
  [[nodiscard]] static bool needs_origin_record(const call& one);
  /// Finds the version at which a resumption has to go on.
  boost::asio::awaitable<bool> admit_resumption(call& one);
  /// The version that the next server must have; nothing if the stream has not begun.
  [[nodiscard]] static std::optional<software_version> required_version(const call& one);
  /// Stores the origin of a stream that is about to begin at this server, if that is needed.
  void store_origin(call& one, const backend_entry& server);
  /// Waits until the server's first event may leave. Returns false if it must not.
  boost::asio::awaitable<bool> may_first_event_leave(call& one);
  /// Whether the server's process is still the one that this host knew when it sent the call.
  [[nodiscard]] bool is_known_process(const call& one) const;
  static void log_placed_resumption(const call& one, const backend_entry& server);
  boost::asio::awaitable<void> respond_refusal(relay::caller_connection& caller, const failure& why,
                                               const std::string& id, duration wait);
  /// Counts what the call holds besides its request; false if it is too much.
  static bool hold_copies(const call& one);
  void log_refused_resumption(const call& one, const std::string& detail);

  // Streams whose end only the end of a connection marks (call_stream_rest.cc).
  /// Whether the server may have ended the stream early and may be asked for the rest.
  [[nodiscard]] bool may_lack_rest(const call& one, relay::attempt_outcome outcome) const;
  /// Resumes such a stream at its own server, so that the call is sent to no further one. Returns
  /// the outcome of the attempt as a whole.
  boost::asio::awaitable<relay::attempt_outcome> read_rest(call& one, const backend_entry& server,
                                                           relay::backend_request& request,
                                                           const relay::stream_sink& sink);

  // Runs that prove invalid (call_invalid_run.cc).
  /// Rejects the events of the current attempt; returns false.
  static bool reject_run(call& one, std::string reason);
  [[nodiscard]] static bool is_stream(const relay::backend_response& answer);
  /// Notes whether the attempt that has ended has spoilt the caller's stream.
  void note_spoilt_stream(call& one);
  /// Makes the ledger refuse every resumption of the caller's stream. Returns once a majority of
  /// disk hosts has stored that, or at the call's deadline.
  boost::asio::awaitable<void> withdraw_origin(call& one);

  // Placement.
  /// Runs one attempt at one server; returns true if the call should be tried at another one.
  boost::asio::awaitable<bool> run_attempt(call& one);
  boost::asio::awaitable<acquired_server> acquire(call& one);
  /// Ends a call for which no server was found.
  boost::asio::awaitable<void> give_up_unplaced(call& one, const acquired_server& acquired);

  // Requests under which servers have crashed.
  [[nodiscard]] crash_standing standing_of(const call& one) const;
  /// Reserves a run after one whose server may be ending and is still watched: it may be under way
  /// for longer than that. The call goes on without a reservation if it gets none in time.
  boost::asio::awaitable<void> reserve_rerun(call& one);
  /// Whether the call may be sent to its server now. Returns false if it has been answered.
  boost::asio::awaitable<bool> admit_suspected(call& one, const acquired_server& acquired);
  /// How long a server that has cut off an attempt is watched before the call goes on.
  [[nodiscard]] duration watch_time_after(const call& one, relay::attempt_outcome outcome) const;
  /// Reports the end of an attempt to the crash tracker.
  boost::asio::awaitable<void> track_crash(call& one, const backend_entry& server,
                                           relay::attempt_outcome outcome);
  /// Whether this host knows that the program of this prompt has been served before.
  bool continues_program(const service_name& service, const std::vector<prompt_piece>& prompt);

  // Planned stop (call_shutdown.cc).
  struct planned_stop {
    shutdown_policy rules;
    net::steady_time began;

    [[nodiscard]] duration elapsed() const {
      return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - this->began);
    }
  };
  /// Whether a call that is sent to a server now ends before the process does, as far as is known.
  [[nodiscard]] bool can_finish(const call& one);
  [[nodiscard]] duration expected_time(const call& one);
  /// Refuses the call if it cannot end in time; otherwise limits its time.
  std::optional<failure> admit_during_stop(call& one);
  /// Ends the call's wait or its attempt; the call is then answered by `give_up_for_stop`.
  static void end_for_stop(call& one);
  boost::asio::awaitable<void> give_up_for_stop(call& one);

  // Dispatch to one server.
  boost::asio::awaitable<relay::attempt_outcome> try_server(call& one, const backend_entry& server);
  static relay::dispatch_terms terms_for(const call& one, const backend_entry& server);
  /// Logs a response that is not valid HTTP.
  static void log_malformed(const call& one);
  /// The outcome after checking the answer's signature and the end of the stream.
  static relay::attempt_outcome checked(call& one, relay::attempt_outcome outcome);
  boost::asio::awaitable<bool> stream_head(call& one, const relay::backend_response& head);
  /// Removes empty events; returns false if the id of an event does not increase.
  static bool keep_new_events(const call& one, std::vector<relay::stream_event>& events);
  /// Counts a stream that goes on, after a break, with another id than the next one.
  void note_id_gap(call& one, const relay::stream_event& first);
  boost::asio::awaitable<bool> stream_bytes(call& one, std::string_view bytes);
  /// Limit of the events of the call's stream.
  [[nodiscard]] static std::int64_t max_events(const call& one);
  /// Reports the attempt's outcome to the placer, for the server's health and speed.
  void report_outcome(const call& one, const acquired_server& acquired,
                      relay::attempt_outcome outcome);
  [[nodiscard]] bool may_try_again(const call& one, relay::attempt_outcome outcome) const;

  // Settlement.
  boost::asio::awaitable<void> finish_whole(call& one);
  boost::asio::awaitable<void> finish_stream(call& one);
  boost::asio::awaitable<void> give_up(call& one, failure why, duration wait = {});
  boost::asio::awaitable<void> settle_incomplete(call& one);
  static token_count tokens_sent(const call& one);
  void log_call(const call& one) const;

  discovery::fleet_state& fleet;
  call_placer& placer;
  relay::backend_pool& backends;
  const relay::call_codec& codec;
  quota_gate& quotas;
  turn_store& turns;
  crash_tracker& crashes;
  call_metrics& metrics;
  net::steady_time started_at = std::chrono::steady_clock::now();
  /// Calls that have been read and not answered.
  std::set<call*> active;
  std::uint64_t unread_refusals = 0;
  recent_call_times call_times;
  std::optional<planned_stop> stop;
};

}  // namespace hawthornlane::front
