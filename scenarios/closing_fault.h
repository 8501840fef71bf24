// The last fault of a fault soak: hosts lose power, and disks are lost, at the same moment.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "soak_faults.h"

namespace hawthornlane::scenarios {

/// What happens at the end of a run. No kind loses more disks than a deployment tolerates.
enum class closing_kind : std::uint8_t {
  none,
  /// All hosts lose power.
  power,
  /// One disk is lost while all other hosts lose power.
  wipe,
  /// A disk host is replaced at another address. Once its successor has had the catch-up time,
  /// another disk is lost while all other hosts lose power.
  wipe_after_replacement,
  /// A disk is lost while all other hosts lose power, in the middle of the change of the ledger
  /// set that empties a retiring disk host.
  wipe_in_retirement,
};

/// A kind by its name in the command line, or a random one for "random"; throws
/// `std::invalid_argument` for another name.
closing_kind closing_kind_of(const std::string& name, std::uint64_t seed);

/// Use it after the other faults have ended, while callers go on.
class closing_fault {
public:
  closing_fault(soak_fleet& fleet, soak_faults& faults, promise_checker& promises,
                closing_kind kind, std::uint64_t seed);

  /// Reports a set that was not complete when the closing fault struck, as a broken promise. The
  /// run ends with the first of these, so call it after the check of the recovery.
  void report_late_set();

  /// Takes the next step if it is due. True once all hosts are back.
  bool tick(net::steady_time now);
  /// When the last host was started again. Valid once `tick` has returned true.
  [[nodiscard]] net::steady_time back_at() const { return this->returned_at; }
  /// From the start of a replaced disk host's successor to a complete ledger set; nothing if none
  /// was replaced or the set was not complete when the closing fault struck.
  [[nodiscard]] std::optional<std::chrono::milliseconds> set_complete_after() const {
    return this->complete_after;
  }

private:
  enum class stage : std::uint8_t { waits_for_set, waits_to_strike, waits_for_hosts, over };
  void prepare(net::steady_time now);
  [[nodiscard]] bool may_strike(net::steady_time now);
  /// Index of a random disk host whose disk is in the ledger set.
  std::size_t random_member();
  void strike(net::steady_time now);
  std::size_t random_index(std::size_t count);
  std::chrono::milliseconds random_duration(int min_ms, int max_ms);

  soak_fleet& fleet;
  soak_faults& faults;
  promise_checker& promises;
  closing_kind kind;
  std::mt19937_64 random;
  stage now_at = stage::waits_for_set;
  net::steady_time stage_since;
  /// Index of the disk host that was replaced.
  std::size_t replaced = 0;
  bool set_was_late = false;
  std::optional<std::chrono::milliseconds> complete_after;
  net::steady_time returned_at{};
};

}  // namespace hawthornlane::scenarios
