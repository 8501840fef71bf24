// Failure detector for one peer: whether it is live, and when to probe it. No I/O, clock or
// randomness.
//
// Keeps detection fast when hosts of a large deployment fail. Detection by silence alone took three
// probe intervals, which grow with the number of hosts: 4 s with 83 hosts, 16 s with 340. Meanwhile
// callers were still sent to the failed hosts and waited a second each. So hosts share their
// suspicions, and each host confirms a suspicion with a probe of its own.
#pragma once

#include <set>

#include "hawthornlane/front/probe_schedule.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Intervals of failure detection.
struct detector_timing {
  /// Interval between two probes of a pair of hosts.
  duration probe_interval{};
  /// A peer that has sent nothing for this long counts as failed, whatever others report.
  duration silence_timeout{};
};

/// Failure detector for one peer.
class peer_failure_detector {
public:
  /// `phase_of_pair`, from 0 to 1, is the fraction of the probe interval after which the pair
  /// starts to probe. Without it, hosts that start together would always probe each other at the
  /// same times, and a failure just after such a time would be detected a whole interval later.
  peer_failure_detector(timestamp now, double phase_of_pair)
      : watched_since(now), phase(phase_of_pair), last_message_at(now), first_unanswered(now) {}

  /// Records that a message of the peer has arrived.
  void record_message(timestamp now);
  void record_probe_received(timestamp now);
  /// `lag`: total lag of this host's event loop so far.
  void record_probe_sent(timestamp now, duration lag = {});
  void record_probe_answered(timestamp sent);
  /// `lag_in_flight`: lag of the event loop while the probe was in flight.
  void record_probe_failed(timestamp sent, duration lag_in_flight = {});
  /// Records that `other` suspects this peer.
  void record_suspicion(const host_id& other, timestamp now);

  /// Whether an own probe has failed or has been unanswered for long, with no message of the peer
  /// since. A suspicion is reported to the other hosts, which then probe the peer themselves. Event
  /// loop lag does not count as waiting, since an answer may be unread; `lag` as in
  /// `record_probe_sent`.
  [[nodiscard]] bool suspected(timestamp now, duration lag = {}) const;
  /// Whether others suspect the peer and this host has neither received a message of it nor probed
  /// it since.
  [[nodiscard]] bool confirmation_due(timestamp now) const;
  /// Whether the regular probe of this pair is due, whatever others report; `goes_first` as in
  /// `is_probe_due`.
  [[nodiscard]] bool regular_probe_due(bool goes_first, const detector_timing& timing,
                                       timestamp now) const;
  [[nodiscard]] bool is_alive(const detector_timing& timing, timestamp now) const;

private:
  probe_times probes;
  timestamp watched_since;
  double phase;
  timestamp last_message_at;
  /// Time of the first probe since the last message of the peer; not later than that message when
  /// there was none.
  timestamp first_unanswered;
  /// Total event loop lag at that time.
  duration lag_at_first_unanswered{};
  bool failed = false;
  /// Hosts that have reported a suspicion since the last message of the peer. Invariant: at most as
  /// many as a decision needs.
  std::set<host_id> suspected_by;
  timestamp last_suspicion_at{};
};

}  // namespace hawthornlane::front
