// Random histories of faults. No window, a time span of length `quota_tolerance::window`, may hold
// more calls than the operator tolerates, and without faults an account gets its whole quota.
//
// RC_PARAMS="seed=N max_success=N" runs other histories than the default ones.
#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <sstream>

#include "quota_simulation.h"

using namespace hawthornlane;
using namespace hawthornlane::quota_test;
using namespace std::chrono_literals;

namespace {

constexpr duration history_length = 40s;
/// Managers start with empty buckets, which are full by then.
constexpr int earliest_start_ms = 10'000;
constexpr int latest_start_ms = 25'000;
/// Most faults begin within this time, so that they overlap.
constexpr int fault_window_ms = 8'000;
constexpr int short_fault_ms = 1'000;
constexpr int long_fault_ms = 12'000;
constexpr int max_faults = 14;

timestamp at(duration since_start) { return timestamp{} + since_start; }

/// Any number from `begin` to below `end`, uniformly and whatever size RapidCheck asks for.
rc::Gen<int> uniform_number(int begin, int end) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(begin, end));
}

rc::Gen<fault> random_fault(int start_ms) {
  using enum fault_kind;
  return rc::gen::build<fault>(
      rc::gen::set(&fault::kind,
                   rc::gen::element(kill, kill, kill, pause, cut, cut, cut_store, cut_store, delay,
                                    duplicate, retire, change_limit, overload)),
      rc::gen::set(&fault::at_ms, uniform_number(start_ms, start_ms + fault_window_ms)),
      rc::gen::set(&fault::length_ms, rc::gen::oneOf(uniform_number(0, short_fault_ms),
                                                     uniform_number(0, long_fault_ms))),
      rc::gen::set(&fault::host, uniform_number(0, simulation::disk_hosts)),
      rc::gen::set(&fault::other,
                   uniform_number(0, simulation::disk_hosts + simulation::front_hosts)));
}

/// Faults around one time, during which the account requests much more than its quota.
std::vector<fault> random_history() {
  const int start_ms = *uniform_number(earliest_start_ms, latest_start_ms);
  const int count = *uniform_number(0, max_faults);
  std::vector<fault> history{{fault_kind::overload, start_ms + *uniform_number(0, fault_window_ms),
                              *uniform_number(0, long_fault_ms), 0, 0}};
  for (int number = 0; number < count; ++number) {
    history.push_back(*random_fault(start_ms));
  }
  return history;
}

/// The same histories in every run, unless RC_PARAMS is set.
rc::detail::TestParams parameters() {
  if (std::getenv("RC_PARAMS") != nullptr) {
    return rc::detail::configuration().testParams;
  }
  rc::detail::TestParams fixed;
  fixed.seed = 20'271;
  fixed.maxSuccess = 120;
  return fixed;
}

fault overload(int at_ms, int length_ms) { return {fault_kind::overload, at_ms, length_ms, 0, 0}; }

/// The host can reach neither the store nor any other disk host.
std::vector<fault> cut_off(int host, int at_ms, int length_ms) {
  std::vector<fault> history{{fault_kind::cut_store, at_ms, length_ms, host, 0}};
  for (int other = 0; other < simulation::disk_hosts; ++other) {
    history.push_back({fault_kind::cut, at_ms, length_ms, host, other});
    history.push_back({fault_kind::cut, at_ms, length_ms, other, host});
  }
  history.push_back(overload(at_ms + 5'000, 8'000));
  return history;
}

/// One of two hosts can reach neither the store nor the other one, during an overload.
std::vector<fault> cut_off_in_overload() {
  return {{fault_kind::cut_store, 15'000, 4'500, 0, 0},
          {fault_kind::cut, 15'000, 4'500, 0, 1},
          {fault_kind::cut, 15'000, 4'500, 1, 0},
          overload(14'500, 8'000)};
}

/// A host can reach the store, but no other host, until the others have replaced it.
std::vector<fault> cut_off_from_hosts(int cut_store_at_ms) {
  std::vector<fault> history = cut_off(0, 15'000, 6'000);
  history.front().at_ms = cut_store_at_ms;
  history.back() = overload(14'500, 8'000);
  return history;
}

/// All managers restart during an overload, when their buckets are used up.
std::vector<fault> restarts_in_overload() {
  std::vector<fault> history{overload(15'000, 8'000)};
  for (int host = 0; host < simulation::usual_managers; ++host) {
    history.push_back({fault_kind::kill, 17'000 + 100 * host, 100, host, 0});
  }
  return history;
}

/// A host that the operator drains cannot reach the store; all other hosts respond to it.
std::vector<fault> replaced_while_cut_off() {
  return {{fault_kind::cut_store, 14'000, 20'000, 0, 0},
          {fault_kind::retire, 15'000, 0, 0, 0},
          overload(17'000, 8'000)};
}

/// A host is cut off from the store and from the only host that can replace it.
std::vector<fault> cut_off_from_replacement() {
  return {{fault_kind::cut_store, 14'000, 20'000, 0, 0},
          {fault_kind::cut, 14'000, 20'000, 0, simulation::usual_managers},
          {fault_kind::cut, 14'000, 20'000, simulation::usual_managers, 0},
          overload(18'500, 8'000)};
}

/// A host is cut off from the store when it is about to leave the set, and its replacement needs
/// several seconds to copy.
std::vector<fault> leaving_while_cut_off() {
  std::vector<fault> history{{fault_kind::retire, 15'000, 0, 0, 0},
                             {fault_kind::cut_store, 16'000, 20'000, 0, 0},
                             overload(19'500, 8'000)};
  for (int member = 0; member < simulation::usual_managers; ++member) {
    history.push_back({fault_kind::cut, 15'000, 3'000, simulation::usual_managers, member});
  }
  return history;
}

}  // namespace

TEST_CASE("no history of faults leads to more calls in a window than the operator tolerates") {
  const auto property = [] {
    const int seed = *uniform_number(1, 1'000'000);
    const int rate = *uniform_number(5, 40);
    const int burst = *uniform_number(1, 30);
    const std::vector<fault> history = random_history();
    constexpr std::array sizes{simulation::size{2, 2}, simulation::size{2, 4},
                               simulation::size{3, 4}, simulation::size{5, 7}};
    const simulation::size size = sizes.at(*uniform_number(0, sizes.size()));
    const account_limit limit{static_cast<double>(rate), static_cast<double>(burst)};
    simulation all(static_cast<std::uint64_t>(seed), limit, {}, size);
    all.play(history, history_length);
    RC_ASSERT(all.worst_excess() <= 0);
  };
  rc::detail::TestMetadata metadata;
  metadata.id = "quota histories";
  metadata.description = metadata.id;
  const auto result = rc::detail::checkTestable(property, metadata, parameters());
  std::ostringstream diagnostic;
  rc::detail::printResultMessage(result, diagnostic);
  INFO(diagnostic.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("an account that requests more than its quota still gets the whole quota") {
  const account_limit limit =
      GENERATE(account_limit{5, 5}, account_limit{20, 1}, account_limit{40, 30});
  simulation all(1, limit);
  all.play({overload(10'000, 30'000)}, history_length);
  CHECK(all.worst_excess() <= 0);
  // Managers start with empty buckets.
  const std::size_t served = all.served_between(at(10s), at(40s));
  CHECK(static_cast<double>(served) >= 0.95 * 30 * limit.calls_per_second);
}

TEST_CASE("the checks detect bugs planted in a quota manager") {
  struct row {
    const char* what;
    injected_bugs bugs;
    std::vector<fault> history;
    /// Some window exceeds the tolerance; without faults the account gets less than its quota.
    bool too_many;
    bool too_few;
    /// The history changes the set of managers.
    bool changes_set;
    simulation::size size = {};
    account_limit limit{40, 30};
  };
  using enum injected_bug;
  const row item = GENERATE(values<row>({
      {"managers restart", {}, restarts_in_overload(), false, false, false},
      {"managers restart without their grants",
       {loses_grants},
       restarts_in_overload(),
       true,
       false,
       false},
      {"a host is cut off", {}, cut_off(0, 15'000, 20'000), false, false, true},
      {"a host that is cut off ignores its lease",
       {ignores_lease},
       cut_off(0, 15'000, 20'000),
       true,
       false,
       true},
      {"a drained host is cut off from the store",
       {},
       replaced_while_cut_off(),
       false,
       false,
       true},
      {"a drained host ignores its lease",
       {ignores_lease},
       replaced_while_cut_off(),
       true,
       false,
       true},
      {"a host is cut off from the store and its replacement",
       {},
       cut_off_from_replacement(),
       false,
       false,
       true},
      {"a host cut off from its replacement ignores its lease",
       {ignores_lease},
       cut_off_from_replacement(),
       true,
       false,
       true},
      {"a drained host ignores fences",
       {ignores_fences, grows_at_once},
       replaced_while_cut_off(),
       true,
       false,
       true},
      {"a host cut off from its replacement ignores fences",
       {ignores_fences, grows_at_once},
       cut_off_from_replacement(),
       true,
       false,
       true},
      {"a leaving host is cut off from the store", {}, leaving_while_cut_off(), false, false, true},
      {"a leaving host keeps its share until the next set",
       {keeps_share_while_leaving, grows_at_once, ignores_fences},
       leaving_while_cut_off(),
       true,
       false,
       true},
      {"one of two hosts is cut off",
       {},
       cut_off_in_overload(),
       false,
       false,
       true,
       {2, 2},
       {100, 20}},
      {"the share of the other one of two hosts grows at once",
       {grows_at_once},
       cut_off_in_overload(),
       true,
       false,
       true,
       {2, 2},
       {100, 20}},
      {"a host cut off from other hosts loses the store when it is replaced",
       {},
       cut_off_from_hosts(17'700),
       false,
       false,
       true},
      {"a host is suspended for longer than a lease",
       {},
       {{fault_kind::pause, 15'000, 9'000, 0, 0}},
       false,
       false,
       true},
      {"no fault", {}, {overload(9'000, 8'000)}, false, false, false},
      {"refused calls are deducted",
       {deducts_refusals},
       {overload(9'000, 8'000)},
       false,
       true,
       false},
  }));
  INFO(item.what);
  constexpr std::uint64_t seeds = 6;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulation all(seed, item.limit, item.bugs, item.size);
    all.play(item.history, history_length);
    INFO("seed " << seed << ", beyond the limit by " << all.worst_excess());
    CHECK((all.worst_excess() > 0) == item.too_many);
    if (item.history.front().kind == fault_kind::overload && item.history.size() == 1) {
      const double quota_calls = 5 * item.limit.calls_per_second;
      const auto served = static_cast<double>(all.served_between(at(11s), at(16s)));
      CHECK((served < 0.9 * quota_calls) == item.too_few);
    }
    CHECK((all.set_changes() > 0) == item.changes_set);
  }
}
