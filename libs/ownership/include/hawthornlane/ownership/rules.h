// Timeouts of the ownership protocol, and switches with which tests turn off a safety rule.
#pragma once

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Timeouts of the ownership protocol. Safety depends on none of them.
struct ownership_times {
  /// Longest time between the replica acknowledgement of an intent and the send of its call. A
  /// new owner waits as long before it continues a program with an open call.
  duration dispatch_gap = std::chrono::milliseconds(500);
  /// How long a new owner waits for all replicas to be sealed before it serves with an
  /// incomplete log.
  duration seal_wait = std::chrono::seconds(2);
  /// How long an intent waits for its first acknowledgement by a replica.
  duration append_wait = std::chrono::seconds(2);
  /// Storing a result does not wait for a replica that has not answered for longer than this.
  duration replica_silence = std::chrono::milliseconds(700);
  /// Time after which an unanswered message is sent again.
  duration resend_after = std::chrono::milliseconds(250);
  /// How long a former owner tries to forward a result to the new one.
  duration late_result_wait = std::chrono::seconds(10);
};

/// Safety rules; without any one of them a guarantee of `shard_core` is broken. All are on, except
/// in tests which show that the state search and the soak find the violation.
struct ownership_rules {
  /// A ticket runs only at the owner of the epoch in which it was issued.
  bool ticket_bound_to_epoch = true;
  /// After a takeover, `not_run` is answered only when every replica of the former set is sealed.
  bool seal_all_before_not_run = true;
  /// A log that is incomplete stays incomplete at the next takeover.
  bool inherit_incompleteness = true;
  /// A replica is removed from the set only when one that stays holds every record.
  bool remove_only_when_others_hold_all = true;
  /// While a change of the replica set is undecided, only acknowledgements of replicas in both
  /// sets count.
  bool count_only_common_replicas = true;
  /// Replicas reject appends of epochs below the highest one that they have seen.
  bool replicas_fence = true;
  /// A call is not sent before its intent is acknowledged by a replica.
  bool intent_before_dispatch = true;
  /// At a takeover, an intent without a result is charged in full.
  bool charge_open_intents = true;
  /// When the network may be partitioned, each side spends at most half of the budget.
  bool halve_budget_when_split = true;
  /// An answer `not_run` invalidates the ticket at its owner.
  bool refusal_ends_ticket = true;
};

}  // namespace hawthornlane
