// Which host this host asks for a whole copy of what it lacks.
#include "hawthornlane/front/copy_fetch_scheduler.h"

#include <algorithm>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane::front {

void copy_fetch_scheduler::heard(copy_kind kind, const host_id& from, bool ahead, bool prompt,
                                 timestamp now) {
  intake& one = this->intakes[kind];
  if (!ahead) {
    one.ahead.erase(from);
    return;
  }
  source& known = one.ahead.try_emplace(from, source{.ahead_since = now}).first->second;
  known.prompt = known.prompt || prompt;
}

std::optional<host_id> copy_fetch_scheduler::next(copy_kind kind, bool urgent, timestamp now) {
  intake& one = this->intakes[kind];
  if (one.asked || one.ahead.empty() || now < one.quiet_until) {
    return std::nullopt;
  }
  // Another order for each host and question: the hosts that have a copy share the work.
  const std::uint64_t order = rendezvous_weight(this->self.get(), one.questions);
  const bool any_reached =
      std::any_of(one.ahead.begin(), one.ahead.end(),
                  [this](const auto& item) { return this->reaches(item.first); });
  const host_id* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& [name, known] : one.ahead) {
    const bool due = urgent || known.prompt || now - known.ahead_since >= ask_after;
    const auto resting = one.resting.find(name);
    const bool rests = resting != one.resting.end() && now < resting->second.until;
    if (!due || rests || (any_reached && !this->reaches(name))) {
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
  ++one.questions;
  one.asked = *best;
  return one.asked;
}

void copy_fetch_scheduler::taken(copy_kind kind) {
  intake& one = this->intakes[kind];
  if (one.asked) {
    one.resting.erase(*one.asked);
  }
  one.asked.reset();
}

void copy_fetch_scheduler::renew(copy_kind kind) {
  intake& one = this->intakes[kind];
  one.ahead.clear();
  for (auto& [name, resting] : one.resting) {
    resting.refusals = 0;
  }
}

void copy_fetch_scheduler::busy(copy_kind kind, const std::vector<host_id>& holders,
                                timestamp now) {
  intake& one = this->intakes[kind];
  one.quiet_until = now + question_pause;
  if (one.asked) {
    rest& asked = one.resting[*one.asked];
    ++asked.refusals;
    asked.until = now + this->pause_after(asked.refusals);
    asked.failed_for = failed_pause;
    one.asked.reset();
  }
  for (const host_id& holder : holders) {
    if (holder != this->self) {
      this->heard(kind, holder, true, true, now);
    }
  }
}

duration copy_fetch_scheduler::pause_after(int refusals) const {
  duration pause = busy_pause;
  for (int refusal = 1; refusal < refusals && pause < longest_busy_pause; ++refusal) {
    pause *= 2;
  }
  const double crowd = static_cast<double>(this->hosts) / crowded_hosts;
  return from_seconds(to_seconds(std::min(pause, longest_busy_pause)) * std::max(1.0, crowd));
}

void copy_fetch_scheduler::failed(copy_kind kind, timestamp now) {
  constexpr int growth = 4;
  intake& one = this->intakes[kind];
  if (!one.asked) {
    return;
  }
  rest& asked = one.resting[*one.asked];
  asked.until = now + asked.failed_for;
  asked.failed_for = std::min(asked.failed_for * growth, longest_failed_pause);
  one.asked.reset();
}

void copy_fetch_scheduler::forget(const host_id& gone) {
  for (intake& one : this->intakes) {
    one.ahead.erase(gone);
    one.resting.erase(gone);
  }
}

}  // namespace hawthornlane::front
