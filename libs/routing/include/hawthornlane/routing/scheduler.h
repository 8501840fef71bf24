// One host's scheduling of model calls: which server, in which order, when.
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

/// A call that wants a server.
struct schedule_request {
  waiting_id id;
  program_id program;
  client_account account;
  double weight = 1;
  /// The whole prompt, and how much of it the program's last server may still hold.
  token_count prompt{0};
  token_count history{0};
  token_count expected_answer{0};
  /// Server time that the program has had so far, seconds.
  double attained = 0;
  /// When this call arrived, and when the program began.
  timestamp arrived;
  timestamp began;
};

/// Send that call to that server now.
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

/// Parts of the policy that can be switched off one at a time.
struct policy_features {
  bool window = true;
  bool program_order = true;
  bool ageing = true;
  /// Off: it lost on every figure, see docs/design/policy.md.
  bool predicted_choice = false;
  bool stealing = true;
  /// New programs wait while they would push out prefixes in use.
  bool working_set = true;
  bool fair_accounts = true;
  bool exclude_failing = true;
};

struct scheduler_settings {
  /// A call without its first token for this many times the predicted time counts
  /// against its server.
  double hung_factor = 8;
  duration hung_least = std::chrono::seconds(10);
  duration exclusion = std::chrono::seconds(10);
  /// Candidates looked at besides the holder; never all servers.
  std::size_t candidates = 4;
  /// A prefix used less than this long ago is not pushed out by a new program...
  duration protect = std::chrono::seconds(40);
  /// ...unless that has waited this long.
  duration longest_hold_back = std::chrono::seconds(600);
  /// A second since a program began makes up for this much service already had.
  double ageing_rate = 0.5;
  /// Cache of one server, tokens.
  token_count cache_tokens{300'000};
};

/// Decides for one pool of servers that hold the same model. No I/O, clock or
/// randomness; a decision looks at a bounded number of servers.
class scheduler {
public:
  scheduler(window_limits window, scheduler_settings times, policy_features parts);

  void add_server(const backend_server_id& server, timestamp now);
  /// No new calls from now on; what waits for it goes elsewhere.
  std::vector<schedule_decision> remove_server(const backend_server_id& server, timestamp now);
  /// This host's share of the server's window, from its steward.
  void set_credits(const backend_server_id& server, std::int64_t credits);

  /// Queues the call; decisions that became possible come back.
  std::vector<schedule_decision> submit(const schedule_request& request, timestamp now);
  std::vector<schedule_decision> finished(const schedule_outcome& outcome, timestamp now);
  /// The call is not to be sent, or was not: it leaves its queue or its place.
  std::vector<schedule_decision> cancel(waiting_id id, timestamp now);
  /// The first token arrived.
  void first_token(waiting_id id);
  /// The program ended: its prefix is worth nothing any more.
  std::optional<backend_server_id> forget(const program_id& program);
  /// Drops all that was learnt of prefixes and speeds, as a restart does.
  void forget_all();
  /// Takes hung servers out, and returns to those whose exclusion is over.
  std::vector<schedule_decision> tick(timestamp now);

  [[nodiscard]] std::size_t waiting() const;
  /// Whether any server may get calls, now or after its exclusion.
  [[nodiscard]] bool has_servers() const { return !this->by_load.empty(); }
  [[nodiscard]] std::int64_t inside(const backend_server_id& server) const;
  [[nodiscard]] std::int64_t window(const backend_server_id& server) const;
  /// Predicted wait of a new call at the least busy server, for early refusal.
  [[nodiscard]] double predicted_wait() const;
  /// Calls at servers that have been taken out as hung; the host gives them up.
  std::vector<waiting_id> take_given_up();

private:
  struct server_state {
    server_window window;
    /// Calls whose prefix the server holds, and calls that it has to prefill whole.
    fair_queue queue;
    fair_queue newcomers;
    prefix_cache_model mirror;
    speed_model speed;
    std::int64_t inside = 0;
    std::optional<std::int64_t> credits;
    timestamp excluded_until;
    std::int64_t failures = 0;
    bool removed = false;
    /// Position in `by_load`.
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
  [[nodiscard]] static std::size_t queued(const server_state& server);
  void leave_queue(waiting_id id);
  [[nodiscard]] bool usable(const server_state& server, timestamp now) const;
  [[nodiscard]] std::int64_t room(const server_state& server) const;
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
  void fill(const backend_server_id& server, timestamp now, std::vector<schedule_decision>& out);
  bool steal_for(const backend_server_id& server, server_state& state, timestamp now,
                 std::vector<schedule_decision>& out);
  void note_failure(server_state& server, timestamp now);
  void move_queue(server_state& server, timestamp now, std::vector<schedule_decision>& out);
  void reindex(const backend_server_id& id, server_state& server);

  window_limits limits;
  scheduler_settings times;
  policy_features parts;
  std::map<backend_server_id, server_state> servers;
  /// Servers by how busy they are, least first. Invariant: one entry a server.
  std::set<std::pair<double, backend_server_id>> by_load;
  std::map<waiting_id, schedule_request> requests;
  std::map<waiting_id, backend_server_id> queued_at;
  std::map<waiting_id, running_call> running;
  std::map<program_id, backend_server_id> holders;
  std::vector<waiting_id> given_up;
  /// Calls that came while no server was listed.
  std::vector<waiting_id> homeless;
};

}  // namespace hawthornlane
