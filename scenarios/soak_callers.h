// Simulated agent programs that call a deployment during a fault soak.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hawthornlane/http/client.h"
#include "soak_fleet.h"

namespace hawthornlane::scenarios {

/// A completely answered turn and the history up to it.
struct conversation_state {
  std::string turn;
  std::string program;
  std::string history;
  net::steady_time ended;
};

/// Turns of conversations that callers have sent, and those answered whole.
struct turn_counts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
};

/// Runs programs until `stop`. Callers reuse their connections as long as possible.
/// Not thread-safe.
class soak_callers {
public:
  /// `is_calm` returns true if no fault but planned maintenance has been active since 3 s
  /// before that time, `is_in_time` if none but that and responses without an end: calls are then
  /// answered within their time limits.
  soak_callers(boost::asio::io_context& context, soak_fleet& fleet, promise_checker& checker,
               std::function<bool(net::steady_time)> is_calm,
               std::function<bool(net::steady_time)> is_in_time, std::uint64_t seed);
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;
  ~soak_callers();

  void start(int callers);
  /// Starts no new programs; running ones finish.
  void stop() { this->stopping = true; }
  [[nodiscard]] const turn_counts& turns() const { return this->counts; }
  [[nodiscard]] bool idle() const { return this->active_tasks == 0; }

  /// Starts a caller that sends one request, which ends its servers, again and again under new ids
  /// and at other front hosts.
  void start_fatal_request(std::uint64_t seed);

  /// After all faults: checks that every host serves and that stored turns can be
  /// continued, then sets `done`.
  boost::asio::awaitable<void> verify(bool& done);

private:
  struct caller;

  boost::asio::awaitable<void> run_caller(std::uint64_t seed);
  /// Runs conversations that pause between turns and go on at another front host each time. What
  /// one host has cached does not help them; disk hosts may have left and returned meanwhile.
  boost::asio::awaitable<void> run_paused_caller(std::uint64_t seed);
  /// Sends calls that take long over a connection to each front host, which stays open as long as
  /// the host's process keeps it.
  boost::asio::awaitable<void> run_batch_caller(std::uint64_t seed);
  /// Sends the next turn of a conversation until it is answered; false if it never is. Notes a
  /// broken promise if no fault was active.
  boost::asio::awaitable<bool> continue_paused(caller& who, conversation_state& line);
  boost::asio::awaitable<void> run_conversation(caller& who, conversation_state from, int turns);
  boost::asio::awaitable<void> run_budgeted(caller& who);
  boost::asio::awaitable<void> run_resumed(caller& who);
  /// Sends an attempt at a stream and counts it, if no fault is active.
  boost::asio::awaitable<call_result> attempt_stream(caller& who, const sent_call& what);
  boost::asio::awaitable<void> run_fatal(std::uint64_t seed);
  boost::asio::awaitable<void> run_tools(caller& who, int calls);
  boost::asio::awaitable<void> probe_configuration();
  /// Reports each front host that does not serve that version's route.
  boost::asio::awaitable<void> verify_in_force(caller& who, int version, const char* when);
  /// A change that is written while the store takes seconds for each response is not missed.
  boost::asio::awaitable<void> verify_with_slow_store(caller& who);
  /// Sends a call until it succeeds, at most `tries` times.
  boost::asio::awaitable<call_result> call(caller& who, sent_call what, int tries);
  boost::asio::awaitable<call_result> attempt(caller& who, const sent_call& what);
  boost::asio::awaitable<bool> connect(caller& who);
  boost::asio::awaitable<void> refresh_addresses(caller& who);
  [[nodiscard]] sent_call turn_of(caller& who, const conversation_state& line);
  [[nodiscard]] std::string fresh_id();

  boost::asio::io_context& context;
  soak_fleet& fleet;
  promise_checker& promises;
  std::function<bool(net::steady_time)> calm;
  std::function<bool(net::steady_time)> in_time;
  net::deadline_sweeper sweeper;
  http::client directory;
  std::mt19937_64 random;
  std::deque<conversation_state> lines;
  /// Conversations that pause; those that were answered last at the end.
  std::deque<conversation_state> paused_lines;
  turn_counts counts;
  bool stopping = false;
  int active_tasks = 0;
  std::uint64_t ids = 0;
};

}  // namespace hawthornlane::scenarios
