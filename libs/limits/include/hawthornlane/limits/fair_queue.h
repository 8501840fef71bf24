// Queue of waiting calls: weighted between client accounts, ordered by program within an account.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Identifies one waiting call.
using waiting_id = strong_value<struct waiting_id_tag, std::uint64_t>;

/// One waiting call. The lowest `sort_key` goes first within its account.
struct waiting_call {
  waiting_id id;
  client_account account;
  double weight = 1;
  double sort_key = 0;
  /// Predicted server time, seconds; charged to the account when the call is taken.
  double cost = 0;
};

/// Start-time fair queueing between accounts, and a sorted set of calls within each account. Adding
/// or taking a call takes logarithmic time in the number of waiting calls and of their accounts.
class fair_queue {
public:
  void add(const waiting_call& call);
  /// Removes and returns the next call; empty when none waits.
  std::optional<waiting_call> take();
  /// Returns the call that `take` would return, null when none waits.
  [[nodiscard]] const waiting_call* peek() const;
  bool remove(waiting_id id);
  [[nodiscard]] std::size_t size() const { return this->calls.size(); }
  /// Sum of the predicted server time of the waiting calls, seconds.
  [[nodiscard]] double waiting_cost() const { return this->cost_sum; }

private:
  struct account_state {
    /// The account's waiting calls by `sort_key`.
    std::set<std::pair<double, waiting_id>> waiting;
    /// Server time taken so far, seconds, divided by the weight. Invariant: at least the queue's
    /// `virtual_time` when the account begins to wait.
    double served = 0;
  };
  void erase(const waiting_call& call);

  std::map<client_account, account_state> accounts;
  /// Accounts with waiting calls, least served first. Invariant: one entry for each account whose
  /// `waiting` is not empty.
  std::set<std::pair<double, client_account>> by_served;
  std::map<waiting_id, waiting_call> calls;
  double virtual_time = 0;
  double cost_sum = 0;
};

}  // namespace hawthornlane
