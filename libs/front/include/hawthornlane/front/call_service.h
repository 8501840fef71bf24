// Serves one call from its first byte to its answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/front/call_metrics.h"
#include "hawthornlane/front/call_placer.h"
#include "hawthornlane/front/quota_gate.h"
#include "hawthornlane/front/turn_store.h"
#include "hawthornlane/relay/backend_pool.h"
#include "hawthornlane/relay/caller_connection.h"

namespace hawthornlane::front {

/// The calls of one front host. For one thread.
class call_service {
public:
  call_service(discovery::fleet_state& fleet, call_placer& placer, relay::backend_pool& backends,
               const relay::call_codec& codec, quota_gate& quotas, turn_store& turns,
               call_metrics& metrics);
  call_service(const call_service&) = delete;
  call_service& operator=(const call_service&) = delete;
  ~call_service() = default;

  /// Answers one request.
  boost::asio::awaitable<void> serve(relay::caller_connection& caller, http::request request);
  /// Answers a request that could not be read, or that no host may serve now.
  /// `wait`: before the caller can do better, where that is known.
  boost::asio::awaitable<void> refuse(relay::caller_connection& caller, const failure& why,
                                      const std::string& id, duration wait = {});
  /// Calls that have been read and not answered.
  [[nodiscard]] std::size_t in_flight() const { return this->calls; }
  /// From now on calls are turned away; used near the end of a planned stop.
  void reject_new_calls() { this->turning_away = true; }

private:
  struct call;
  boost::asio::awaitable<void> run(call& one);

  // Admission. A step answers why the call cannot be served, or false once it has answered it.
  std::optional<failure> prepare(call& one);
  std::optional<failure> decode(call& one);
  std::optional<failure> find_route(call& one);
  /// Finds the account whose key the caller shows, where the route asks for one.
  static std::optional<failure> identify(call& one);
  /// From here on the names that the caller chose are those of its account.
  static void keep_apart(call& one);
  /// The key still holds in the newest configuration, also after a wait.
  [[nodiscard]] bool still_identified(const call& one) const;
  /// Takes the call out of its account's quota.
  boost::asio::awaitable<bool> admit_to_quota(call& one);
  /// Enters the call's turn into the ledger, where its route keeps or its program counts them.
  boost::asio::awaitable<bool> admit_to_ledger(call& one);

  // Placement.
  /// Offers the call to one server; true when it is to be offered to another one.
  boost::asio::awaitable<bool> run_once(call& one);
  boost::asio::awaitable<acquired_server> acquire(call& one);
  /// The program of this prompt has been served before, as far as this host knows.
  bool goes_on(const service_name& service, const std::vector<prompt_piece>& prompt);

  // Dispatch to one server.
  boost::asio::awaitable<relay::attempt_outcome> try_server(call& one, const backend_entry& server);
  static relay::dispatch_terms terms_for(const call& one, const backend_entry& server);
  /// The outcome once the answer's signature and the stream's end have been looked at.
  static relay::attempt_outcome checked(call& one, relay::attempt_outcome outcome);
  boost::asio::awaitable<bool> stream_head(call& one, const relay::backend_response& head);
  boost::asio::awaitable<bool> stream_bytes(call& one, std::string_view bytes);
  /// What the try says about the server's health and pace.
  void note_try(const call& one, const acquired_server& got, relay::attempt_outcome outcome);
  [[nodiscard]] bool may_try_again(const call& one, relay::attempt_outcome outcome) const;

  // Settlement.
  boost::asio::awaitable<void> finish_whole(call& one);
  boost::asio::awaitable<void> finish_stream(call& one);
  boost::asio::awaitable<void> give_up(call& one, failure why, duration wait = {});
  boost::asio::awaitable<void> settle_broken(call& one);
  static token_count tokens_handed_out(const call& one);
  void log_call(const call& one) const;

  discovery::fleet_state& fleet;
  call_placer& placer;
  relay::backend_pool& backends;
  const relay::call_codec& codec;
  quota_gate& quotas;
  turn_store& turns;
  call_metrics& metrics;
  net::steady_time started_at = std::chrono::steady_clock::now();
  std::size_t calls = 0;
  bool turning_away = false;
};

}  // namespace hawthornlane::front
