// Random histories of disk hosts that fail, retire and are replaced, played on the production code
// that changes the ledger set. Whenever the deployment has to bear the loss of a disk, the set must
// be able to go on after the loss of any of its members.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "hawthornlane/turn_ledger/set_change.h"

using namespace hawthornlane;

namespace {

/// Times in steps of 0.1 s, as a disk host uses them.
constexpr int failure_timeout = 25;
constexpr int failure_timeout_of_two = 10;
constexpr int abandonment_timeout = 35;
constexpr int max_answer_age = 8;
constexpr int time_per_candidate = 10;
constexpr int copy_time = 6;
/// A machine counts as lost until it has run for so long (`catch-up-s`).
constexpr int catch_up_time = 44;

struct machine {
  bool up = true;
  /// Removed with its disk, for good.
  bool gone = false;
  bool retiring = false;
  int retiring_since = 0;
  int time_limit = 0;
  int silent_since = 0;
  int back_at = 0;
  int down_until = 0;
  /// Its planned successor has been started; this machine is removed then.
  int removed_at = 0;
  int copying = 0;
  set_epoch copied;
};

class history {
public:
  explicit history(unsigned seed) : random(seed) {
    for (int number = 0; number < 3; ++number) {
      this->add_machine();
    }
  }

  std::string play(int steps) {
    for (; this->now < steps; ++this->now) {
      this->disturb();
      for (auto& [name, host] : this->machines) {
        this->run(name, host);
      }
      this->complete_retirements();
      const std::string broken = this->check();
      if (!broken.empty()) {
        return broken;
      }
    }
    return "";
  }
  int checks = 0;
  int retirements = 0;
  int replacements = 0;
  int planned_replacements = 0;

private:
  int pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(this->random); }

  disk_id add_machine() {
    const disk_id name("d" + std::to_string(10 + this->made++));
    this->machines[name].back_at = this->now;
    this->machines[name].silent_since = this->now;
    return name;
  }

  [[nodiscard]] int count_present() const {
    return static_cast<int>(std::count_if(this->machines.begin(), this->machines.end(),
                                          [](const auto& item) { return !item.second.gone; }));
  }
  /// No machine counts as lost, so that the loss of one has to be borne.
  [[nodiscard]] bool is_whole() const {
    const bool all_back =
        std::all_of(this->machines.begin(), this->machines.end(), [this](const auto& item) {
          const machine& host = item.second;
          return host.gone || (host.up && this->now - host.back_at >= catch_up_time);
        });
    return all_back && this->now >= this->whole_from;
  }

  void disturb() {
    for (auto& [name, host] : this->machines) {
      if (!host.gone && !host.up && this->now >= host.down_until) {
        host.up = true;
        host.back_at = this->now;
      }
    }
    if (this->pending_machine > 0 && this->now >= this->pending_machine) {
      this->pending_machine = 0;
      this->add_machine();
      this->whole_from = this->now + catch_up_time;
    }
    for (auto& [name, host] : this->machines) {
      if (!host.gone && host.removed_at > 0 && this->now >= host.removed_at) {
        host.gone = true;
        host.up = false;
        host.silent_since = this->now;
        this->whole_from = std::max(this->whole_from, this->now + catch_up_time);
      }
    }
    const bool may_lose =
        this->is_whole() && this->pending_machine == 0 && this->count_present() >= 2;
    constexpr int mean_gap = 30;
    if (this->pick(mean_gap) != 0) {
      return;
    }
    const int what = this->pick(5);
    auto at = this->machines.begin();
    std::advance(at, this->pick(static_cast<int>(this->machines.size())));
    machine& host = at->second;
    if (host.gone) {
      return;
    }
    if (what == 0 && may_lose) {
      host.up = false;
      host.silent_since = this->now;
      host.down_until = this->now + 2 + this->pick(60);
    } else if (what == 1 && may_lose) {
      // Gone for good; an empty machine comes in its place.
      host.gone = true;
      host.up = false;
      host.silent_since = this->now;
      this->pending_machine = this->now + 1 + this->pick(40);
      this->whole_from = this->pending_machine + catch_up_time;
      ++this->replacements;
    } else if (what == 2 && !host.retiring && this->count_present() > 2) {
      host.retiring = true;
      host.retiring_since = this->now;
      host.time_limit = 60 + this->pick(40);
      ++this->retirements;
    } else if (what == 3 && this->count_present() < 5 && this->pending_machine == 0) {
      this->add_machine();
    } else if (what == 4 && may_lose && !host.retiring && host.removed_at == 0 &&
               this->count_present() < 5) {
      // The successor first, then the planned stop of the machine, which does not return.
      host.removed_at = this->now + catch_up_time;
      this->add_machine();
      ++this->planned_replacements;
    }
  }

  [[nodiscard]] set_view view_of(const disk_id& self) const {
    set_view view;
    view.self = self;
    view.set = this->set;
    const bool of_two = this->set && this->set->members.size() == 2;
    const int timeout = of_two ? failure_timeout_of_two : failure_timeout;
    for (const auto& [name, host] : this->machines) {
      const int silence = host.up ? 0 : this->now - host.silent_since;
      const bool due = host.retiring && this->now - host.retiring_since >= host.time_limit / 2;
      view.disks.push_back({name, silence < timeout, host.retiring, due, host.copied,
                            silence < max_answer_age, silence >= abandonment_timeout});
    }
    view.skipped_candidates =
        static_cast<std::size_t>(std::max(0, this->now - this->changed_at) / time_per_candidate);
    return view;
  }

  void run(const disk_id& name, machine& host) {
    if (!host.up || host.gone) {
      return;
    }
    const set_decision decision = decide_set_change(this->view_of(name));
    if (decision.step == set_step::propose) {
      this->set = decision.proposed;
      this->changed_at = this->now;
    }
    if (decision.step != set_step::copy) {
      host.copying = 0;
      return;
    }
    const auto sources =
        std::count_if(this->set->members.begin(), this->set->members.end(),
                      [this](const disk_id& disk) { return this->machines.at(disk).up; });
    const bool enough = static_cast<std::size_t>(sources) >= read_quorum(this->set->members);
    if (enough && ++host.copying >= copy_time) {
      host.copied = this->set->epoch;
      host.copying = 0;
    }
  }

  void complete_retirements() {
    for (auto& [name, host] : this->machines) {
      if (host.retiring && host.up && may_complete_retirement(this->view_of(name))) {
        host.gone = true;
        host.up = false;
        host.silent_since = this->now;
      }
    }
  }

  std::string check() {
    if (!this->set || this->set->joint() || !this->is_whole() || this->count_present() < 2) {
      return "";
    }
    ++this->checks;
    const std::vector<disk_id>& members = this->set->members;
    const auto up = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [this](const disk_id& disk) { return this->machines.at(disk).up; }));
    const bool bears = members.size() >= 2 && up - 1 >= read_quorum(members);
    if (bears) {
      return "";
    }
    std::string text = "the loss of a disk stops the set";
    for (const disk_id& disk : members) {
      text += " " + disk.get() + (this->machines.at(disk).up ? "" : "(gone)");
    }
    return text;
  }

  std::mt19937 random;
  int now = 0;
  int made = 0;
  std::map<disk_id, machine> machines;
  std::optional<ledger_set> set;
  int changed_at = 0;
  int pending_machine = 0;
  int whole_from = catch_up_time;
};

}  // namespace

TEST_CASE("a retirement or a replacement does not leave a set that bears no loss") {
  int checks = 0;
  int retirements = 0;
  int replacements = 0;
  int planned_replacements = 0;
  for (unsigned seed = 1; seed <= 500; ++seed) {
    INFO("seed " << seed);
    history played(seed);
    const std::string broken = played.play(600);
    CHECK(broken == "");
    checks += played.checks;
    retirements += played.retirements;
    replacements += played.replacements;
    planned_replacements += played.planned_replacements;
  }
  CHECK(checks > 10000);
  CHECK(retirements > 500);
  CHECK(replacements > 500);
  CHECK(planned_replacements > 100);
}
