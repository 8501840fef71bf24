// Which host this host asks for a whole copy of what it lacks.
#include "hawthornlane/front/copy_intake.h"

#include <algorithm>

#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane::front {

void copy_intake::heard(copy_kind kind, const host_id& from, bool ahead, bool prompt,
                        timestamp now) {
  intake& one = this->of(kind);
  if (!ahead) {
    one.ahead.erase(from);
    return;
  }
  source& known = one.ahead.try_emplace(from, source{.ahead_since = now}).first->second;
  known.prompt = known.prompt || prompt;
}

std::optional<host_id> copy_intake::next(copy_kind kind, bool urgent, timestamp now) {
  intake& one = this->of(kind);
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
    if (!due || now < known.not_before || (any_reached && !this->reaches(name))) {
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

copy_intake::source* copy_intake::end_question(intake& one) {
  if (!one.asked) {
    return nullptr;
  }
  const auto found = one.ahead.find(*one.asked);
  one.asked.reset();
  return found == one.ahead.end() ? nullptr : &found->second;
}

void copy_intake::busy(copy_kind kind, const std::vector<host_id>& holders, timestamp now) {
  intake& one = this->of(kind);
  one.quiet_until = now + question_pause;
  if (source* asked = end_question(one)) {
    asked->not_before = now + asked->busy_for;
    asked->busy_for = std::min(asked->busy_for * 2, longest_busy_pause);
  }
  for (const host_id& holder : holders) {
    if (holder != this->self) {
      this->heard(kind, holder, true, true, now);
    }
  }
}

void copy_intake::failed(copy_kind kind, timestamp now) {
  if (source* asked = end_question(this->of(kind))) {
    asked->not_before = now + failed_pause;
  }
}

void copy_intake::forget(const host_id& gone) {
  for (intake& one : this->intakes) {
    one.ahead.erase(gone);
  }
}

}  // namespace hawthornlane::front
