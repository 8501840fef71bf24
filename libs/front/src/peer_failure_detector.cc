// Failure detector for one peer.
#include "hawthornlane/front/peer_failure_detector.h"

namespace hawthornlane::front {
namespace {

/// Number of other hosts that must also suspect a peer: a single one may merely have lost its own
/// connection to it.
constexpr std::size_t min_confirmations = 2;
/// A probe unanswered for this long, many times the round trip to another zone, raises a suspicion
/// before it fails at 0.5 s. With this, 340 hosts detect the loss of a zone after 1.3 s; when
/// only failed probes raise a suspicion, after 2.1 s (failure_detection_test).
constexpr duration suspicion_delay = std::chrono::milliseconds(200);
/// A probe that fails while this host's event loop lagged by more than this proves nothing: of the
/// 0.5 s probe timeout, less than `suspicion_delay` was left for the answer.
constexpr duration max_lag = std::chrono::milliseconds(300);
/// A peer that has sent a message within this time is not probed when other hosts report that they
/// suspect it: their unanswered probe was sent before that message.
constexpr duration recent_message_window = std::chrono::milliseconds(300);

}  // namespace

void peer_failure_detector::record_message(timestamp now) {
  this->last_message_at = now;
  this->failed = false;
  this->suspected_by.clear();
}

void peer_failure_detector::record_probe_received(timestamp now) {
  this->probes.last_received = now;
}

void peer_failure_detector::record_probe_sent(timestamp now, duration lag) {
  this->probes.last_sent = now;
  if (this->first_unanswered <= this->last_message_at) {
    this->first_unanswered = now;
    this->lag_at_first_unanswered = lag;
  }
}

bool peer_failure_detector::suspected(timestamp now, duration lag) const {
  const bool is_probe_unanswered = this->first_unanswered > this->last_message_at;
  const duration waited = (now - this->first_unanswered) - (lag - this->lag_at_first_unanswered);
  return this->failed || (is_probe_unanswered && waited >= suspicion_delay);
}

void peer_failure_detector::record_probe_answered(timestamp sent) {
  this->probes.last_acked = sent;
}

void peer_failure_detector::record_probe_failed(timestamp sent, duration lag_in_flight) {
  // A message that arrived while the probe was in flight outweighs its failure.
  const bool is_conclusive = sent >= this->last_message_at && lag_in_flight <= max_lag;
  this->failed = this->failed || is_conclusive;
}

void peer_failure_detector::record_suspicion(const host_id& other, timestamp now) {
  if (this->suspected_by.size() < min_confirmations) {
    this->suspected_by.insert(other);
  }
  this->last_suspicion_at = now;
}

bool peer_failure_detector::confirmation_due(timestamp now) const {
  const bool probed_since = this->probes.last_sent >= this->last_suspicion_at;
  const bool is_reported =
      !this->suspected_by.empty() && now - this->last_message_at >= recent_message_window;
  return is_reported && !this->failed && !probed_since;
}

bool peer_failure_detector::regular_probe_due(bool goes_first, const detector_timing& timing,
                                              timestamp now) const {
  const timestamp first_probe_at =
      this->watched_since + from_seconds(to_seconds(timing.probe_interval) * this->phase);
  if (this->probes.last_sent < first_probe_at) {
    return now >= first_probe_at;
  }
  return is_probe_due(this->probes, goes_first, timing.probe_interval, now);
}

bool peer_failure_detector::is_alive(const detector_timing& timing, timestamp now) const {
  if (now - this->last_message_at >= timing.silence_timeout) {
    return false;
  }
  return !this->failed || this->suspected_by.size() < min_confirmations;
}

}  // namespace hawthornlane::front
