// Waiting calls, shared out between client accounts by weight and ordered within
// an account by program.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Names one waiting call.
using waiting_id = strong_value<struct waiting_id_tag, std::uint64_t>;

/// One waiting call; lower `order` goes first within its account.
struct waiting_call {
  waiting_id id;
  client_account account;
  double weight = 1;
  double order = 0;
  /// Predicted server time, seconds; charged to the account when it is taken.
  double cost = 0;
};

/// Start-time fair queueing between accounts, a sorted set within each. Taking
/// and adding cost the logarithm of what waits and of how many accounts wait.
class fair_queue {
public:
  void add(const waiting_call& call);
  /// The next call, removed; nothing when none waits.
  std::optional<waiting_call> take();
  /// Looks at the call that `take` would return.
  [[nodiscard]] const waiting_call* peek() const;
  bool remove(waiting_id id);
  [[nodiscard]] std::size_t size() const { return this->calls.size(); }
  /// Sum of the predicted server time of what waits, seconds.
  [[nodiscard]] double waiting_cost() const { return this->cost_sum; }

private:
  struct account_state {
    std::set<std::pair<double, waiting_id>> order;
    /// Server time taken so far over the weight. Invariant: never below the
    /// queue's `virtual_time` when the account begins to wait.
    double served = 0;
  };
  void erase(const waiting_call& call);

  std::map<client_account, account_state> accounts;
  /// Accounts that wait, least served first. Invariant: one entry for each account
  /// with a call in `order`.
  std::set<std::pair<double, client_account>> by_served;
  std::map<waiting_id, waiting_call> calls;
  double virtual_time = 0;
  double cost_sum = 0;
};

}  // namespace hawthornlane
