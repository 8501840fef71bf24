// The state machine of one host for one shard, as log replica and as owner.
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

/// A caller's request for a call, with all that the owner needs to admit it.
struct call_request {
  call_id call;
  program_id program;
  client_account account;
  ticket presented;
  /// Digest of the history that the caller knows; when absent it is not checked.
  std::optional<std::uint64_t> known_digest;
  bool repeatable = true;
  bool is_tool_call = false;
  /// Upper bound of the tokens that the call uses: growth of the prompt and answer together.
  token_count reserved{0};
  backend_server_id server;
  std::uint64_t request_digest = 0;
  /// Wall clock, milliseconds since 1970, for the wall time budget.
  std::int64_t wall_clock_ms = 0;
};

/// How a dispatched call ended at its engine or plain service.
struct call_result {
  call_id call;
  std::string request;
  std::string answer;
  token_count used{0};
  bool failed = false;
  /// The connection to the backend server broke: the call may or may not have run.
  bool unknown = false;
  /// The backend server certainly did not accept the call (refused connection).
  bool never_started = false;
};

/// One host's state for one shard. It does no I/O and has no clock and no random source: each
/// input carries the time and, where needed, a random number, and returns the actions that the
/// host has to carry out. A value type: copies are independent.
///
/// Guarantees, also when messages are lost, delayed, duplicated or reordered:
///  - a non-repeatable ticket is dispatched at most once over all hosts;
///  - after an answer `not_run` its ticket is never dispatched;
///  - charged and reserved tokens of a program never exceed its budget;
///  - an answer that was reported as stored stays in the history as long as one host that holds
///    it survives.
class shard_core {
public:
  enum class role_kind : std::uint8_t { follower, claiming, sealing, serving };

  shard_core(shard_id shard, host_incarnation self, ownership_times times = {},
             ownership_rules rules = {});

  // The shard map.
  /// Takes in the shard's map entry, as read, watched or received from a peer.
  actions observe_assignment(const assignment& entry, timestamp now);
  /// Proposes this host as the owner, with these replicas. `random` is the proposal's nonce.
  actions claim(std::vector<host_incarnation> replicas, std::uint64_t random, timestamp now);
  /// Proposes a new replica set; does nothing when that could lose records.
  actions change_replicas(std::vector<host_incarnation> replicas, std::uint64_t random,
                          timestamp now);
  /// Takes in the outcome of the proposal that expected this map entry; `current` is the entry if
  /// it is known.
  actions proposal_ended(const assignment& expected, proposal_outcome outcome,
                         const std::optional<assignment>& current, timestamp now);
  /// Asks one of the replicas to take the shard over.
  actions hand_over(const host_incarnation& successor);
  /// Notes that this incarnation of a host has ended for good, by the platform's list.
  void host_gone(const host_incarnation& host);

  // The other hosts of the shard.
  actions receive(const host_incarnation& from, const shard_message& message, timestamp now);

  // Programs and calls, at the owner.
  actions open_program(call_id call, const program_opened& program, std::uint64_t random,
                       timestamp now);
  actions close_program(call_id call, const program_id& program, timestamp now);
  /// Drops a closed program after the retention time of its answers.
  actions remove_program(const program_id& program, timestamp now);
  /// The answer to a call that is not dispatched: a stored answer or a refusal. Nothing when the
  /// call can begin. `random` is the nonce of a new ticket where one is needed.
  std::optional<call_answer> check_call(const call_request& request, std::uint64_t random);
  /// Logs the intent of a call that passes `check_call`; answers it otherwise.
  actions begin_call(const call_request& request, std::uint64_t random, timestamp now);
  /// Refuses a call, invalidates its ticket and issues a new one.
  call_answer refuse_call(const call_request& request, error_kind kind, std::string detail,
                          std::uint64_t random);
  /// True when the call may be sent now. Otherwise either the call is unknown, or a confirmation
  /// is requested and a new `dispatch_call` follows, or the caller is answered.
  bool may_send(call_id call, timestamp now, actions& out);
  /// Takes in the end of a dispatched call. `random` is the nonce of the next ticket.
  actions finish_call(const call_result& result, std::uint64_t random, timestamp now);
  /// Sends unanswered messages again and applies the timeouts of `ownership_times`.
  actions tick(timestamp now);
  /// Starts to serve with the logs found so far, without waiting for `seal_wait`.
  actions stop_waiting_for_seals(timestamp now);

  // Queries.
  [[nodiscard]] role_kind role() const { return this->current_role; }
  [[nodiscard]] bool serving() const { return this->current_role == role_kind::serving; }
  [[nodiscard]] shard_id shard() const { return this->own_shard; }
  [[nodiscard]] const assignment& known_assignment() const { return this->known_entry; }
  [[nodiscard]] bool proposal_open() const { return this->proposed.has_value(); }
  [[nodiscard]] epoch sealed_epoch() const { return this->highest_sealed_epoch; }
  [[nodiscard]] const std::optional<log_snapshot>& log() const { return this->own_log; }
  [[nodiscard]] const program_state* find_program(const program_id& program) const;
  [[nodiscard]] bool complete() const;
  /// Number of calls that are logged or dispatched and not yet answered.
  [[nodiscard]] std::size_t open_calls() const { return this->calls.size(); }
  /// Number of counted replicas (see `is_counted`: while a change of the replica set is undecided,
  /// those in both sets) that hold every record; 0 when this host does not serve the shard.
  [[nodiscard]] std::size_t in_sync_replicas() const;
  /// Whether that replica holds every record; false when this host does not serve the shard.
  [[nodiscard]] bool is_in_sync(const host_incarnation& replica) const;
  /// Description of the first invariant found broken, to be reported by the host; empty if none.
  [[nodiscard]] std::string broken_invariant() const;
  /// The same for the newest turn of each program only. This covers what a single change can
  /// break, at a cost that does not grow with the histories.
  [[nodiscard]] std::string broken_invariant_in_newest_turns() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->own_shard, this->self, this->current_role, this->known_entry, this->proposed,
            this->highest_sealed_epoch, this->own_log, this->buffered_appends, this->former_entry,
            this->unsealed_former_replicas, this->collected_logs,
            this->inherited_first_complete_epoch, this->peers, this->calls, this->late_calls,
            this->nonces, this->send_not_before, this->unacknowledged_records);
  }

private:
  enum class call_stage : std::uint8_t { logging_intent, confirming, dispatched, logging_result };

  struct peer_progress {
    bool sealed = false;
    bool installed = false;
    record_index acknowledged;
    timestamp last_reply;
    timestamp last_sent;
    /// Time since which it has lacked a record.
    timestamp behind_since;
    /// It has lacked a record for longer than `replica_silence`; results do not wait for it.
    bool silent = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->sealed, this->installed, this->acknowledged, this->silent);
    }
  };

  /// A call, or an opening or closing of a program, that is logged and not yet answered.
  struct open_call {
    program_id program;
    call_stage stage = call_stage::logging_intent;
    record_index index;
    std::optional<intent_logged> intent;
    std::optional<call_answer> answer;
    /// The former owner that forwarded the result and gets the answer in place of a caller.
    std::optional<host_incarnation> forwarded_by;
    timestamp since;
    /// While confirming: the number that a replica's reply has to return.
    std::uint64_t confirmation_number = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->program, this->stage, this->index, this->intent, this->forwarded_by,
              this->confirmation_number);
    }
  };

  /// A result that this host has as a former owner; the new owner has to store it.
  struct late_call {
    call_id call;
    turn_finished result;
    timestamp since;
    timestamp last_sent;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->call, this->result);
    }
  };

  // As replica.
  actions on(const host_incarnation& from, const seal_request& message, timestamp now);
  actions on(const host_incarnation& from, const install_request& message, timestamp now);
  actions on(const host_incarnation& from, const append_request& message, timestamp now);
  void append_as_replica(const append_request& message);

  // As owner.
  actions on(const host_incarnation& from, const seal_reply& message, timestamp now);
  actions on(const host_incarnation& from, const append_reply& message, timestamp now);
  actions on(const host_incarnation& from, const late_result& message, timestamp now);
  actions on(const host_incarnation& from, const late_result_reply& message, timestamp now);
  actions on(const host_incarnation& from, const hand_over_request& message, timestamp now);
  void start_sealing(const assignment& won, timestamp now, actions& out);
  bool all_former_sealed() const;
  void start_serving(timestamp now, actions& out);
  void merge_collected_logs();
  void merge_late_log(const log_snapshot& log, const host_incarnation& from, timestamp now,
                      actions& out);
  void end_call_of_former_owner(call_id call, const open_call& item, timestamp now, actions& out);
  void depose(const assignment& entry, timestamp now, actions& out);
  void resolve_proposal(const assignment& entry, timestamp now, actions& out);
  void send_missing(const host_incarnation& to, peer_progress& peer, timestamp now, actions& out);
  void request_seal(const host_incarnation& to, timestamp now, actions& out);
  void confirm_calls(std::uint64_t confirmation_number, timestamp now, actions& out);
  /// Installs the owner's whole log at all sealed replicas, after a change that no record holds.
  void reinstall_log(timestamp now, actions& out);
  void install(const host_incarnation& to, peer_progress& peer, timestamp now, actions& out);
  bool append(const log_record& record, timestamp now, actions& out);
  void update_full();
  bool is_counted(const host_incarnation& replica) const;
  std::uint32_t acknowledgements(record_index index) const;
  bool all_acknowledged(record_index index) const;
  bool reachable_acknowledged(record_index index) const;
  void advance_calls(timestamp now, actions& out);
  bool advance_call(call_id call, open_call& item, timestamp now, actions& out);
  bool within_split_budget(const program_state& program) const;
  void dispatch(call_id call, open_call& item, timestamp now, actions& out);
  void give_up_intents(timestamp now, actions& out);
  void give_up_late_results(timestamp now, actions& out);
  void mark_silent_replicas(timestamp now, actions& out);
  call_answer make_answer(const program_state& program, std::uint64_t random);
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
  /// The map entry with the highest epoch seen; while serving, the one under which it serves.
  assignment known_entry;
  /// The proposal whose outcome is unknown. Invariant: at most one.
  std::optional<assignment> proposed;

  /// The highest epoch to which this host was sealed. Invariant: never decreases; no record of a
  /// lower epoch is appended here.
  epoch highest_sealed_epoch;
  std::optional<log_snapshot> own_log;
  /// Appends of the current epoch that arrived before an earlier one; at most
  /// `max_buffered_appends`.
  std::map<record_index, append_request> buffered_appends;

  // Takeover: the map entry of the former owner and the logs of its replicas.
  assignment former_entry;
  /// Replicas of `former_entry` that are not sealed yet.
  std::set<host_incarnation> unsealed_former_replicas;
  std::vector<log_snapshot> collected_logs;
  timestamp sealing_since;
  /// The first epoch from which on the former owner's log is complete, see
  /// `shard_state::first_complete_epoch`. Absent when no log of the former owner's epoch was found.
  std::optional<epoch> inherited_first_complete_epoch;

  // Serving.
  std::map<host_incarnation, peer_progress> peers;
  std::map<call_id, open_call> calls;
  std::map<ticket, late_call> late_calls;
  /// Nonce of the only valid ticket of each program. Invariant: changed before this host answers
  /// `not_run`.
  std::map<program_id, std::uint64_t> nonces;
  /// Programs with a call that the former owner may still be sending, and until when.
  std::map<program_id, timestamp> send_not_before;
  std::uint64_t last_confirmation_number = 0;
  /// Newest records, for replicas that lack them. The first is at position
  /// `own_log->last` - size + 1; at most `max_unacknowledged_records`.
  std::deque<log_record> unacknowledged_records;
  bool degraded = false;
};

}  // namespace hawthornlane
