// One keeper's part of the client accounts' quotas.
#include "hawthornlane/limits/quota_keeper.h"

#include <algorithm>

namespace hawthornlane {
namespace {

/// Part of the operator's tolerance that buckets hold beyond the burst. Programs' calls come in
/// lumps of twenty to forty, of which an account of 14 calls a second would lose one in
/// seventeen; and what one keeper's full bucket spills another one lacks. The rest of the
/// tolerance is for a change of keepers that some hosts do not know of yet.
constexpr double used_tolerance = 0.75;

}  // namespace

void quota_keeper::keep(double share, timestamp now) {
  if (this->part == 0 || share == 0) {
    this->buckets.clear();
    this->began = now;
  }
  // Buckets are filled at the old part up to now.
  for (auto& [name, item] : this->buckets) {
    item.level = this->level_at(item, now);
    item.at = now;
  }
  this->part = share;
}

double quota_keeper::capacity_of(const account_limit& limit) const {
  const double in_window = limit.calls_per_second * to_seconds(this->rules.window) + limit.burst;
  const double tolerated = in_window * this->rules.excess + this->rules.slack;
  // Less than a whole call could never be granted.
  return std::max(1.0, this->part * (limit.burst + used_tolerance * tolerated));
}

double quota_keeper::rate_of(const account_limit& limit) const {
  return limit.calls_per_second * this->part;
}

double quota_keeper::level_at(const bucket& from, timestamp now) const {
  const double filled = from.level + this->rate_of(from.limit) * to_seconds(now - from.at);
  return std::min(filled, this->capacity_of(from.limit));
}

quota_keeper::bucket& quota_keeper::bucket_of(const quota_question& question, timestamp now) {
  const auto [found, is_new] = this->buckets.try_emplace(question.account);
  bucket& item = found->second;
  if (is_new) {
    // As if it had been asked for nothing since this host began to keep quotas.
    item = {question.limit, question.version, 0, this->began};
  }
  item.level = this->level_at(item, now);
  item.at = now;
  if (question.version > item.version) {
    item.limit = question.limit;
    item.version = question.version;
    item.level = std::min(item.level, this->capacity_of(item.limit));
  }
  return item;
}

quota_answer quota_keeper::ask(const quota_question& question, timestamp now) {
  if (this->part == 0) {
    return {quota_verdict::not_kept, {}};
  }
  bucket& item = this->bucket_of(question, now);
  if (!item.limit.limits()) {
    return {quota_verdict::granted, {}};
  }
  if (item.level >= 1) {
    item.level -= 1;
    return {quota_verdict::granted, {}};
  }
  return {quota_verdict::refused, from_seconds((1 - item.level) / this->rate_of(item.limit))};
}

void quota_keeper::forget_idle(timestamp now) {
  std::erase_if(this->buckets, [&](const auto& entry) {
    const bucket& item = entry.second;
    const double as_new = this->rate_of(item.limit) * to_seconds(now - this->began);
    const double full = this->capacity_of(item.limit);
    return as_new >= full && this->level_at(item, now) >= full;
  });
}

}  // namespace hawthornlane
