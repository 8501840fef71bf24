// Random histories of faults: in no window more calls than the operator tolerates, and without
// faults as many as an account is owed.
//
// RC_PARAMS="seed=N max_success=N" plays other histories than the ones of every run.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <sstream>

#include "quota_simulation.h"

using namespace hawthornlane;
using namespace hawthornlane::quota_test;
using namespace std::chrono_literals;

namespace {

constexpr duration history_length = 40s;
/// Keepers begin with empty buckets; by then these have grown full.
constexpr int first_moment_ms = 10'000;
constexpr int last_moment_ms = 25'000;
/// Faults fall upon each other: most begin within this time.
constexpr int spread_ms = 8'000;
constexpr int short_fault_ms = 1'000;
constexpr int long_fault_ms = 12'000;
constexpr int most_faults = 14;

timestamp at(duration since_start) { return timestamp{} + since_start; }

/// Any number below `end`, small ones no likelier than others.
rc::Gen<int> any_of(int begin, int end) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(begin, end));
}

rc::Gen<fault> fault_near(int moment_ms) {
  using enum fault_kind;
  return rc::gen::build<fault>(
      rc::gen::set(&fault::kind,
                   rc::gen::element(kill, kill, kill, pause, cut, cut, cut_store, cut_store, delay,
                                    duplicate, retire, change_limit, rush)),
      rc::gen::set(&fault::at_ms, any_of(moment_ms, moment_ms + spread_ms)),
      rc::gen::set(&fault::length_ms,
                   rc::gen::oneOf(any_of(0, short_fault_ms), any_of(0, long_fault_ms))),
      rc::gen::set(&fault::host, any_of(0, world::disk_hosts)),
      rc::gen::set(&fault::other, any_of(0, world::disk_hosts + world::front_hosts)));
}

/// Faults around one moment, amid which the account asks for much more than its quota.
std::vector<fault> any_history() {
  const int moment_ms = *any_of(first_moment_ms, last_moment_ms);
  const int count = *any_of(0, most_faults);
  std::vector<fault> history{
      {fault_kind::rush, moment_ms + *any_of(0, spread_ms), *any_of(0, long_fault_ms), 0, 0}};
  for (int number = 0; number < count; ++number) {
    history.push_back(*fault_near(moment_ms));
  }
  return history;
}

/// The same histories in every run, or those that the environment names.
rc::detail::TestParams parameters() {
  if (std::getenv("RC_PARAMS") != nullptr) {
    return rc::detail::configuration().testParams;
  }
  rc::detail::TestParams fixed;
  fixed.seed = 20'271;
  fixed.maxSuccess = 120;
  return fixed;
}

fault rush(int at_ms, int length_ms) { return {fault_kind::rush, at_ms, length_ms, 0, 0}; }

/// Nothing passes between this host and any other disk host, nor the store.
std::vector<fault> cut_off(int host, int at_ms, int length_ms) {
  std::vector<fault> history{{fault_kind::cut_store, at_ms, length_ms, host, 0}};
  for (int other = 0; other < world::disk_hosts; ++other) {
    history.push_back({fault_kind::cut, at_ms, length_ms, host, other});
    history.push_back({fault_kind::cut, at_ms, length_ms, other, host});
  }
  history.push_back(rush(at_ms + 5'000, 8'000));
  return history;
}

/// All keepers start again in the middle of a rush, when they have given out their buckets.
std::vector<fault> killed_in_a_rush() {
  std::vector<fault> history{rush(15'000, 8'000)};
  for (int host = 0; host < world::keepers; ++host) {
    history.push_back({fault_kind::kill, 17'000 + 100 * host, 100, host, 0});
  }
  return history;
}

/// The store does not reach a host that the operator has emptied; all others answer it.
std::vector<fault> replaced_unawares() {
  return {{fault_kind::cut_store, 14'000, 20'000, 0, 0},
          {fault_kind::retire, 15'000, 0, 0, 0},
          rush(17'000, 8'000)};
}

/// The one host that can take its place does not hear it, and the store does not reach it.
std::vector<fault> lost_to_one() {
  return {{fault_kind::cut_store, 14'000, 20'000, 0, 0},
          {fault_kind::cut, 14'000, 20'000, 0, world::keepers},
          {fault_kind::cut, 14'000, 20'000, world::keepers, 0},
          rush(18'500, 8'000)};
}

/// The store does not reach a host from the moment on at which it is to leave the set; whoever
/// takes its place copies for some seconds.
std::vector<fault> leaving_unawares() {
  std::vector<fault> history{{fault_kind::retire, 15'000, 0, 0, 0},
                             {fault_kind::cut_store, 16'000, 20'000, 0, 0},
                             rush(19'500, 8'000)};
  for (int member = 0; member < world::keepers; ++member) {
    history.push_back({fault_kind::cut, 15'000, 3'000, world::keepers, member});
  }
  return history;
}

}  // namespace

TEST_CASE("no window holds more calls than the operator tolerates, in any history of faults") {
  const auto property = [] {
    const int seed = *any_of(1, 1'000'000);
    const int rate = *any_of(5, 40);
    const int burst = *any_of(1, 30);
    const std::vector<fault> history = any_history();
    const account_limit limit{static_cast<double>(rate), static_cast<double>(burst)};
    world all(static_cast<std::uint64_t>(seed), limit, planted_fault::none);
    all.play(history, history_length);
    RC_ASSERT(all.worst_excess() <= 0);
  };
  rc::detail::TestMetadata about;
  about.id = "quota histories";
  about.description = about.id;
  const auto result = rc::detail::checkTestable(property, about, parameters());
  std::ostringstream told;
  rc::detail::printResultMessage(result, told);
  INFO(told.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("without faults an account gets what it is owed, however much more it asks for") {
  const account_limit limit =
      GENERATE(account_limit{5, 5}, account_limit{20, 1}, account_limit{40, 30});
  world all(1, limit, planted_fault::none);
  all.play({rush(10'000, 30'000)}, history_length);
  CHECK(all.worst_excess() <= 0);
  // Keepers begin with empty buckets.
  const std::size_t served = all.served_between(at(10s), at(40s));
  CHECK(static_cast<double>(served) >= 0.95 * 30 * limit.calls_per_second);
}

TEST_CASE("a keeper's mistakes are found") {
  struct row {
    const char* what;
    planted_fault mistake;
    std::vector<fault> history;
    /// Beyond what is tolerated in some window, or less than what is owed without faults.
    bool too_many;
    bool too_few;
    /// The history changes the set of keepers.
    bool changes_set;
  };
  using enum planted_fault;
  const row item = GENERATE(values<row>({
      {"restarts", none, killed_in_a_rush(), false, false, false},
      {"restarts that forget", forgets_grants, killed_in_a_rush(), true, false, false},
      {"a host that is cut off", none, cut_off(0, 15'000, 20'000), false, false, true},
      {"one that goes on", ignores_lease, cut_off(0, 15'000, 20'000), true, false, true},
      {"a host that is emptied", none, replaced_unawares(), false, false, true},
      {"one that goes on", ignores_lease, replaced_unawares(), true, false, true},
      {"a host that one other does not hear", none, lost_to_one(), false, false, true},
      {"one that goes on", ignores_lease, lost_to_one(), true, false, true},
      {"one that its peers' fences do not stop", ignores_fences, replaced_unawares(), true, false,
       true},
      {"the same", ignores_fences, lost_to_one(), true, false, true},
      {"a host that is to leave", none, leaving_unawares(), false, false, true},
      {"one that stays to the end", stays_to_the_end, leaving_unawares(), true, false, true},
      {"a pause longer than a lease",
       none,
       {{fault_kind::pause, 15'000, 9'000, 0, 0}},
       false,
       false,
       true},
      {"no fault", none, {rush(9'000, 8'000)}, false, false, false},
      {"refusals that count", counts_refusals, {rush(9'000, 8'000)}, false, true, false},
  }));
  INFO(item.what);
  const account_limit limit{40, 30};
  world all(7, limit, item.mistake);
  all.play(item.history, history_length);
  INFO("beyond the limit by " << all.worst_excess());
  CHECK((all.worst_excess() > 0) == item.too_many);
  if (item.history.front().kind == fault_kind::rush && item.history.size() == 1) {
    const double owed = 5 * limit.calls_per_second;
    const auto served = static_cast<double>(all.served_between(at(11s), at(16s)));
    CHECK((served < 0.9 * owed) == item.too_few);
  }
  CHECK((all.set_changes() > 0) == item.changes_set);
}
