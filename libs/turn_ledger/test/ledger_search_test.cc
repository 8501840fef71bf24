// Exhaustive search over the real decision code: reservations of one program, with
// messages in every order, and a disk that is replaced meanwhile. The budget must
// hold in every state; with one rule left out, the search must find where it breaks.
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <string>

#include "hawthornlane/turn_ledger/ledger_replica.h"
#include "hawthornlane/turn_ledger/quorum_checks.h"
#include "hawthornlane/turn_ledger/set_change.h"

using namespace hawthornlane;

namespace {

/// One rule that the search leaves out.
enum class left_out {
  nothing,
  second_round,
  fence,
  read_quorum,
  majority_of_both_sets,
  new_identity_for_an_empty_disk,
};

/// What happens to the third disk.
enum class replacement {
  none,
  /// Its contents are lost, and an empty disk takes its place.
  lost,
  /// It is taken for dead and replaced, but lives and still takes requests.
  suspected,
};

struct world_rules {
  int reservations = 2;
  replacement replace = replacement::none;
  left_out missing = left_out::nothing;
};

constexpr int disk_count = 4;
const token_count each{10};

disk_id disk(int number) { return disk_id(std::string(1, static_cast<char>('A' + number))); }
request_id request(int number) { return request_id("r" + std::to_string(number)); }

/// One front host's try to reserve.
struct front {
  explicit front(const ledger_set& at, int number, token_count budget)
      : set(at),
        check(at, {request(number), each, token_count(0), reservation_phase::open}, budget) {}

  ledger_set set;
  reservation_check check;
  std::array<bool, disk_count> appended{};
  std::array<bool, disk_count> collected{};
  bool decided = false;
  bool admitted = false;
};

struct world {
  std::array<ledger_replica, disk_count> disks;
  std::vector<front> fronts;
  ledger_set set;
  std::array<bool, disk_count> copied_from{};
  /// The third disk has been lost, or is suspected.
  bool suspected = false;
  std::string steps;
};

ledger_record record_of(int number) {
  ledger_record record;
  record.program = program_id("p");
  record.state = {request(number), each, token_count(0), reservation_phase::open};
  record.expires_at = wall_ms(1);
  return record;
}

class search {
public:
  explicit search(world_rules with) : rules(with) {}

  /// The steps to a state in which the budget is broken; empty when there is none.
  std::string run() {
    world start;
    start.set = {set_epoch(1), {disk(0), disk(1), disk(2)}, {}};
    for (int number = 0; number < this->rules.reservations; ++number) {
      start.fronts.emplace_back(start.set, number, this->budget());
    }
    this->offer(start);
    while (!this->open.empty()) {
      const world next = std::move(this->open.front());
      this->open.pop_front();
      if (this->is_broken(next)) {
        return next.steps;
      }
      this->expand(next);
    }
    return "";
  }
  [[nodiscard]] std::size_t states() const { return this->seen.size(); }

private:
  [[nodiscard]] token_count budget() const {
    return token_count(each.get() * (this->rules.reservations - 1));
  }

  [[nodiscard]] bool is_broken(const world& at) const {
    token_count sum;
    for (const front& item : at.fronts) {
      sum = sum + (item.admitted ? each : token_count(0));
    }
    return sum > this->budget();
  }

  static std::string key_of(const world& at) {
    std::string key = std::to_string(at.set.epoch.get()) + (at.suspected ? "s" : "");
    for (int number = 0; number < disk_count; ++number) {
      const auto index = static_cast<std::size_t>(number);
      key += '|' + std::to_string(at.disks[index].fence_epoch().get());
      key += at.copied_from[index] ? "c" : "";
      for (const reservation& item : at.disks[index].reservations_of(program_id("p"))) {
        key += item.id.get();
      }
    }
    for (const front& item : at.fronts) {
      key += '/' + std::to_string(item.set.epoch.get()) + (item.decided ? "d" : "") +
             (item.admitted ? "a" : "") + std::to_string(item.check.charged().get());
      for (std::size_t index = 0; index < disk_count; ++index) {
        key += item.appended[index] ? '1' : '0';
        key += item.collected[index] ? '1' : '0';
      }
    }
    return key;
  }

  void offer(const world& at) {
    if (this->seen.insert(key_of(at)).second) {
      this->open.push_back(at);
    }
  }

  void decide(front& item) const {
    if (item.decided) {
      return;
    }
    budget_outcome outcome = item.check.outcome();
    if (this->rules.missing == left_out::second_round && item.check.appended()) {
      outcome =
          item.check.charged() <= this->budget() ? budget_outcome::fits : budget_outcome::exceeds;
    }
    item.decided = outcome != budget_outcome::undecided;
    item.admitted = outcome == budget_outcome::fits;
  }

  program_response answer_of(const world& at, std::size_t index, const front& item) const {
    program_response answer;
    answer.disk = disk(static_cast<int>(index));
    answer.stale =
        !at.disks[index].accepts(item.set.epoch) && this->rules.missing != left_out::fence;
    answer.reservations = at.disks[index].reservations_of(program_id("p"));
    return answer;
  }

  void expand(const world& at) {
    for (std::size_t number = 0; number < at.fronts.size(); ++number) {
      if (at.fronts[number].decided) {
        continue;
      }
      this->try_hear(at, number);
      for (std::size_t index = 0; index < disk_count; ++index) {
        this->try_append(at, number, index);
        this->try_collect(at, number, index);
      }
    }
    if (this->rules.replace != replacement::none) {
      this->expand_replacement(at);
    }
  }

  /// A front host that has not begun may have heard of the newest set.
  void try_hear(const world& at, std::size_t number) {
    const front& item = at.fronts[number];
    const bool begun = item.appended != std::array<bool, disk_count>{};
    if (begun || item.set.epoch == at.set.epoch) {
      return;
    }
    world next = at;
    next.fronts[number] = front(next.set, static_cast<int>(number), this->budget());
    next.steps += " hear" + std::to_string(number);
    this->offer(next);
  }

  /// The empty disk keeps its old name and so never joins by copying.
  [[nodiscard]] bool keeps_identity() const {
    return this->rules.missing == left_out::new_identity_for_an_empty_disk;
  }

  static bool is_member(const ledger_set& set, std::size_t index) {
    const auto all = set.all();
    return std::find(all.begin(), all.end(), disk(static_cast<int>(index))) != all.end();
  }

  /// The third member of the first set answers nobody once it has been lost.
  [[nodiscard]] bool is_lost(const world& at, std::size_t index) const {
    constexpr std::size_t lost_disk = 2;
    return this->rules.replace == replacement::lost && at.suspected && index == lost_disk &&
           !this->keeps_identity();
  }

  void restart(world& next, std::size_t number, std::size_t index) const {
    // The refusal names the newest set; the try begins anew there.
    next.fronts[number] = front(next.set, static_cast<int>(number), this->budget());
    next.steps += " stale" + std::to_string(number) + disk(static_cast<int>(index)).get();
  }

  void try_append(const world& at, std::size_t number, std::size_t index) {
    const front& item = at.fronts[number];
    if (item.appended[index] || !is_member(item.set, index) || this->is_lost(at, index)) {
      return;
    }
    world next = at;
    const program_response before = this->answer_of(next, index, item);
    if (before.stale) {
      this->restart(next, number, index);
      this->offer(next);
      return;
    }
    next.disks[index].apply(record_of(static_cast<int>(number)));
    front& changed = next.fronts[number];
    changed.appended[index] = true;
    changed.check.on_append(this->answer_of(next, index, changed));
    this->decide(changed);
    next.steps += " append" + std::to_string(number) + disk(static_cast<int>(index)).get();
    this->offer(next);
  }

  void try_collect(const world& at, std::size_t number, std::size_t index) {
    const front& item = at.fronts[number];
    if (!item.check.appended() || item.collected[index] || !is_member(item.set, index) ||
        this->is_lost(at, index)) {
      return;
    }
    world next = at;
    const program_response answer = this->answer_of(next, index, item);
    if (answer.stale) {
      this->restart(next, number, index);
      this->offer(next);
      return;
    }
    front& changed = next.fronts[number];
    changed.collected[index] = true;
    changed.check.on_collect(answer);
    this->decide(changed);
    next.steps += " collect" + std::to_string(number) + disk(static_cast<int>(index)).get();
    this->offer(next);
  }

  /// Disk C is lost with its contents and D takes its place, in the steps that
  /// `decide_set_change` prescribes.
  void expand_replacement(const world& at) {
    constexpr std::size_t lost = 2;
    constexpr std::size_t joiner = 3;
    if (!at.suspected) {
      world next = at;
      next.suspected = true;
      if (this->rules.replace == replacement::lost) {
        next.disks[lost] = ledger_replica();
      }
      next.steps += " loseC";
      this->offer(next);
      return;
    }
    if (this->keeps_identity()) {
      return;
    }
    if (at.set.epoch == set_epoch(1)) {
      const set_decision decision = decide_set_change(this->view_of(at, false));
      REQUIRE(decision.step == set_step::propose);
      world next = at;
      next.set = decision.proposed;
      if (this->rules.missing == left_out::majority_of_both_sets) {
        next.set.members = next.set.next;
      }
      next.steps += " joint";
      this->offer(next);
      return;
    }
    if (at.set.epoch != set_epoch(2)) {
      return;
    }
    for (std::size_t index = 0; index < lost; ++index) {
      if (at.copied_from[index]) {
        continue;
      }
      world next = at;
      next.disks[index].raise_fence(set_epoch(2));
      for (const ledger_record& record :
           next.disks[index].page_after(copy_request{}, 1'000'000).records) {
        next.disks[joiner].apply(record);
      }
      next.copied_from[index] = true;
      next.steps += " copy" + disk(static_cast<int>(index)).get();
      this->offer(next);
    }
    const auto sources =
        static_cast<std::size_t>(std::count(at.copied_from.begin(), at.copied_from.end(), true));
    const std::size_t needed =
        this->rules.missing == left_out::read_quorum ? 0 : read_quorum({disk(0), disk(1), disk(2)});
    if (sources >= needed) {
      const set_decision decision = decide_set_change(this->view_of(at, true));
      world next = at;
      next.set.epoch = set_epoch(3);
      next.set.members = {disk(0), disk(1), disk(joiner)};
      next.set.next.clear();
      if (decision.step == set_step::propose) {
        REQUIRE(decision.proposed.members == next.set.members);
      }
      next.steps += " single";
      this->offer(next);
    }
  }

  static set_view view_of(const world& at, bool copied) {
    set_view view;
    view.self = copied ? disk(0) : disk(3);
    view.set = at.set;
    view.disks = {{disk(0), true, false, false, set_epoch(0)},
                  {disk(1), true, false, false, set_epoch(0)},
                  {disk(3), true, false, false, copied ? at.set.epoch : set_epoch(0)}};
    return view;
  }

  world_rules rules;
  std::set<std::string> seen;
  std::deque<world> open;
};

}  // namespace

TEST_CASE("the budget holds for concurrent reservations in every order of messages") {
  const auto [reservations, replace] =
      GENERATE(Catch::Generators::table<int, replacement>({{2, replacement::none},
                                                           {3, replacement::none},
                                                           {2, replacement::lost},
                                                           {2, replacement::suspected}}));
  search all({reservations, replace, left_out::nothing});
  const std::string broken = all.run();
  INFO("states " << all.states() << ", steps" << broken);
  CHECK(broken.empty());
  CHECK(all.states() > 100);
}

TEST_CASE("each rule is needed: without it the search finds a broken budget") {
  const auto [reservations, replace, missing] =
      GENERATE(Catch::Generators::table<int, replacement, left_out>({
          {3, replacement::none, left_out::second_round},
          {2, replacement::suspected, left_out::fence},
          {2, replacement::lost, left_out::read_quorum},
          {2, replacement::lost, left_out::majority_of_both_sets},
          {2, replacement::lost, left_out::new_identity_for_an_empty_disk},
      }));
  search all({reservations, replace, missing});
  const std::string broken = all.run();
  INFO("rule " << static_cast<int>(missing) << ", states " << all.states());
  CHECK_FALSE(broken.empty());
}
