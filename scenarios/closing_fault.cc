// The last fault of a fault soak: hosts lose power, and disks are lost, at the same moment.
#include "closing_fault.h"

#include <fmt/format.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace hawthornlane::scenarios {
using namespace std::chrono_literals;

namespace {

/// Promised time after which the successor of a removed disk host is a whole member: from then on
/// another disk may be lost.
constexpr auto catch_up = 4300ms;
/// The ledger set is complete again this long after the last fault.
constexpr auto set_complete_within = 12s;
/// A retiring disk host is replaced within the time allowed for it.
constexpr auto retirement_limit = 8s;

}  // namespace

closing_kind closing_kind_of(const std::string& name, std::uint64_t seed) {
  using enum closing_kind;
  constexpr std::array names{
      std::pair{"power", power},
      std::pair{"wipe", wipe},
      std::pair{"wipe-after-replacement", wipe_after_replacement},
      std::pair{"wipe-in-retirement", wipe_in_retirement},
  };
  if (name == "none") {
    return none;
  }
  if (name == "random") {
    return names[seed % names.size()].second;
  }
  for (const auto& [known, kind] : names) {
    if (name == known) {
      return kind;
    }
  }
  throw std::invalid_argument("unknown closing fault: " + name);
}

closing_fault::closing_fault(soak_fleet& deployment, soak_faults& others, promise_checker& checker,
                             closing_kind what, std::uint64_t seed)
    : fleet(deployment),
      faults(others),
      promises(checker),
      kind(what),
      random(seed),
      stage_since(std::chrono::steady_clock::now()) {}

std::size_t closing_fault::random_index(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

std::chrono::milliseconds closing_fault::random_duration(int min_ms, int max_ms) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(this->random));
}

std::size_t closing_fault::random_member() {
  std::vector<std::size_t> members;
  for (std::size_t number = 0; number < this->fleet.disks.size(); ++number) {
    if (this->fleet.is_member(this->fleet.disks[number])) {
      members.push_back(number);
    }
  }
  return members.at(this->random_index(members.size()));
}

void closing_fault::report_late_set() {
  if (this->set_was_late) {
    this->promises.note(
        fmt::format("the ledger set is not complete {} ms after the start of a replaced disk "
                    "host's successor",
                    catch_up.count()));
  }
}

void closing_fault::prepare(net::steady_time now) {
  this->now_at = stage::waits_to_strike;
  this->stage_since = now;
  if (this->kind == closing_kind::wipe_after_replacement) {
    this->replaced = this->random_member();
    soak_host& leaving = this->fleet.disks[this->replaced];
    const auto gap = this->random_duration(500, 1500);
    this->faults.record(
        fmt::format("{} is replaced, its successor starts {} ms later", leaving.name, gap.count()));
    this->fleet.replace(leaving, gap);
  } else if (this->kind == closing_kind::wipe_in_retirement) {
    const soak_host& leaving = this->fleet.disks[this->random_member()];
    this->faults.record(leaving.name + " retires");
    this->fleet.retire(leaving);
  }
}

bool closing_fault::may_strike(net::steady_time now) {
  if (this->kind == closing_kind::wipe_after_replacement) {
    const soak_host& successor = this->fleet.disks[this->replaced];
    if (!successor.process) {
      return false;
    }
    if (!this->complete_after && this->fleet.ledger_set_is_stable()) {
      this->complete_after =
          std::chrono::duration_cast<std::chrono::milliseconds>(now - successor.started_at);
    }
    this->set_was_late = !this->complete_after;
    return now >= successor.started_at + catch_up;
  }
  if (this->kind == closing_kind::wipe_in_retirement) {
    return this->fleet.ledger_set_is_joint() || now >= this->stage_since + retirement_limit;
  }
  return true;
}

void closing_fault::strike(net::steady_time now) {
  this->now_at = stage::waits_for_hosts;
  const bool wipes = this->kind != closing_kind::power;
  const std::size_t lost = this->random_index(this->fleet.disks.size());
  const bool fronts_too = this->random_index(2) == 0;
  for (std::size_t number = 0; number < this->fleet.disks.size(); ++number) {
    const auto down = this->random_duration(100, 1500);
    if (wipes && number == lost) {
      this->fleet.wipe(this->fleet.disks[number], down);
    } else {
      this->fleet.cut_power(this->fleet.disks[number], down);
    }
  }
  for (soak_host& front : this->fleet.fronts) {
    if (fronts_too) {
      this->fleet.kill(front, this->random_duration(100, 1500));
    }
  }
  this->stage_since = now;
  this->faults.record(fmt::format(
      "closing fault: {}all disk hosts{} lose power",
      wipes ? fmt::format("the disk of {} is lost, ", this->fleet.disks[lost].name) : "",
      fronts_too ? " and front hosts" : ""));
}

bool closing_fault::tick(net::steady_time now) {
  switch (this->now_at) {
    case stage::waits_for_set:
      if (this->fleet.all_running() && this->fleet.ledger_set_is_stable()) {
        this->prepare(now);
      } else if (now >= this->stage_since + set_complete_within) {
        this->promises.note("the ledger set is not complete again after the faults");
      }
      return false;
    case stage::waits_to_strike:
      if (this->may_strike(now)) {
        this->strike(now);
      }
      return false;
    case stage::waits_for_hosts:
      if (this->fleet.all_running()) {
        this->now_at = stage::over;
        this->returned_at = now;
      }
      return this->now_at == stage::over;
    case stage::over:
      break;
  }
  return true;
}

}  // namespace hawthornlane::scenarios
