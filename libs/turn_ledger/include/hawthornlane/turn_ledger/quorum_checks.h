// What a front host decides from the responses of the disks. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_records.h"

namespace hawthornlane {

/// Responses of the disks of one set to one request.
class disk_round {
public:
  explicit disk_round(ledger_set asked) : set(std::move(asked)) {}

  void answered(const disk_id& disk) { this->yes.insert(disk); }
  /// No response will come from that disk.
  void failed(const disk_id& disk) { this->no.insert(disk); }

  /// Returns the disks that failed, for another request to each; they count as pending again.
  std::vector<disk_id> retry() {
    const std::set<disk_id> failed = std::exchange(this->no, {});
    return {failed.begin(), failed.end()};
  }

  [[nodiscard]] bool majority() const { return this->set.has_majority(this->yes); }
  [[nodiscard]] bool complete() const { return this->set.has_all(this->yes); }
  /// Too many disks have failed for a majority to respond.
  [[nodiscard]] bool cannot_succeed() const {
    std::set<disk_id> possible;
    for (const disk_id& disk : this->set.all()) {
      if (!this->no.contains(disk)) {
        possible.insert(disk);
      }
    }
    return !this->set.has_majority(possible);
  }
  [[nodiscard]] const ledger_set& of() const { return this->set; }
  /// Each disk has responded or failed.
  [[nodiscard]] bool all_answered() const {
    return this->yes.size() + this->no.size() >= this->set.all().size();
  }

private:
  ledger_set set;
  /// Disks that have responded.
  std::set<disk_id> yes;
  /// Disks that have failed.
  std::set<disk_id> no;
};

/// Whether a reservation fits its program's budget.
enum class budget_outcome : std::uint8_t {
  /// Not enough responses yet.
  undecided,
  fits,
  exceeds,
};

/// Decides whether one reservation is admitted.
///
/// Two rounds: the reservation is appended at a majority of disks; only then is a majority asked
/// for the program's reservations. Of two concurrent reservations, the one that is appended later
/// sees the other. One round is enough when every disk has responded to the append with its
/// reservations: of any set of concurrent reservations there is one such that each of the others
/// was appended before it at some disk, whose response then contains the other.
class reservation_check {
public:
  reservation_check(ledger_set set, const reservation& own, std::optional<token_count> budget)
      : appends(set), collects(std::move(set)), budget(budget) {
    this->merge(own);
  }

  void on_append(const program_response& answer) {
    this->appends.answered(answer.disk);
    this->merge_all(answer);
  }
  void on_append_failed(const disk_id& disk) { this->appends.failed(disk); }
  /// Pass only responses to requests that were sent after `appended()` became true.
  void on_collect(const program_response& answer) {
    this->collects.answered(answer.disk);
    this->merge_all(answer);
  }
  void on_collect_failed(const disk_id& disk) { this->collects.failed(disk); }

  /// A majority has the reservation: the second round may begin.
  [[nodiscard]] bool appended() const { return this->appends.majority(); }
  [[nodiscard]] bool cannot_succeed() const {
    return this->appends.cannot_succeed() || this->collects.cannot_succeed();
  }
  [[nodiscard]] budget_outcome outcome() const {
    if (!this->appends.complete() && !this->collects.majority()) {
      return budget_outcome::undecided;
    }
    const bool fits = !this->budget || this->charged() <= *this->budget;
    return fits ? budget_outcome::fits : budget_outcome::exceeds;
  }
  /// Tokens charged for all known reservations of the program, including this one.
  [[nodiscard]] token_count charged() const {
    token_count sum;
    for (const auto& [id, item] : this->known) {
      sum = sum + item.charge();
    }
    return sum;
  }

private:
  void merge_all(const program_response& answer) {
    for (const reservation& item : answer.reservations) {
      this->merge(item);
    }
  }
  void merge(const reservation& item) {
    const auto [found, is_new] = this->known.try_emplace(item.id, item);
    if (!is_new && item.phase > found->second.phase) {
      found->second = item;
    }
  }

  disk_round appends;
  disk_round collects;
  std::optional<token_count> budget;
  std::map<request_id, reservation> known;
};

/// State of the search for a chain of turns.
enum class chain_outcome : std::uint8_t { undecided, whole, absent };

/// Decides whether a turn exists, and collects its chain from the disks.
class chain_check {
public:
  explicit chain_check(ledger_set set) : round(std::move(set)) {}

  void on_answer(const chain_response& answer) {
    this->round.answered(answer.disk);
    this->known = this->known || answer.known;
    if (!answer.turns.empty()) {
      this->turns = answer.turns;
    }
  }
  void on_failed(const disk_id& disk) { this->round.failed(disk); }

  /// Absent only if a majority does not have the turn, since a completed turn is stored at a
  /// majority.
  [[nodiscard]] chain_outcome outcome() const {
    if (!this->turns.empty()) {
      return chain_outcome::whole;
    }
    const bool absent = this->round.majority() && !this->known;
    return absent ? chain_outcome::absent : chain_outcome::undecided;
  }
  /// True if the search should end: all disks have responded or failed, or too many have failed for
  /// a majority. May also be true when `outcome` is decided, so check that first.
  [[nodiscard]] bool cannot_succeed() const {
    return this->round.cannot_succeed() || this->round.all_answered();
  }
  [[nodiscard]] const std::vector<stored_turn>& chain() const { return this->turns; }

private:
  disk_round round;
  bool known = false;
  std::vector<stored_turn> turns;
};

}  // namespace hawthornlane
