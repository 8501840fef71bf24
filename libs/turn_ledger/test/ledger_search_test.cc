// Exhaustive search over the production decision code: reservations of one program with messages in
// every order, while a disk is replaced. The budget must not be exceeded in any state. With one
// rule left out, the search must find a state in which it is exceeded.
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

/// The rule that the search leaves out.
enum class omitted_rule {
  nothing,
  second_round,
  fence,
  read_quorum,
  majority_of_both_sets,
  new_identity_for_empty_disk,
};

/// What happens to the third disk.
enum class replacement {
  none,
  /// Its contents are lost, and an empty disk replaces it.
  lost,
  /// It is suspected and replaced, but is alive and still accepts requests.
  suspected,
};

struct search_options {
  int reservations = 2;
  replacement replace = replacement::none;
  omitted_rule omitted = omitted_rule::nothing;
};

constexpr int disk_count = 4;
const token_count tokens_per_turn{10};

disk_id disk(int number) { return disk_id(std::string(1, static_cast<char>('A' + number))); }
request_id request(int number) { return request_id("r" + std::to_string(number)); }

/// One front host's attempt to reserve.
struct front {
  explicit front(const ledger_set& at, int number, token_count budget)
      : set(at),
        check(at, {request(number), tokens_per_turn, token_count(0), reservation_phase::open},
              budget) {}

  ledger_set set;
  reservation_check check;
  std::array<bool, disk_count> appended{};
  std::array<bool, disk_count> collected{};
  bool decided = false;
  bool admitted = false;
};

struct model_state {
  std::array<ledger_replica, disk_count> disks;
  std::vector<front> fronts;
  ledger_set set;
  std::array<bool, disk_count> copied_from{};
  /// The third disk has been lost or is suspected.
  bool suspected = false;
  std::string steps;
};

ledger_record record_of(int number) {
  ledger_record record;
  record.program = program_id("p");
  record.state = {request(number), tokens_per_turn, token_count(0), reservation_phase::open};
  record.expires_at = wall_ms(1);
  return record;
}

class search {
public:
  explicit search(search_options chosen) : options(chosen) {}

  /// Returns the steps to a state in which the budget is exceeded; empty if there is none.
  std::string run() {
    model_state start;
    start.set = {set_epoch(1), {disk(0), disk(1), disk(2)}, {}};
    for (int number = 0; number < this->options.reservations; ++number) {
      start.fronts.emplace_back(start.set, number, this->budget());
    }
    this->enqueue(start);
    while (!this->queue.empty()) {
      const model_state next = std::move(this->queue.front());
      this->queue.pop_front();
      if (this->exceeds_budget(next)) {
        return next.steps;
      }
      this->expand(next);
    }
    return "";
  }
  [[nodiscard]] std::size_t states() const { return this->visited.size(); }

private:
  [[nodiscard]] token_count budget() const {
    return token_count(tokens_per_turn.get() * (this->options.reservations - 1));
  }

  [[nodiscard]] bool exceeds_budget(const model_state& at) const {
    token_count sum;
    for (const front& item : at.fronts) {
      sum = sum + (item.admitted ? tokens_per_turn : token_count(0));
    }
    return sum > this->budget();
  }

  static std::string key_of(const model_state& at) {
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

  void enqueue(const model_state& at) {
    if (this->visited.insert(key_of(at)).second) {
      this->queue.push_back(at);
    }
  }

  void decide(front& item) const {
    if (item.decided) {
      return;
    }
    budget_outcome outcome = item.check.outcome();
    if (this->options.omitted == omitted_rule::second_round && item.check.appended()) {
      outcome =
          item.check.charged() <= this->budget() ? budget_outcome::fits : budget_outcome::exceeds;
    }
    item.decided = outcome != budget_outcome::undecided;
    item.admitted = outcome == budget_outcome::fits;
  }

  program_response answer_of(const model_state& at, std::size_t index, const front& item) const {
    program_response answer;
    answer.disk = disk(static_cast<int>(index));
    answer.stale =
        !at.disks[index].accepts(item.set.epoch) && this->options.omitted != omitted_rule::fence;
    answer.reservations = at.disks[index].reservations_of(program_id("p"));
    return answer;
  }

  void expand(const model_state& at) {
    for (std::size_t number = 0; number < at.fronts.size(); ++number) {
      if (at.fronts[number].decided) {
        continue;
      }
      this->try_learn_set(at, number);
      for (std::size_t index = 0; index < disk_count; ++index) {
        this->try_append(at, number, index);
        this->try_collect(at, number, index);
      }
    }
    if (this->options.replace != replacement::none) {
      this->expand_replacement(at);
    }
  }

  /// A front host that has not sent anything may learn of the newest set.
  void try_learn_set(const model_state& at, std::size_t number) {
    const front& item = at.fronts[number];
    const bool begun = item.appended != std::array<bool, disk_count>{};
    if (begun || item.set.epoch == at.set.epoch) {
      return;
    }
    model_state next = at;
    next.fronts[number] = front(next.set, static_cast<int>(number), this->budget());
    next.steps += " learn" + std::to_string(number);
    this->enqueue(next);
  }

  /// True if the omitted rule is that an emptied disk gets a new identity. The disk then returns
  /// under its old identity and so never joins by copying.
  [[nodiscard]] bool keeps_identity() const {
    return this->options.omitted == omitted_rule::new_identity_for_empty_disk;
  }

  static bool is_member(const ledger_set& set, std::size_t index) {
    const auto all = set.all();
    return std::find(all.begin(), all.end(), disk(static_cast<int>(index))) != all.end();
  }

  /// The third member of the first set does not respond once it has been lost.
  [[nodiscard]] bool is_lost(const model_state& at, std::size_t index) const {
    constexpr std::size_t lost_disk = 2;
    return this->options.replace == replacement::lost && at.suspected && index == lost_disk &&
           !this->keeps_identity();
  }

  void restart(model_state& next, std::size_t number, std::size_t index) const {
    // The refusal contains the newest set; the attempt starts again with it.
    next.fronts[number] = front(next.set, static_cast<int>(number), this->budget());
    next.steps += " stale" + std::to_string(number) + disk(static_cast<int>(index)).get();
  }

  void try_append(const model_state& at, std::size_t number, std::size_t index) {
    const front& item = at.fronts[number];
    if (item.appended[index] || !is_member(item.set, index) || this->is_lost(at, index)) {
      return;
    }
    model_state next = at;
    const program_response before = this->answer_of(next, index, item);
    if (before.stale) {
      this->restart(next, number, index);
      this->enqueue(next);
      return;
    }
    next.disks[index].apply(record_of(static_cast<int>(number)));
    front& changed = next.fronts[number];
    changed.appended[index] = true;
    changed.check.on_append(this->answer_of(next, index, changed));
    this->decide(changed);
    next.steps += " append" + std::to_string(number) + disk(static_cast<int>(index)).get();
    this->enqueue(next);
  }

  void try_collect(const model_state& at, std::size_t number, std::size_t index) {
    const front& item = at.fronts[number];
    if (!item.check.appended() || item.collected[index] || !is_member(item.set, index) ||
        this->is_lost(at, index)) {
      return;
    }
    model_state next = at;
    const program_response answer = this->answer_of(next, index, item);
    if (answer.stale) {
      this->restart(next, number, index);
      this->enqueue(next);
      return;
    }
    front& changed = next.fronts[number];
    changed.collected[index] = true;
    changed.check.on_collect(answer);
    this->decide(changed);
    next.steps += " collect" + std::to_string(number) + disk(static_cast<int>(index)).get();
    this->enqueue(next);
  }

  /// Disk C is lost with its contents and D replaces it, in the steps that `decide_set_change`
  /// prescribes.
  void expand_replacement(const model_state& at) {
    constexpr std::size_t lost = 2;
    constexpr std::size_t joiner = 3;
    if (!at.suspected) {
      model_state next = at;
      next.suspected = true;
      if (this->options.replace == replacement::lost) {
        next.disks[lost] = ledger_replica();
      }
      next.steps += " loseC";
      this->enqueue(next);
      return;
    }
    if (this->keeps_identity()) {
      return;
    }
    if (at.set.epoch == set_epoch(1)) {
      const set_decision decision = decide_set_change(this->view_of(at, false));
      REQUIRE(decision.step == set_step::propose);
      model_state next = at;
      next.set = decision.proposed;
      if (this->options.omitted == omitted_rule::majority_of_both_sets) {
        next.set.members = next.set.next;
      }
      next.steps += " joint";
      this->enqueue(next);
      return;
    }
    if (at.set.epoch != set_epoch(2)) {
      return;
    }
    for (std::size_t index = 0; index < lost; ++index) {
      if (at.copied_from[index]) {
        continue;
      }
      model_state next = at;
      next.disks[index].raise_fence(set_epoch(2));
      for (const ledger_record& record :
           next.disks[index].page_after(copy_request{}, 1'000'000).records) {
        next.disks[joiner].apply(record);
      }
      next.copied_from[index] = true;
      next.steps += " copy" + disk(static_cast<int>(index)).get();
      this->enqueue(next);
    }
    const auto sources =
        static_cast<std::size_t>(std::count(at.copied_from.begin(), at.copied_from.end(), true));
    const std::size_t needed = this->options.omitted == omitted_rule::read_quorum
                                   ? 0
                                   : read_quorum({disk(0), disk(1), disk(2)});
    if (sources >= needed) {
      const set_decision decision = decide_set_change(this->view_of(at, true));
      model_state next = at;
      next.set.epoch = set_epoch(3);
      next.set.members = {disk(0), disk(1), disk(joiner)};
      next.set.next.clear();
      if (decision.step == set_step::propose) {
        REQUIRE(decision.proposed.members == next.set.members);
      }
      next.steps += " single";
      this->enqueue(next);
    }
  }

  static set_view view_of(const model_state& at, bool copied) {
    set_view view;
    view.self = copied ? disk(0) : disk(3);
    view.set = at.set;
    view.disks = {{disk(0), true, false, false, set_epoch(0)},
                  {disk(1), true, false, false, set_epoch(0)},
                  {disk(3), true, false, false, copied ? at.set.epoch : set_epoch(0)}};
    return view;
  }

  search_options options;
  std::set<std::string> visited;
  std::deque<model_state> queue;
};

}  // namespace

TEST_CASE("concurrent reservations do not exceed the budget in any order of messages") {
  const auto [reservations, replace] =
      GENERATE(Catch::Generators::table<int, replacement>({{2, replacement::none},
                                                           {3, replacement::none},
                                                           {2, replacement::lost},
                                                           {2, replacement::suspected}}));
  search all({reservations, replace, omitted_rule::nothing});
  const std::string broken = all.run();
  INFO("states " << all.states() << ", steps" << broken);
  CHECK(broken.empty());
  CHECK(all.states() > 100);
}

TEST_CASE("leaving out any rule of the protocol lets reservations exceed the budget") {
  const auto [reservations, replace, omitted] =
      GENERATE(Catch::Generators::table<int, replacement, omitted_rule>({
          {3, replacement::none, omitted_rule::second_round},
          {2, replacement::suspected, omitted_rule::fence},
          {2, replacement::lost, omitted_rule::read_quorum},
          {2, replacement::lost, omitted_rule::majority_of_both_sets},
          {2, replacement::lost, omitted_rule::new_identity_for_empty_disk},
      }));
  search all({reservations, replace, omitted});
  const std::string broken = all.run();
  INFO("rule " << static_cast<int>(omitted) << ", states " << all.states());
  CHECK_FALSE(broken.empty());
}
