// What one front host believes of another one.
#include "hawthornlane/front/peer_failure_detector.h"

namespace hawthornlane::front {
namespace {

/// So many other hosts must suspect a host too: one may be cut off from it alone.
constexpr std::size_t least_told = 2;
/// A probe that waits so long, many times the way to another zone and back, is told to others
/// before it fails at 0.5 s: a zone of 340 hosts is known to be gone after 1.3 s so, and after
/// 2.1 s when only failed probes are told (death_spread_test).
constexpr duration long_unanswered = std::chrono::milliseconds(200);
/// A probe that fails while this host's event loop was late for longer proves nothing: of the
/// 0.5 s that a probe has, less than `long_unanswered` was left for its answer.
constexpr duration most_late = std::chrono::milliseconds(300);
/// A host that was heard this lately is not probed on others' word: what they wait for is
/// older.
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
  // A word that came while the probe was under way counts more.
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
