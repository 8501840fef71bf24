// Exhaustive search over the real shard cores: all orders of messages and faults within small
// bounds, and a counterexample for each safety rule that is turned off.
#include <malloc.h>

#include <catch2/catch.hpp>

#include "search.h"

using namespace hawthornlane;

namespace {

std::string joined(const std::vector<std::string>& trace) {
  std::string text;
  for (const std::string& name : trace) {
    text += "  " + name + "\n";
  }
  return text;
}

/// The search allocates and frees many small states. Returning their memory to the system each
/// time would cost more than the search.
void keep_freed_memory() {
  constexpr int keep = 1 << 30;
  mallopt(M_TRIM_THRESHOLD, keep);
  mallopt(M_MMAP_THRESHOLD, keep);
}

search::bounds more_faults() {
  search::bounds limits;
  limits.sends = 2;
  limits.takeovers = 1;
  limits.set_changes = 0;
  return limits;
}

search::bounds more_sends() {
  search::bounds limits;
  limits.faults = 1;
  limits.takeovers = 1;
  limits.set_changes = 0;
  return limits;
}

search::bounds two_takeovers() {
  search::bounds limits;
  limits.sends = 2;
  limits.faults = 0;
  limits.set_changes = 0;
  limits.claim_keeps_owner = false;
  return limits;
}

search::bounds set_change() {
  search::bounds limits;
  limits.faults = 0;
  limits.sends = 2;
  limits.takeovers = 1;
  return limits;
}

search::bounds late_set_change() {
  search::bounds limits = set_change();
  limits.sends = 1;
  limits.late_answers = true;
  return limits;
}

/// Large enough to contain a counterexample when a rule is off. `late_set_change` is smaller so
/// that it can be searched exhaustively.
search::bounds late_set_change_two_sends() {
  search::bounds limits = late_set_change();
  limits.sends = 2;
  return limits;
}

/// The caller continues with each new ticket; only one call fits into the budget.
search::bounds split_budget() {
  search::bounds limits;
  limits.sends = 3;
  limits.faults = 0;
  limits.takeovers = 1;
  limits.set_changes = 0;
  limits.budget = token_count(15);
  limits.follow_new_tickets = true;
  return limits;
}

ownership_rules without(bool ownership_rules::*rule) {
  ownership_rules rules;
  rules.*rule = false;
  return rules;
}

}  // namespace

// Each row explores all states within its bounds: calls, takeovers, losses of messages and hosts,
// and changes of the replica set, in every order.
TEST_CASE("no order of messages and faults violates a guarantee") {
  keep_freed_memory();
  using row = std::tuple<std::string, search::bounds (*)()>;
  const auto [name, bounds] = GENERATE(table<std::string, search::bounds (*)()>(
      {row{"two faults", &more_faults}, row{"three sends", &more_sends},
       row{"two takeovers", &two_takeovers}, row{"a set change", &set_change},
       row{"a set change with late answers", &late_set_change},
       row{"a split budget", &split_budget}}));
  const search::search_result found = search::search(bounds(), ownership_rules{});
  INFO(name << ": " << found.violation << "\n" << joined(found.trace));
  CAPTURE(found.states);
  std::printf("%-34s %9zu states\n", name.c_str(), found.states);
  CHECK(found.violation.empty());
  CHECK(found.exhausted);
}

// Fails if a safety rule has no effect, or if the model cannot reach the violation that the rule
// prevents.
TEST_CASE("the search finds a short counterexample for each safety rule that is turned off") {
  keep_freed_memory();
  using rule = bool ownership_rules::*;
  using row = std::tuple<std::string, rule, search::bounds (*)()>;
  const auto [name, disabled_rule, bounds] =
      GENERATE(table<std::string, rule, search::bounds (*)()>(
          {row{"a ticket runs only in its own epoch", &ownership_rules::ticket_bound_to_epoch,
               &more_sends},
           row{"not_run needs all replicas sealed", &ownership_rules::seal_all_before_not_run,
               &more_sends},
           row{"incompleteness is inherited", &ownership_rules::inherit_incompleteness,
               &two_takeovers},
           row{"removal needs the others to hold all",
               &ownership_rules::remove_only_when_others_hold_all, &set_change},
           row{"only common replicas count", &ownership_rules::count_only_common_replicas,
               &late_set_change_two_sends},
           row{"replicas fence", &ownership_rules::replicas_fence, &more_sends},
           row{"intent before dispatch", &ownership_rules::intent_before_dispatch, &more_sends},
           row{"a refusal ends its ticket", &ownership_rules::refusal_ends_ticket, &more_sends},
           row{"open intents are charged", &ownership_rules::charge_open_intents, &split_budget},
           row{"a split budget is halved", &ownership_rules::halve_budget_when_split,
               &split_budget}}));
  const search::search_result found = search::search(bounds(), without(disabled_rule));
  INFO(name << "; states " << found.states);
  std::printf("%-38s %7zu states, %zu steps: %s\n", name.c_str(), found.states, found.trace.size(),
              found.violation.c_str());
  CHECK_FALSE(found.violation.empty());
  CHECK(found.trace.size() <= 14);
}
