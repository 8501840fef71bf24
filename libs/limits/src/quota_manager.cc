// One host's share of the client accounts' quotas.
#include "hawthornlane/limits/quota_manager.h"

#include <algorithm>
#include <utility>

namespace hawthornlane {
namespace {

/// Fraction of the operator's tolerance that is added to the buckets' capacity. The calls of
/// programs come in groups larger than a small account's burst, and one manager's bucket may
/// overflow while another one is empty. The rest of the tolerance is for a change of managers, when
/// two may grant the same share for a short time.
constexpr double tolerance_in_capacity = 0.9;
/// Rounding error allowed in sums of fractions of a call, calls.
constexpr double rounding_error = 1e-6;

}  // namespace

void quota_manager::restore(const quota_record& record) {
  if (record.is_reset) {
    this->buckets.clear();
    this->managed_at_resume = 0;
  }
  this->managed_at_resume = std::max(this->managed_at_resume, record.managed_seconds);
  for (const quota_bucket_record& bucket_record : record.bucket_records) {
    this->buckets[bucket_record.account] = {bucket_record.limit, bucket_record.version,
                                            bucket_record.level, record.managed_seconds};
  }
}

void quota_manager::set_share(double share, timestamp now) {
  const bool becomes_manager = this->own_share == 0 && share != 0;
  if (share == 0) {
    this->buckets.clear();
    this->programs.clear();
    this->changed.clear();
    this->managed_at_resume = 0;
    this->reset_is_unlogged = true;
  } else if (becomes_manager) {
    this->resumed_at = now;
  }
  // Fill the buckets at the old share up to now.
  const double managed_seconds = this->managed_seconds(now);
  for (auto& [name, item] : this->buckets) {
    item.level = becomes_manager ? item.level : this->level_at(item, managed_seconds);
    item.refilled_at = becomes_manager ? item.refilled_at : managed_seconds;
  }
  this->own_share = share;
}

double quota_manager::capacity_of(const account_limit& limit) const {
  const double in_window =
      limit.calls_per_second * to_seconds(this->tolerance.window) + limit.burst;
  const double tolerated = in_window * this->tolerance.excess + this->tolerance.slack;
  // A bucket with room for less than one call could never grant any.
  return std::max(1.0, this->own_share * (limit.burst + tolerance_in_capacity * tolerated));
}

double quota_manager::rate_of(const account_limit& limit) const {
  return limit.calls_per_second * this->own_share;
}

double quota_manager::managed_seconds(timestamp now) const {
  return this->managed_at_resume + to_seconds(now - this->resumed_at);
}

double quota_manager::level_at(const bucket& from, double managed_seconds) const {
  const double filled =
      from.level + this->rate_of(from.limit) * (managed_seconds - from.refilled_at);
  return std::min(filled, this->capacity_of(from.limit));
}

quota_manager::bucket& quota_manager::refilled_bucket(const quota_request& request, timestamp now) {
  const auto [found, is_new] = this->buckets.try_emplace(request.account);
  bucket& item = found->second;
  if (is_new) {
    // The state of an account that has requested nothing since this host became a manager.
    item = {request.limit, request.version, 0, 0};
  }
  const double managed_seconds = this->managed_seconds(now);
  item.level = this->level_at(item, managed_seconds);
  item.refilled_at = managed_seconds;
  if (request.version > item.version) {
    item.limit = request.limit;
    item.version = request.version;
    item.level = std::min(item.level, this->capacity_of(item.limit));
  }
  return item;
}

quota_response quota_manager::ask(const quota_request& request, timestamp now) {
  if (this->own_share == 0) {
    return {quota_outcome::not_kept, {}};
  }
  bucket& item = this->refilled_bucket(request, now);
  if (!item.limit.limits()) {
    return {quota_outcome::granted, {}};
  }
  const double needed = this->level_needed(request, item, now);
  this->record_call(request, now);
  if (item.level >= needed - rounding_error) {
    item.level -= 1;
    this->changed.insert(request.account);
    if (request.program) {
      this->record_grant(*request.program, request.account, now);
    }
    return {quota_outcome::granted, {}};
  }
  this->held_back += item.level >= 1 - rounding_error ? 1 : 0;
  return {quota_outcome::refused, from_seconds((needed - item.level) / this->rate_of(item.limit))};
}

double quota_manager::level_needed(const quota_request& request, const bucket& from,
                                   timestamp now) {
  if (!request.program || !request.program->begins) {
    return 1;
  }
  active_programs& begun = this->programs[request.account];
  begun.remove_expired(now);
  if (begun.contains(request.program->key, now)) {
    return 1;
  }
  // A full bucket admits any program.
  const double needed = begun.needed(this->calls_per_program.mean(), this->own_share, now);
  return std::clamp(needed, 1.0, this->capacity_of(from.limit));
}

void quota_manager::record_call(const quota_request& request, timestamp now) {
  const auto begun = this->programs.find(request.account);
  if (!request.program || begun == this->programs.end() ||
      !begun->second.contains(request.program->key, now)) {
    return;
  }
  begun->second.record_call(request.program->key, now);
  this->calls_per_program.record_call();
}

void quota_manager::record_grant(const quota_program& program, const client_account& account,
                                 timestamp now) {
  active_programs& begun = this->programs[account];
  if (begun.contains(program.key, now)) {
    begun.record_grant(program.key);
  } else if (program.begins) {
    begun.admit(program.key, now);
    this->calls_per_program.record_start();
  }
}

void quota_manager::forget_idle(timestamp now) {
  const double managed_seconds = this->managed_seconds(now);
  for (auto& [account, begun] : this->programs) {
    begun.remove_expired(now);
  }
  std::erase_if(this->buckets, [&](const auto& entry) {
    const bucket& item = entry.second;
    const double full = this->capacity_of(item.limit) - rounding_error;
    return !this->changed.contains(entry.first) &&
           this->rate_of(item.limit) * managed_seconds >= full &&
           this->level_at(item, managed_seconds) >= full;
  });
  std::erase_if(this->programs, [](const auto& entry) { return entry.second.empty(); });
}

quota_bucket_record quota_manager::record_of(const client_account& account, const bucket& item) {
  return {account, item.limit, item.version, item.level};
}

quota_record quota_manager::take_changes(timestamp now) {
  quota_record record;
  record.managed_seconds = this->managed_seconds(now);
  record.is_reset = std::exchange(this->reset_is_unlogged, false);
  for (const client_account& account : this->changed) {
    bucket& item = this->buckets.at(account);
    item.level = this->level_at(item, record.managed_seconds);
    item.refilled_at = record.managed_seconds;
    record.bucket_records.push_back(record_of(account, item));
  }
  this->changed.clear();
  return record;
}

quota_record quota_manager::whole(timestamp now) const {
  quota_record record;
  record.managed_seconds =
      this->own_share == 0 ? this->managed_at_resume : this->managed_seconds(now);
  record.is_reset = true;
  for (const auto& [account, item] : this->buckets) {
    bucket filled = item;
    filled.level = this->level_at(item, record.managed_seconds);
    record.bucket_records.push_back(record_of(account, filled));
  }
  return record;
}

}  // namespace hawthornlane
