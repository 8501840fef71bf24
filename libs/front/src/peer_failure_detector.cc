// Failure detector for one peer.
#include "hawthornlane/front/peer_failure_detector.h"

namespace hawthornlane::front {
namespace {

/// Number of other hosts that must also suspect a peer: a single one may merely have lost its own
/// connection to it.
constexpr std::size_t least_told = 2;
/// A probe unanswered for this long, many times the round trip to another zone, raises a suspicion
/// before it fails at 0.5 s. With this, 340 hosts detect the loss of a zone after 1.3 s; when
/// only failed probes raise a suspicion, after 2.1 s (failure_detection_test).
constexpr duration long_unanswered = std::chrono::milliseconds(200);
/// A probe that fails while this host's event loop lagged by more than this proves nothing: of the
/// 0.5 s probe timeout, less than `long_unanswered` was left for the answer.
constexpr duration most_late = std::chrono::milliseconds(300);
/// A peer that has sent a message within this time is not probed on a report of others: the probe
/// that they wait for is older.
constexpr duration just_heard = std::chrono::milliseconds(300);

}  // namespace

void peer_failure_detector::heard(timestamp now) {
  this->last_heard = now;
  this->failed = false;
  this->told.clear();
}

void peer_failure_detector::was_probed(timestamp now) { this->probes.was_probed = now; }

void peer_failure_detector::probe_sent(timestamp now, duration late) {
  this->probes.tried = now;
  if (this->asked <= this->last_heard) {
    this->asked = now;
    this->late_when_asked = late;
  }
}

bool peer_failure_detector::suspected(timestamp now, duration late) const {
  const bool is_asked = this->asked > this->last_heard;
  const duration waited = (now - this->asked) - (late - this->late_when_asked);
  return this->failed || (is_asked && waited >= long_unanswered);
}

void peer_failure_detector::probe_answered(timestamp sent) { this->probes.probed = sent; }

void peer_failure_detector::probe_failed(timestamp sent, duration late_meanwhile) {
  // A message that arrived while the probe was in flight outweighs its failure.
  const bool proves = sent >= this->last_heard && late_meanwhile <= most_late;
  this->failed = this->failed || proves;
}

void peer_failure_detector::told_by(const host_id& other, timestamp now) {
  if (this->told.size() < least_told) {
    this->told.insert(other);
  }
  this->last_told = now;
}

bool peer_failure_detector::doubted(timestamp now) const {
  const bool asked_since = this->probes.tried >= this->last_told;
  const bool is_doubtful = !this->told.empty() && now - this->last_heard >= just_heard;
  return is_doubtful && !this->failed && !asked_since;
}

bool peer_failure_detector::turn_due(bool goes_first, const detector_timing& pace,
                                     timestamp now) const {
  const timestamp begins = this->since + from_seconds(to_seconds(pace.pause) * this->phase);
  if (this->probes.tried < begins) {
    return now >= begins;
  }
  return is_probe_due(this->probes, goes_first, pace.pause, now);
}

bool peer_failure_detector::lives(const detector_timing& pace, timestamp now) const {
  if (now - this->last_heard >= pace.silence) {
    return false;
  }
  return !this->failed || this->told.size() < least_told;
}

}  // namespace hawthornlane::front
