// What one front host believes of another one: whether it lives, and when to probe it. No
// I/O, clock or randomness.
//
// Answers the loss of many hosts of a large deployment. By its own silence alone a death was
// noticed after three pauses between probes, which grow with the number of hosts: 4 s among
// 83 hosts, 16 s among 340, while callers were still sent there and waited a second each.
// So hosts tell each other whom they suspect, and each asks for itself before it believes.
#pragma once

#include <set>

#include "hawthornlane/front/probe_schedule.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Pauses of a host that watches others.
struct detector_timing {
  /// Between two probes of a pair of hosts.
  duration pause{};
  /// After this long without a word another host counts as gone, whatever others say.
  duration silence{};
};

/// One other host, as this host sees it.
class peer_failure_detector {
public:
  /// `phase_of_pair`, from 0 to 1, is the part of a pause after which the pair's probes begin:
  /// hosts that start together would else probe each other at the same moments for ever, and a
  /// death just after one of these be noticed a whole pause later.
  peer_failure_detector(timestamp now, double phase_of_pair)
      : since(now), phase(phase_of_pair), last_heard(now), asked(now) {}

  /// Any word of the other host came.
  void heard(timestamp now);
  void was_probed(timestamp now);
  /// `late`: for how long this host's own event loop has been late until now, in all.
  void probe_sent(timestamp now, duration late = {});
  void probe_answered(timestamp sent);
  /// `late_meanwhile`: for how long the event loop was late while the probe waited.
  void probe_failed(timestamp sent, duration late_meanwhile = {});
  /// Another host has told that it suspects this one.
  void told_by(const host_id& other, timestamp now);

  /// An own probe has failed, or waits for long already, and no word came since: worth
  /// telling others, who then ask for themselves. Time in which this host's event loop was late
  /// does not count as waiting, for an answer may lie unread; `late` as in `probe_sent`.
  [[nodiscard]] bool suspected(timestamp now, duration late = {}) const;
  /// Others suspect it, and this host has neither heard nor asked it since.
  [[nodiscard]] bool doubted(timestamp now) const;
  /// By the turns of the pair, whatever others say; `goes_first` as in `is_probe_due`.
  [[nodiscard]] bool turn_due(bool goes_first, const detector_timing& pace, timestamp now) const;
  [[nodiscard]] bool lives(const detector_timing& pace, timestamp now) const;

private:
  probe_times probes;
  timestamp since;
  double phase;
  timestamp last_heard;
  /// The first probe since the last word; before that word when there is none.
  timestamp asked;
  /// How late the event loop had been by then, in all.
  duration late_when_asked{};
  bool failed = false;
  /// Who has told of a suspicion since the last word. Invariant: no more than a belief needs.
  std::set<host_id> told;
  timestamp last_told{};
};

}  // namespace hawthornlane::front
