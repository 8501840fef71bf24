// One keeper's part of the client accounts' quotas.
#include "hawthornlane/limits/quota_manager.h"

#include <algorithm>
#include <utility>

namespace hawthornlane {
namespace {

/// Part of the operator's tolerance that buckets hold beyond the burst: programs' calls come in
/// lumps longer than a small account's burst, and what one keeper's full bucket spills another
/// one lacks. The rest is for a change of keepers, in which two may grant the same part for a
/// moment.
constexpr double used_tolerance = 0.9;
/// What sums of fractions of a call may lack, calls.
constexpr double least_difference = 1e-6;

}  // namespace

void quota_manager::restore(const quota_record& record) {
  if (record.begins) {
    this->buckets.clear();
    this->age_before = 0;
  }
  this->age_before = std::max(this->age_before, record.age);
  for (const quota_bucket_record& mark : record.bucket_records) {
    this->buckets[mark.account] = {mark.limit, mark.version, mark.level, record.age};
  }
}

void quota_manager::set_share(double share, timestamp now) {
  const bool begins = this->part == 0 && share != 0;
  if (share == 0) {
    this->buckets.clear();
    this->programs.clear();
    this->changed.clear();
    this->age_before = 0;
    this->is_new = true;
  } else if (begins) {
    this->resumed = now;
  }
  // Buckets are filled at the old part up to now.
  const double age = this->age(now);
  for (auto& [name, item] : this->buckets) {
    item.level = begins ? item.level : this->level_at(item, age);
    item.at = begins ? item.at : age;
  }
  this->part = share;
}

double quota_manager::capacity_of(const account_limit& limit) const {
  const double in_window = limit.calls_per_second * to_seconds(this->rules.window) + limit.burst;
  const double tolerated = in_window * this->rules.excess + this->rules.slack;
  // Less than a whole call could never be granted.
  return std::max(1.0, this->part * (limit.burst + used_tolerance * tolerated));
}

double quota_manager::rate_of(const account_limit& limit) const {
  return limit.calls_per_second * this->part;
}

double quota_manager::age(timestamp now) const {
  return this->age_before + to_seconds(now - this->resumed);
}

double quota_manager::level_at(const bucket& from, double age) const {
  const double filled = from.level + this->rate_of(from.limit) * (age - from.at);
  return std::min(filled, this->capacity_of(from.limit));
}

quota_manager::bucket& quota_manager::bucket_of(const quota_request& question, timestamp now) {
  const auto [found, is_new] = this->buckets.try_emplace(question.account);
  bucket& item = found->second;
  if (is_new) {
    // As if it had been asked for nothing since this host began to keep quotas.
    item = {question.limit, question.version, 0, 0};
  }
  const double age = this->age(now);
  item.level = this->level_at(item, age);
  item.at = age;
  if (question.version > item.version) {
    item.limit = question.limit;
    item.version = question.version;
    item.level = std::min(item.level, this->capacity_of(item.limit));
  }
  return item;
}

quota_response quota_manager::ask(const quota_request& question, timestamp now) {
  if (this->part == 0) {
    return {quota_outcome::not_kept, {}};
  }
  bucket& item = this->bucket_of(question, now);
  if (!item.limit.limits()) {
    return {quota_outcome::granted, {}};
  }
  const double needed = this->level_needed(question, item, now);
  this->note_call(question, now);
  if (item.level >= needed - least_difference) {
    item.level -= 1;
    this->changed.insert(question.account);
    if (question.program) {
      this->note_grant(*question.program, question.account, now);
    }
    return {quota_outcome::granted, {}};
  }
  this->held_back += item.level >= 1 - least_difference ? 1 : 0;
  return {quota_outcome::refused, from_seconds((needed - item.level) / this->rate_of(item.limit))};
}

double quota_manager::level_needed(const quota_request& question, const bucket& from,
                                   timestamp now) {
  if (!question.program || !question.program->begins) {
    return 1;
  }
  active_programs& begun = this->programs[question.account];
  begun.forget_ended(now);
  if (begun.contains(question.program->key, now)) {
    return 1;
  }
  // By a full bucket any program may begin.
  const double needed = begun.needed(this->size.mean(), this->part, now);
  return std::clamp(needed, 1.0, this->capacity_of(from.limit));
}

void quota_manager::note_call(const quota_request& question, timestamp now) {
  const auto begun = this->programs.find(question.account);
  if (!question.program || begun == this->programs.end() ||
      !begun->second.contains(question.program->key, now)) {
    return;
  }
  begun->second.note_call(question.program->key, now);
  this->size.note_call();
}

void quota_manager::note_grant(const quota_program& program, const client_account& account,
                               timestamp now) {
  active_programs& begun = this->programs[account];
  if (begun.contains(program.key, now)) {
    begun.note_grant(program.key);
  } else if (program.begins) {
    begun.begin(program.key, now);
    this->size.note_begin();
  }
}

void quota_manager::forget_idle(timestamp now) {
  const double age = this->age(now);
  for (auto& [account, begun] : this->programs) {
    begun.forget_ended(now);
  }
  std::erase_if(this->buckets, [&](const auto& entry) {
    const bucket& item = entry.second;
    const double full = this->capacity_of(item.limit) - least_difference;
    return !this->changed.contains(entry.first) && this->rate_of(item.limit) * age >= full &&
           this->level_at(item, age) >= full;
  });
  std::erase_if(this->programs, [](const auto& entry) { return entry.second.empty(); });
}

quota_bucket_record quota_manager::mark_of(const client_account& account, const bucket& item) {
  return {account, item.limit, item.version, item.level};
}

quota_record quota_manager::take_changes(timestamp now) {
  quota_record record;
  record.age = this->age(now);
  record.begins = std::exchange(this->is_new, false);
  for (const client_account& account : this->changed) {
    bucket& item = this->buckets.at(account);
    item.level = this->level_at(item, record.age);
    item.at = record.age;
    record.bucket_records.push_back(mark_of(account, item));
  }
  this->changed.clear();
  return record;
}

quota_record quota_manager::whole(timestamp now) const {
  quota_record record;
  record.age = this->part == 0 ? this->age_before : this->age(now);
  record.begins = true;
  for (const auto& [account, item] : this->buckets) {
    bucket filled = item;
    filled.level = this->level_at(item, record.age);
    record.bucket_records.push_back(mark_of(account, filled));
  }
  return record;
}

}  // namespace hawthornlane
