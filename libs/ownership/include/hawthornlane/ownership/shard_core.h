// One host's part in one shard: log replica, owner, or both in turn.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/ownership/actions.h"
#include "hawthornlane/ownership/rules.h"

namespace hawthornlane {

/// A call as its owner has to decide on it.
struct call_request {
  call_id call;
  program_id program;
  client_account account;
  ticket presented;
  /// Digest of the history that the caller knows; absent skips the check.
  std::optional<std::uint64_t> known_digest;
  bool repeatable = true;
  bool is_tool_call = false;
  /// The most that the call can use, prompt growth and answer together.
  token_count reserved{0};
  backend_server_id server;
  std::uint64_t request_digest = 0;
  /// Wall clock, milliseconds since 1970, for the wall time budget.
  std::int64_t wall_clock_ms = 0;
};

/// What an engine or a plain service made of a dispatched call.
struct call_result {
  call_id call;
  std::string request;
  std::string answer;
  token_count used{0};
  bool failed = false;
  /// The backend server's connection broke: nobody knows whether it ran.
  bool unknown = false;
  /// The call was certainly not taken by the backend server (refused connection).
  bool never_started = false;
};

/// One host's view of one shard. No I/O, no clock, no randomness of its own:
/// every input carries the moment and, where needed, a random number; what is to
/// be done comes back as actions. A value: copies are independent.
///
/// Promises, whatever is lost, late, doubled or reordered:
///  - a non-repeatable ticket is dispatched at most once over all hosts;
///  - after an answer `not_run` its ticket is never dispatched;
///  - charged and reserved tokens of a program never exceed its budget;
///  - answers marked as kept stay in the history as long as a holder survives.
class shard_core {
public:
  enum class role_kind : std::uint8_t { follower, claiming, sealing, serving };

  shard_core(shard_id shard, host_incarnation self, ownership_times times = {},
             ownership_rules rules = {});

  // The shard map.
  /// The map's entry as read, watched or heard from a peer.
  actions observe_assignment(const assignment& entry, timestamp now);
  /// Tries to become the owner, with these replicas. `random` marks the write.
  actions claim(std::vector<host_incarnation> replicas, std::uint64_t random, timestamp now);
  /// Tries to change the replica set; nothing happens when it would lose records.
  actions change_replicas(std::vector<host_incarnation> replicas, std::uint64_t random,
                          timestamp now);
  /// What became of the proposal; `current` is the entry when it is known.
  actions proposal_ended(proposal_outcome outcome, const std::optional<assignment>& current,
                         timestamp now);
  /// Hands the shard to one of its replicas.
  actions hand_over(const host_incarnation& successor);
  /// The platform's list says that this process start is gone for good.
  void host_gone(const host_incarnation& host);

  // The other hosts of the shard.
  actions receive(const host_incarnation& from, const shard_message& message, timestamp now);

  // Programs and calls, at the owner.
  actions open_program(call_id call, const program_opened& program, std::uint64_t random,
                       timestamp now);
  actions close_program(call_id call, const program_id& program, timestamp now);
  /// Ends a program whose answers have been kept long enough.
  actions remove_program(const program_id& program, timestamp now);
  /// The answer that needs no dispatch, if there is one: replay or refusal.
  /// `random` makes a fresh ticket where one is due.
  std::optional<call_answer> check_call(const call_request& request, std::uint64_t random);
  /// Logs the intent of a call that `check_call` let pass.
  actions begin_call(const call_request& request, std::uint64_t random, timestamp now);
  /// Refuses a call, ends its ticket and gives a fresh one.
  call_answer refuse_call(const call_request& request, error_kind kind, std::string detail,
                          std::uint64_t random);
  /// True when the call may be sent now; otherwise a confirmation is under way
  /// and a new `dispatch_call` follows, or the caller is answered.
  bool may_send(call_id call, timestamp now, actions& out);
  /// The dispatched call ended. `random` makes the next ticket.
  actions finish_call(const call_result& result, std::uint64_t random, timestamp now);
  /// Stops waiting for replicas that do not answer; resends; gives up calls.
  actions tick(timestamp now);
  /// Serves with a gap now, without waiting for `seal_wait`.
  actions stop_waiting_for_seals(timestamp now);

  // Reading.
  [[nodiscard]] role_kind role() const { return this->current_role; }
  [[nodiscard]] bool serving() const { return this->current_role == role_kind::serving; }
  [[nodiscard]] shard_id shard() const { return this->own_shard; }
  [[nodiscard]] const assignment& known_assignment() const { return this->known; }
  [[nodiscard]] bool proposal_open() const { return this->proposed.has_value(); }
  [[nodiscard]] epoch sealed_epoch() const { return this->sealed; }
  [[nodiscard]] const std::optional<log_snapshot>& log() const { return this->held; }
  [[nodiscard]] const program_state* find_program(const program_id& program) const;
  [[nodiscard]] bool complete() const;
  /// Calls that are logged or dispatched and not yet answered.
  [[nodiscard]] std::size_t open_calls() const { return this->calls.size(); }
  /// Replicas that hold every record.
  [[nodiscard]] std::size_t in_sync_replicas() const;
  /// The first invariant found broken, for assertion by the host; empty if none.
  [[nodiscard]] std::string broken_invariant() const;
  /// The same for the newest turn of each program only: what a change can have
  /// broken, at a cost that does not grow with the histories.
  [[nodiscard]] std::string broken_invariant_in_newest_turns() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->own_shard, this->self, this->current_role, this->known, this->proposed,
            this->sealed, this->held, this->early, this->former, this->former_missing,
            this->gathered, this->inherited_unknown, this->peers, this->calls, this->late,
            this->nonces, this->hold_until, this->unsent);
  }

private:
  enum class call_stage : std::uint8_t { logging_intent, confirming, dispatched, logging_result };

  struct peer_progress {
    bool sealed = false;
    bool installed = false;
    record_index acknowledged;
    timestamp heard;
    timestamp sent;
    /// Since when it has lacked a record.
    timestamp behind_since;
    /// It has lacked a record for too long; it is not waited for.
    bool silent = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->sealed, this->installed, this->acknowledged, this->silent);
    }
  };

  /// A record that was appended on a caller's behalf and is not yet answered.
  struct open_call {
    program_id program;
    call_stage stage = call_stage::logging_intent;
    record_index index;
    std::optional<intent_logged> intent;
    std::optional<call_answer> answer;
    /// A former owner that waits for the answer instead of a caller.
    std::optional<host_incarnation> brought_by;
    timestamp since;
    /// While confirming: the probe that a replica has to answer.
    std::uint64_t probe = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->program, this->stage, this->index, this->intent, this->brought_by, this->probe);
    }
  };

  /// A result that this host got as a former owner.
  struct late_call {
    call_id call;
    turn_finished result;
    timestamp since;
    timestamp sent;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->call, this->result);
    }
  };

  // Replica part.
  actions on(const host_incarnation& from, const seal_request& message, timestamp now);
  actions on(const host_incarnation& from, const install_request& message, timestamp now);
  actions on(const host_incarnation& from, const append_request& message, timestamp now);
  void append_as_replica(const append_request& message);

  // Owner part.
  actions on(const host_incarnation& from, const seal_reply& message, timestamp now);
  actions on(const host_incarnation& from, const append_reply& message, timestamp now);
  actions on(const host_incarnation& from, const late_result& message, timestamp now);
  actions on(const host_incarnation& from, const late_result_reply& message, timestamp now);
  actions on(const host_incarnation& from, const hand_over_request& message, timestamp now);
  void start_sealing(const assignment& won, timestamp now, actions& out);
  bool all_former_sealed() const;
  void start_serving(timestamp now, actions& out);
  void merge_gathered();
  void absorb_late(const log_snapshot& log, const host_incarnation& from, timestamp now,
                   actions& out);
  void end_call_of_former_owner(call_id call, const open_call& item, timestamp now, actions& out);
  void depose(const assignment& entry, timestamp now, actions& out);
  void settle_proposal(const assignment& entry, timestamp now, actions& out);
  void follow_up(const host_incarnation& to, peer_progress& peer, timestamp now, actions& out);
  void request_seal(const host_incarnation& to, timestamp now, actions& out);
  void confirm_calls(std::uint64_t probe, timestamp now, actions& out);
  void checkpoint(timestamp now, actions& out);
  void install(const host_incarnation& to, peer_progress& peer, timestamp now, actions& out);
  bool append(const log_record& record, timestamp now, actions& out);
  void update_full();
  bool counts(const host_incarnation& replica) const;
  std::uint32_t acknowledgements(record_index index) const;
  bool all_acknowledged(record_index index) const;
  bool reachable_acknowledged(record_index index) const;
  void advance_calls(timestamp now, actions& out);
  bool advance_call(call_id call, open_call& item, timestamp now, actions& out);
  bool within_split_budget(const program_state& program) const;
  void dispatch(call_id call, open_call& item, timestamp now, actions& out);
  void give_up_intents(timestamp now, actions& out);
  void give_up_late_results(timestamp now, actions& out);
  void note_silent_replicas(timestamp now, actions& out);
  call_answer answer_with(const program_state& program, std::uint64_t random);
  ticket current_ticket(const program_state& program, std::uint64_t random);
  std::optional<call_answer> check_history(const program_state& program,
                                           const call_request& request) const;
  std::optional<call_answer> check_ticket(const program_state& program, const call_request& request,
                                          std::uint64_t random);
  std::optional<call_answer> check_budget(const program_state& program, const call_request& request,
                                          std::uint64_t random);
  std::vector<host_incarnation> all_peers() const;

  shard_id own_shard;
  host_incarnation self;
  ownership_times times;
  ownership_rules rules;

  role_kind current_role = role_kind::follower;
  /// The highest map entry seen; while serving, the one served under.
  assignment known;
  /// A proposal whose outcome is not known. Invariant: at most one.
  std::optional<assignment> proposed;

  /// Invariant: only rises; nothing below it is ever appended here again.
  epoch sealed;
  std::optional<log_snapshot> held;
  /// Appends of the followed epoch that overtook an earlier one; bounded.
  std::map<record_index, append_request> early;

  // Takeover: the entry that was taken over and what its replicas showed.
  assignment former;
  /// Replicas of `former` that have not been sealed.
  std::set<host_incarnation> former_missing;
  std::vector<log_snapshot> gathered;
  timestamp sealing_since;
  /// `unknown_below` as the former owner's own log had it; absent when no log
  /// of its epoch was found.
  std::optional<epoch> inherited_unknown;

  // Serving.
  std::map<host_incarnation, peer_progress> peers;
  std::map<call_id, open_call> calls;
  std::map<ticket, late_call> late;
  /// Nonce of the one valid ticket of each program. Invariant: changed before a
  /// `not_run` leaves this host.
  std::map<program_id, std::uint64_t> nonces;
  /// Programs whose former owner may still be sending a call.
  std::map<program_id, timestamp> hold_until;
  std::uint64_t last_probe = 0;
  /// Records that some replica lacks; unsent.front() is at `last` - size + 1.
  std::deque<log_record> unsent;
  bool degraded = false;
};

}  // namespace hawthornlane
