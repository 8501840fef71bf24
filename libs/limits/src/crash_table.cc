// Which requests backend servers have crashed under, and whether such a request may run again.
#include "hawthornlane/limits/crash_table.h"

#include <algorithm>
#include <utility>

namespace hawthornlane {

int precedence_of(crash_state state) {
  switch (state) {
    case crash_state::unconfirmed:
      return 0;
    case crash_state::confirmed:
      return 1;
    case crash_state::excused:
      return 2;
    case crash_state::cleared:
      return 3;
  }
  return 0;
}

std::size_t crash_table::count(const entry& known, crash_state state) {
  return static_cast<std::size_t>(
      std::count_if(known.crashes.begin(), known.crashes.end(),
                    [state](const auto& item) { return item.second == state; }));
}

std::size_t crash_table::uncleared(const entry& known) {
  return known.crashes.size() - count(known, crash_state::cleared);
}

std::size_t crash_table::ended(const entry& known) {
  return count(known, crash_state::confirmed) + count(known, crash_state::excused);
}

std::uint64_t crash_table::checksum_of(const request_fingerprint& request, const entry& known) {
  // The finalizer of SplitMix64.
  const auto mix = [](std::uint64_t value) {
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111eb;
    return value ^ (value >> 31U);
  };
  std::uint64_t sum = 0;
  for (const auto& [server, state] : known.crashes) {
    sum ^= mix(mix(request.content_low ^ server.get()) + request.account +
               static_cast<std::uint64_t>(state));
  }
  return sum;
}

void crash_table::erase(std::map<request_fingerprint, entry>::iterator item) {
  this->sum ^= checksum_of(item->first, item->second);
  this->requests.erase(item);
}

bool crash_table::merge(const crash_report& report, timestamp now) {
  if (report.crashes.empty() || report.age >= lifetime) {
    return false;
  }
  const auto [found, is_new] = this->requests.try_emplace(report.request);
  entry& known = found->second;
  this->sum ^= checksum_of(report.request, known);
  bool changed = is_new;
  for (const crash_mark& mark : report.crashes) {
    const auto [crash, is_first] = known.crashes.try_emplace(mark.server, mark.state);
    const bool is_later = precedence_of(mark.state) > precedence_of(crash->second);
    changed = changed || is_first || is_later;
    crash->second = is_later ? mark.state : crash->second;
  }
  const auto is_cleared = [](const auto& item) { return item.second == crash_state::cleared; };
  while (known.crashes.size() > max_marks) {
    const auto dropped = std::find_if(known.crashes.begin(), known.crashes.end(), is_cleared);
    known.crashes.erase(dropped == known.crashes.end() ? known.crashes.begin() : dropped);
  }
  this->sum ^= checksum_of(report.request, known);
  if (is_new || now - report.age > known.last_crash) {
    known.last_crash = now - report.age;
    known.version = report.version;
  }
  if (this->requests.size() > max_requests) {
    this->drop_least();
  }
  return changed;
}

void crash_table::drop_least() {
  const auto rank = [](const auto& item) {
    return std::pair(uncleared(item.second), item.second.last_crash);
  };
  const auto least =
      std::min_element(this->requests.begin(), this->requests.end(),
                       [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  this->erase(least);
}

crash_standing crash_table::standing(const request_fingerprint& request) const {
  const auto found = this->requests.find(request);
  return found == this->requests.end() ? crash_standing::unsuspected : standing_of(found->second);
}

crash_standing crash_table::standing_of(const entry& known) {
  if (ended(known) >= max_crashes) {
    return crash_standing::blocked;
  }
  const bool is_excused = uncleared(known) == count(known, crash_state::excused);
  return is_excused ? crash_standing::unsuspected : crash_standing::suspected;
}

std::size_t crash_table::crashes_of(const request_fingerprint& request) const {
  const auto found = this->requests.find(request);
  return found == this->requests.end() ? 0 : found->second.crashes.size();
}

std::optional<crash_state> crash_table::state_of(const request_fingerprint& request,
                                                 server_process_key server) const {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return std::nullopt;
  }
  const auto crash = found->second.crashes.find(server);
  return crash == found->second.crashes.end() ? std::nullopt : std::optional(crash->second);
}

std::size_t crash_table::count(crash_standing standing) const {
  return static_cast<std::size_t>(
      std::count_if(this->requests.begin(), this->requests.end(),
                    [standing](const auto& item) { return standing_of(item.second) == standing; }));
}

std::vector<server_process_key> crash_table::crashed_under(
    const request_fingerprint& request) const {
  std::vector<server_process_key> servers;
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return servers;
  }
  for (const auto& [server, state] : found->second.crashes) {
    if (state != crash_state::cleared) {
      servers.push_back(server);
    }
  }
  return servers;
}

crash_report crash_table::report_of(const request_fingerprint& request, timestamp now) const {
  crash_report report;
  report.request = request;
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return report;
  }
  report.version = found->second.version;
  report.age = std::chrono::duration_cast<duration>(now - found->second.last_crash);
  for (const auto& [server, state] : found->second.crashes) {
    report.crashes.push_back({server, state});
  }
  return report;
}

std::vector<crash_report> crash_table::reports(timestamp now) const {
  std::vector<crash_report> all;
  for (const auto& [request, known] : this->requests) {
    all.push_back(this->report_of(request, now));
  }
  return all;
}

void crash_table::expire(timestamp now) {
  for (auto item = this->requests.begin(); item != this->requests.end();) {
    const auto current = item++;
    if (now - current->second.last_crash >= lifetime) {
      this->erase(current);
    }
  }
}

}  // namespace hawthornlane
