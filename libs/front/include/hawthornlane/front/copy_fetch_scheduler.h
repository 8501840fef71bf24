// Which host this host asks for a whole copy of what it lacks. No I/O or clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/front/copy_messages.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// Takes each new state once: of each kind one copy is under way at a time, and another
/// host is asked only when the one before has refused or failed. Without that bound each
/// host asked every host ahead of it: 585 copies for 23 hosts and one change of 700 KB,
/// 34 MB waiting before one link of 30 Mbit/s (configuration_spread_test).
class copy_fetch_scheduler {
public:
  /// A host that knows more is asked only when it still knows more after this long:
  /// mostly the store's own news are just on their way.
  static constexpr duration ask_after = std::chrono::milliseconds(120);
  /// Before a host that gives enough copies already is asked again; twice as long after
  /// each further refusal, up to `longest_busy_pause`. 60 hosts that all ask one host each
  /// 40 ms would bring it 1,500 questions a second, about as many as an eighth of a core
  /// can answer. Both grow with the hosts from `crowded_hosts` on, since one that reads the
  /// store is asked by all of them. Were they to grow from 60 hosts on, hosts that are cut off
  /// from a third of the others would wait too long for one that reaches them.
  static constexpr duration busy_pause = std::chrono::milliseconds(60);
  static constexpr duration longest_busy_pause = std::chrono::milliseconds(240);
  static constexpr std::size_t crowded_hosts = 120;
  /// Between a refusal and the next question, whoever is asked.
  static constexpr duration question_pause = std::chrono::milliseconds(20);
  /// Before a host that did not answer is asked again, others being asked meanwhile; four
  /// times as long after each further failure, up to `longest_failed_pause`. A question to
  /// a host that is cut off costs a second: when it was due again at each second choice, 60
  /// hosts of which a fifth of all pairs was cut took 3.1 to 4.2 s for one change.
  static constexpr duration failed_pause = std::chrono::milliseconds(500);
  static constexpr duration longest_failed_pause = std::chrono::seconds(2);

  /// Whether that host has answered this one lately.
  using reaches_hook = std::function<bool(const host_id& other)>;

  explicit copy_fetch_scheduler(
      host_id own, reaches_hook answers = [](const host_id&) { return true; })
      : self(std::move(own)), reaches(std::move(answers)) {}

  /// How many hosts may ask the same one, this one included.
  void count_hosts(std::size_t count) { this->hosts = count; }
  /// A host told whether it is ahead in one kind. `prompt`: what it has is news that
  /// nobody else may tell.
  void heard(copy_kind kind, const host_id& from, bool ahead, bool prompt, timestamp now);
  /// The host to ask now, which then counts as asked. `urgent`: this host knows too
  /// little to serve, so that nothing is waited for. A host that does not answer this one is
  /// asked only when no other is ahead: it may be named by one that reaches it, or be heard
  /// and not hear, and each question to it takes as long as a lost copy.
  std::optional<host_id> next(copy_kind kind, bool urgent, timestamp now);

  /// The host asked has given its copy.
  void taken(copy_kind kind);
  /// This host's own knowledge has changed: who is ahead has to be heard again.
  void renew(copy_kind kind);
  /// It gives enough copies already, and named hosts that have taken theirs.
  void busy(copy_kind kind, const std::vector<host_id>& holders, timestamp now);
  /// It did not answer, or not with a copy.
  void failed(copy_kind kind, timestamp now);
  [[nodiscard]] const host_id& owner() const { return this->self; }
  /// That host is gone.
  void forget(const host_id& gone);

private:
  struct source {
    timestamp ahead_since{};
    bool prompt = false;
  };
  /// A host that has refused or failed; kept until it gives a copy.
  struct rest {
    timestamp until{};
    /// Refusals in a row.
    int refusals = 0;
    duration failed_for = failed_pause;
  };
  struct intake {
    std::map<host_id, source> ahead;
    std::map<host_id, rest> resting;
    /// Invariant: at most one host is asked, and it counts as asked until one of
    /// `taken`, `busy` and `failed`.
    std::optional<host_id> asked;
    /// So that each question goes to another of the hosts that are ahead.
    std::uint64_t questions = 0;
    timestamp quiet_until{};
  };

  /// Before a host that has refused so often in a row is asked again.
  [[nodiscard]] duration pause_after(int refusals) const;

  host_id self;
  reaches_hook reaches;
  std::size_t hosts = 1;
  per_copy_kind<intake> intakes;
};

}  // namespace hawthornlane::front
