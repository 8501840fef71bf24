// Chooses the peer from which this host fetches a copy of newer state.
#include "hawthornlane/front/copy_fetch_scheduler.h"

#include <algorithm>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane::front {

void copy_fetch_scheduler::update_peer(copy_kind kind, const host_id& from, bool ahead,
                                       bool immediate, timestamp now) {
  fetch& one = this->fetches[kind];
  if (!ahead) {
    one.ahead.erase(from);
    if (one.ahead.empty()) {
      one.known_since.reset();
    }
    return;
  }
  one.known_since = one.known_since.value_or(now);
  source& known = one.ahead.try_emplace(from, source{.ahead_since = now}).first->second;
  known.immediate = known.immediate || immediate;
}

std::optional<host_id> copy_fetch_scheduler::next(copy_kind kind, bool urgent, timestamp now) {
  fetch& one = this->fetches[kind];
  if (one.asked || one.ahead.empty() || now < one.no_request_until) {
    return std::nullopt;
  }
  // A different order for each host and request, so that the hosts with a copy share the load.
  const std::uint64_t order = rendezvous_weight(this->self.get(), one.request_count);
  const bool any_reached =
      std::any_of(one.ahead.begin(), one.ahead.end(),
                  [this](const auto& item) { return this->reaches(item.first); });
  const host_id* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& [name, known] : one.ahead) {
    const bool due = urgent || known.immediate || now - known.ahead_since >= request_delay;
    const auto backoffs = one.backoffs.find(name);
    const bool in_backoff = backoffs != one.backoffs.end() && now < backoffs->second.until;
    if (!due || in_backoff || (any_reached && !this->reaches(name))) {
      continue;
    }
    const std::uint64_t weight = rendezvous_weight(name.get(), order);
    if (best == nullptr || weight > best_weight) {
      best = &name;
      best_weight = weight;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++one.request_count;
  ++one.counts.requests;
  one.asked = *best;
  return one.asked;
}

void copy_fetch_scheduler::taken(copy_kind kind) {
  fetch& one = this->fetches[kind];
  if (one.asked) {
    one.backoffs.erase(*one.asked);
  }
  one.asked.reset();
  one.counts = {};
  one.known_since.reset();
}

fetch_progress copy_fetch_scheduler::progress(copy_kind kind, timestamp now) const {
  const fetch& one = this->fetches[kind];
  fetch_progress progress = one.counts;
  progress.since_known = now - one.known_since.value_or(now);
  return progress;
}

void copy_fetch_scheduler::invalidate(copy_kind kind) {
  fetch& one = this->fetches[kind];
  one.ahead.clear();
  one.known_since.reset();
  for (auto& [name, backoffs] : one.backoffs) {
    backoffs.refusals = 0;
  }
}

void copy_fetch_scheduler::busy(copy_kind kind, const std::vector<host_id>& holders,
                                timestamp now) {
  fetch& one = this->fetches[kind];
  one.no_request_until = now + refusal_delay;
  if (one.asked) {
    ++one.counts.refusals;
    backoff_state& asked = one.backoffs[*one.asked];
    ++asked.refusals;
    asked.until = now + this->backoff_after(asked.refusals);
    asked.next_failure_backoff = failure_backoff;
    one.asked.reset();
  }
  for (const host_id& holder : holders) {
    if (holder != this->self) {
      this->update_peer(kind, holder, true, true, now);
    }
  }
}

duration copy_fetch_scheduler::backoff_after(int refusals) const {
  duration backoff = busy_backoff;
  for (int refusal = 1; refusal < refusals && backoff < max_busy_backoff; ++refusal) {
    backoff *= 2;
  }
  const double scale = static_cast<double>(this->hosts) / backoff_scaling_hosts;
  return from_seconds(to_seconds(std::min(backoff, max_busy_backoff)) * std::max(1.0, scale));
}

void copy_fetch_scheduler::failed(copy_kind kind, timestamp now) {
  constexpr int growth = 4;
  fetch& one = this->fetches[kind];
  if (!one.asked) {
    return;
  }
  ++one.counts.failures;
  backoff_state& asked = one.backoffs[*one.asked];
  asked.until = now + asked.next_failure_backoff;
  asked.next_failure_backoff = std::min(asked.next_failure_backoff * growth, max_failure_backoff);
  one.asked.reset();
}

void copy_fetch_scheduler::forget(const host_id& gone) {
  for (fetch& one : this->fetches) {
    one.ahead.erase(gone);
    one.backoffs.erase(gone);
  }
}

}  // namespace hawthornlane::front
