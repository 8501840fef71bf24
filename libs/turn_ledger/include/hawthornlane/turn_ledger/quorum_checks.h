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
  [[nodiscard]] bool has_answered(const disk_id& disk) const { return this->yes.contains(disk); }
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

/// Decides whether a turn exists, and puts its chain together from the disks' parts of it.
///
/// A turn is stored at a majority, so some disk of each read quorum has it. No single disk needs to
/// have all turns of a chain: each may have missed the turns of a time when it did not answer.
class chain_check {
public:
  chain_check(ledger_set set, request_id last) : wanted(std::move(last)), round(std::move(set)) {}

  /// The disk's response to a request for the chain that ends with `asked`. `part` is empty if the
  /// disk's host is of an older version; then `answer` has the whole chain or none of it.
  void on_answer(const request_id& asked, const chain_response& answer, const chain_part& part) {
    this->named_exists = this->named_exists || answer.known;
    for (const auto* turns : {&answer.turns, &part.turns}) {
      for (const stored_turn& turn : *turns) {
        this->found.try_emplace(turn.id, turn);
      }
    }
    this->extend();
    if (this->wanted && (*this->wanted == asked || this->wanted == part.lacks)) {
      this->round.answered(answer.disk);
    }
  }
  /// The disk will not respond to a request for the chain that ends with `asked`.
  void on_failed(const request_id& asked, const disk_id& disk) {
    if (this->wanted == asked) {
      this->round.failed(disk);
    }
  }

  /// The turn whose chain the disks have to be asked for next; nothing if the chain is whole.
  [[nodiscard]] const std::optional<request_id>& missing() const { return this->wanted; }
  /// The disk has responded that it cannot provide the missing turn.
  [[nodiscard]] bool lacks_missing(const disk_id& disk) const {
    return this->round.has_answered(disk);
  }
  /// Absent only if a majority does not have the named turn, since a completed turn is stored at a
  /// majority. That an earlier turn is missing does not make the named one absent.
  [[nodiscard]] chain_outcome outcome() const {
    if (!this->wanted) {
      return chain_outcome::whole;
    }
    const bool absent = this->chain.empty() && !this->named_exists && this->round.majority();
    return absent ? chain_outcome::absent : chain_outcome::undecided;
  }
  /// True if the search should end: all disks have responded or failed for the missing turn, or too
  /// many have failed for a majority. May also be true when `outcome` is decided, so check that
  /// first.
  [[nodiscard]] bool cannot_succeed() const {
    return this->round.cannot_succeed() || this->round.all_answered();
  }
  /// The newest turns of the chain that were found so far, oldest first; all of it if it is whole.
  [[nodiscard]] std::vector<const stored_turn*> turns() const {
    return {this->chain.rbegin(), this->chain.rend()};
  }

private:
  /// Continues the chain with turns that were found. A new missing turn is asked for anew.
  void extend() {
    const std::size_t before = this->chain.size();
    while (this->wanted && this->chain.size() < this->found.size()) {
      const auto next = this->found.find(*this->wanted);
      if (next == this->found.end()) {
        break;
      }
      this->chain.push_back(&next->second);
      this->wanted = next->second.previous;
    }
    if (this->chain.size() > before) {
      this->round = disk_round(this->round.of());
    }
  }

  std::optional<request_id> wanted;
  /// Responses concerning `wanted`.
  disk_round round;
  /// A disk has the named turn, though perhaps not its chain.
  bool named_exists = false;
  /// All turns received. Invariant: those of `chain` are not removed.
  std::map<request_id, stored_turn> found;
  /// Newest first.
  std::vector<const stored_turn*> chain;
};

}  // namespace hawthornlane
