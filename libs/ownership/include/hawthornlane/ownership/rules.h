// Times of the ownership protocol, and the switches that tests use to take a
// safety rule out.
#pragma once

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Times of the ownership protocol. Safety depends on none of them.
struct ownership_times {
  /// Longest gap between a replica's acknowledgement and the send of a call; a
  /// new owner waits as long before it continues a program with an open call.
  duration dispatch_gap = std::chrono::milliseconds(500);
  /// How long a new owner waits for all replicas before it serves with a gap.
  duration seal_wait = std::chrono::seconds(2);
  /// How long an intent waits for its first acknowledgement.
  duration append_wait = std::chrono::seconds(2);
  /// A replica silent for longer is not waited for when a result is kept.
  duration replica_silence = std::chrono::milliseconds(700);
  /// When an unanswered message is sent again.
  duration resend_after = std::chrono::milliseconds(250);
  /// How long a former owner tries to bring a result to the new one.
  duration late_result_wait = std::chrono::seconds(10);
};

/// The rules whose absence breaks a promise. All on, except in the tests that
/// show that the search finds each absence.
struct ownership_rules {
  /// A ticket runs only at the owner of its own epoch.
  bool ticket_bound_to_epoch = true;
  /// `not_run` after a takeover needs every replica of the former set sealed.
  bool seal_all_before_not_run = true;
  /// A log's incompleteness is inherited at the next takeover.
  bool inherit_incompleteness = true;
  /// A replica leaves the set only when those that stay hold every record.
  bool remove_only_when_others_hold_all = true;
  /// While a set change is undecided, only replicas in both sets count.
  bool count_only_common_replicas = true;
  /// Replicas refuse appends below the highest epoch that they have seen.
  bool replicas_fence = true;
  /// Nothing is sent before an intent is acknowledged.
  bool intent_before_dispatch = true;
  /// An intent without a result is charged in full at takeover.
  bool charge_open_intents = true;
  /// A split budget is halved on each side.
  bool halve_budget_when_split = true;
  /// A refusal `not_run` ends the ticket at its owner.
  bool refusal_ends_ticket = true;
};

}  // namespace hawthornlane
