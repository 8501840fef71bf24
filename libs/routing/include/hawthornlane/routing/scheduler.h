// One host's scheduling of model calls: which server gets a call, in which order and when.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hawthornlane/cache/prefix_cache_model.h"
#include "hawthornlane/limits/fair_queue.h"
#include "hawthornlane/limits/server_window.h"
#include "hawthornlane/routing/speed_model.h"

namespace hawthornlane {

/// A call to be scheduled.
struct schedule_request {
  waiting_id id;
  program_id program;
  client_account account;
  double weight = 1;
  /// Size of the whole prompt, and of the part that the program's last server may still have
  /// cached.
  token_count prompt{0};
  token_count history{0};
  token_count expected_answer{0};
  /// Server time that the program has used so far, seconds.
  double attained = 0;
  /// When the call arrived, and when the program started.
  timestamp arrived;
  timestamp began;
};

/// Instruction to send that call to that server now.
struct schedule_decision {
  waiting_id id;
  backend_server_id server;
};

/// How a call at a server ended.
struct schedule_outcome {
  waiting_id id;
  speed_sample sample;
  bool failed = false;
};

/// Parts of the policy, which can be switched off one at a time.
struct policy_features {
  bool window = true;
  bool program_order = true;
  bool ageing = true;
  /// Off: it was worse in every figure, see docs/design/policy.md.
  bool predicted_choice = false;
  bool stealing = true;
  /// New programs wait while their prompts would evict prefixes in use.
  bool working_set = true;
  bool fair_accounts = true;
  bool exclude_failing = true;
};

struct scheduler_settings {
  /// A call whose first token takes longer than this multiple of the predicted time counts as hung.
  double hung_factor = 8;
  duration min_hung_time = std::chrono::seconds(10);
  duration exclusion = std::chrono::seconds(10);
  /// Maximum number of usable servers considered for a call besides the one with its prefix,
  /// however many there are.
  std::size_t candidates = 4;
  /// Prefixes used more recently than this are not evicted by new programs.
  duration protected_age = std::chrono::seconds(40);
  /// A call that has waited this long may evict any prefix.
  duration max_prefix_wait = std::chrono::seconds(600);
  /// Weight of a program's age in the order of calls: one second since the program's start offsets
  /// this many seconds of used server time.
  double ageing_rate = 0.5;
  /// Cache size of one server, tokens.
  token_count cache_tokens{300'000};
};

/// Schedules calls for one pool of servers with the same model. No I/O, clock or randomness. Each
/// decision considers a bounded number of servers.
class scheduler {
public:
  scheduler(window_limits window, scheduler_settings settings, policy_features features);

  void add_server(const backend_server_id& server, timestamp now);
  /// The server gets no new calls; those waiting for it move to other servers.
  std::vector<schedule_decision> remove_server(const backend_server_id& server, timestamp now);
  /// Sets this host's share of the server's window: the calls that it may have in flight there.
  void set_credits(const backend_server_id& server, std::int64_t credits);

  /// Queues the call; returns the calls that can be sent now.
  std::vector<schedule_decision> submit(const schedule_request& request, timestamp now);
  std::vector<schedule_decision> finished(const schedule_outcome& outcome, timestamp now);
  /// The call will not be sent, or was not sent: removes it from its queue or from the calls in
  /// flight.
  std::vector<schedule_decision> cancel(waiting_id id, timestamp now);
  /// The call's first token arrived.
  void first_token(waiting_id id);
  /// The program ended, so its prefix is no longer needed. Returns the server that had it.
  std::optional<backend_server_id> forget(const program_id& program);
  /// Drops everything learned about prefixes and speeds, as a restart does.
  void forget_all();
  /// Excludes servers with hung calls, and uses those again whose exclusion is over.
  std::vector<schedule_decision> tick(timestamp now);

  [[nodiscard]] std::size_t waiting() const;
  /// True if any server may get calls, now or after its exclusion.
  [[nodiscard]] bool has_servers() const { return !this->by_load.empty(); }
  [[nodiscard]] std::int64_t in_flight(const backend_server_id& server) const;
  [[nodiscard]] std::int64_t window(const backend_server_id& server) const;
  /// Predicted wait of a new call at the least busy server, seconds; used to refuse calls early.
  [[nodiscard]] double predicted_wait() const;
  /// Returns and clears the calls at servers that were excluded as hung; the host abandons them.
  std::vector<waiting_id> take_given_up();

private:
  struct server_state {
    server_window window;
    /// Calls whose prefix the server has cached, and calls whose whole prompt it must prefill.
    fair_queue queue;
    fair_queue uncached_queue;
    prefix_cache_model cache_model;
    speed_model speed;
    std::int64_t in_flight = 0;
    std::optional<std::int64_t> credits;
    timestamp excluded_until;
    std::int64_t failures = 0;
    bool removed = false;
    /// The server's key in `by_load`.
    double load_key = 0;
  };
  struct running_call {
    schedule_request request;
    backend_server_id server;
    timestamp sent;
    std::int64_t batch = 1;
    double predicted_first = 0;
    bool has_first_token = false;
    bool given_up = false;
  };

  [[nodiscard]] bool holds_prefix(const backend_server_id& id, const server_state& server,
                                  const program_id& program) const;
  [[nodiscard]] std::optional<waiting_call> take_next(server_state& server, timestamp now);
  [[nodiscard]] static std::size_t queued_calls(const server_state& server);
  void leave_queue(waiting_id id);
  [[nodiscard]] bool usable(const server_state& server, timestamp now) const;
  [[nodiscard]] std::int64_t free_credits(const server_state& server) const;
  [[nodiscard]] double predicted_service(const server_state& server,
                                         const schedule_request& request, bool holds) const;
  [[nodiscard]] double predicted_completion(const server_state& server,
                                            const schedule_request& request, bool holds) const;
  [[nodiscard]] double wait_at(const server_state& server) const;
  [[nodiscard]] double order_of(const schedule_request& request) const;
  std::optional<backend_server_id> choose(const schedule_request& request, timestamp now);
  void place(const schedule_request& request, const backend_server_id& server);
  void send(const backend_server_id& server, server_state& state, const schedule_request& request,
            timestamp now, std::vector<schedule_decision>& out);
  void send_queued_calls(const backend_server_id& server, timestamp now,
                         std::vector<schedule_decision>& out);
  bool steal_for(const backend_server_id& server, server_state& state, timestamp now,
                 std::vector<schedule_decision>& out);
  void record_failure(server_state& server, timestamp now);
  void move_queue(server_state& server, timestamp now, std::vector<schedule_decision>& out);
  void reindex(const backend_server_id& id, server_state& server);

  window_limits limits;
  scheduler_settings settings;
  policy_features features;
  std::map<backend_server_id, server_state> servers;
  /// Servers, least busy first. Invariant: one entry for each server that is not removed.
  std::set<std::pair<double, backend_server_id>> by_load;
  std::map<waiting_id, schedule_request> requests;
  std::map<waiting_id, backend_server_id> queued_at;
  std::map<waiting_id, running_call> running;
  std::map<program_id, backend_server_id> prefix_servers;
  std::vector<waiting_id> given_up;
  /// Calls that arrived while there was no server.
  std::vector<waiting_id> unassigned;
};

}  // namespace hawthornlane
