// Exhaustive search over the production code that stores and finds the version that began a stream:
// servers of two versions, lost and late messages, a crash of the front host, a disk of an older
// version, and a disk that is wiped and replaced. Once the first event has left, no majority of
// disks may yield another version. With one rule left out, the search must find such an order.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/turn_ledger/ledger_replica.h"
#include "hawthornlane/turn_ledger/resumption.h"
#include "hawthornlane/turn_ledger/stream_origin.h"

using namespace hawthornlane;

namespace {

/// The rule that the search leaves out.
enum class omitted_rule {
  nothing,
  /// A first event waits if another version was stored before.
  wait_for_change,
  /// A disk counts as having stored an origin only if it says so.
  explicit_confirmation,
  /// A response of a disk host that does not store origins does not count for a reader.
  capable_readers,
  /// Origins are copied to a disk that replaces another one.
  copied_origins,
  /// A disk that has copied from a host of the older version reports no origins.
  incomplete_copies,
};

/// Whether one of the disk hosts is of the version without origins.
enum class older_disk { none, from_the_start, is_upgraded, restarts };

constexpr std::size_t disk_count = 3;
const service_name models{"models"};
const program_id program{"p"};
const request_id attempt{"a"};

disk_id disk_name(std::size_t disk) { return disk_id("d" + std::to_string(disk)); }

ledger_set all_disks() {
  ledger_set set{set_epoch(1), {}, {}};
  for (std::size_t disk = 0; disk < disk_count; ++disk) {
    set.members.push_back(disk_name(disk));
  }
  return set;
}

ledger_record record_with(const std::optional<stream_origin>& origin) {
  ledger_record record;
  record.program = program;
  record.state = {attempt, token_count(1), token_count(0), reservation_phase::open};
  record.expires_at = wall_ms(1);
  record.origin = origin;
  return record;
}

/// What the front host of the stream does.
struct attempt_plan {
  const char* what;
  /// The version of all servers when the attempt was admitted; empty: several.
  std::optional<software_version> at_admission;
  /// Versions of the servers that the attempt is sent to; only the last one writes an event.
  std::vector<software_version> servers;
};

struct message {
  stream_origin origin;
  std::size_t disk = 0;
  bool after_change = false;
  bool delivered = false;
};

struct model_state {
  std::array<ledger_replica, disk_count> disks;
  origin_writer writer;
  std::vector<message> messages;
  /// Disks that have confirmed the latest write.
  std::set<std::size_t> confirmed;
  std::optional<stream_origin> latest;
  std::size_t sent_to = 0;
  bool crashed = false;
  bool changed = false;
  /// Disks whose hosts do not report origins.
  std::set<std::size_t> older;
  std::optional<software_version> left;
  bool left_confirmed = false;
  std::string steps;
};

class origin_search {
public:
  origin_search(attempt_plan of, omitted_rule rule, older_disk kind)
      : plan(std::move(of)), omitted(rule), older(kind) {}

  /// Returns the steps to a wrong or lost version; empty if there are none.
  std::string run() {
    model_state start;
    if (this->older == older_disk::from_the_start || this->older == older_disk::is_upgraded) {
      start.older = {disk_count - 1};
    }
    if (const auto origin = start.writer.at_admission(models, this->plan.at_admission)) {
      this->send(start, *origin);
    }
    this->enqueue(std::move(start));
    while (!this->queue.empty()) {
      const model_state next = std::move(this->queue.front());
      this->queue.pop_front();
      if (this->is_violated(next)) {
        return next.steps;
      }
      this->expand(next);
    }
    return {};
  }
  [[nodiscard]] std::size_t states() const { return this->seen.size(); }

private:
  void send(model_state& state, const stream_origin& origin) {
    state.latest = origin;
    state.confirmed.clear();
    for (std::size_t disk = 0; disk < disk_count; ++disk) {
      state.messages.push_back({origin, disk, state.changed, false});
    }
  }

  void enqueue(model_state state) {
    std::string key;
    for (const message& item : state.messages) {
      key += item.delivered ? 'd' : '-';
      key += item.after_change ? 'n' : 'o';
    }
    for (const ledger_replica& disk : state.disks) {
      const auto origin = disk.origin_of(program, attempt);
      key += origin ? origin->version.get() + std::to_string(origin->write) : "none";
      key += '/';
    }
    for (const std::size_t disk : state.older) {
      key += "o" + std::to_string(disk);
    }
    for (const std::size_t disk : state.confirmed) {
      key += "c" + std::to_string(disk);
    }
    key += std::to_string(state.sent_to) + (state.crashed ? "x" : "") + (state.changed ? "s" : "") +
           (state.left ? "l" + state.left->get() : "") + (state.left_confirmed ? "k" : "");
    if (this->seen.insert(key).second) {
      this->queue.push_back(std::move(state));
    }
  }

  void expand(const model_state& from) {
    for (std::size_t number = 0; number < from.messages.size(); ++number) {
      if (from.messages[number].delivered) {
        continue;
      }
      this->deliver(from, number, false);
      if (from.messages[number].origin == from.latest && !from.crashed) {
        this->deliver(from, number, true);
      }
    }
    constexpr std::size_t upgraded = disk_count - 1;
    if (this->older == older_disk::is_upgraded && from.older.contains(upgraded) && !from.changed) {
      model_state next = from;
      next.older.erase(upgraded);
      next.steps += "the older disk host is upgraded; ";
      this->enqueue(std::move(next));
    }
    // Disks that nothing distinguishes are interchangeable, so one of them is enough.
    if (this->older == older_disk::restarts && from.older.empty()) {
      this->restart_as_older(from, 0);
    }
    if (!from.changed) {
      this->replace_disk(from, 0);
      if (this->older != older_disk::none) {
        this->replace_disk(from, this->older == older_disk::restarts ? 1 : disk_count - 1);
      }
    }
    if (from.crashed) {
      return;
    }
    model_state crashed = from;
    crashed.crashed = true;
    crashed.steps += "crash; ";
    this->enqueue(std::move(crashed));
    this->send_to_next_server(from);
    this->let_first_event_leave(from);
  }

  void deliver(const model_state& from, std::size_t number, bool answered) {
    model_state next = from;
    message& item = next.messages[number];
    item.delivered = true;
    next.steps += "disk " + std::to_string(item.disk) + " gets write " +
                  std::to_string(item.origin.write) + (answered ? "; " : ", no answer; ");
    if (item.after_change == next.changed) {
      ledger_replica& disk = next.disks[item.disk];
      const bool keeps = !next.older.contains(item.disk);
      disk.apply(record_with(keeps ? std::optional(item.origin) : std::nullopt));
      const bool confirms = disk.origin_of(program, attempt) == item.origin ||
                            this->omitted == omitted_rule::explicit_confirmation;
      if (answered && confirms && !next.crashed && next.latest == item.origin) {
        next.confirmed.insert(item.disk);
      }
      if (next.latest && next.confirmed.size() * 2 > disk_count) {
        next.writer.confirmed(*next.latest);
      }
    }
    this->enqueue(std::move(next));
  }

  /// A disk host restarts as the version without origins, which does not read them from its log.
  void restart_as_older(const model_state& from, std::size_t disk) {
    model_state next = from;
    next.older.insert(disk);
    next.steps += "disk " + std::to_string(disk) + " restarts as the older version; ";
    const bool has_record = !next.disks[disk].reservations_of(program).empty();
    next.disks[disk] = ledger_replica();
    if (has_record) {
      next.disks[disk].apply(record_with(std::nullopt));
    }
    this->enqueue(std::move(next));
  }

  /// A disk is wiped; its successor copies from the others, and only requests of the new set count.
  void replace_disk(const model_state& from, std::size_t replaced) {
    model_state next = from;
    next.steps += "disk " + std::to_string(replaced) + " is replaced; ";
    next.disks[replaced] = ledger_replica();
    for (std::size_t source = 0; source < disk_count; ++source) {
      if (source == replaced) {
        continue;
      }
      const copy_page sent = next.disks[source].page_after({}, 1000);
      // The encoding of a page leaves the origins out; they follow it.
      copy_page page = sent;
      for (ledger_record& record : page.records) {
        record.origin.reset();
      }
      if (this->omitted != omitted_rule::copied_origins) {
        add_origins(origins_of(sent), page);
      }
      for (ledger_record& record : page.records) {
        if (next.older.contains(replaced)) {
          record.origin.reset();
        }
        next.disks[replaced].apply(record);
      }
    }
    if (!next.older.empty() && this->omitted != omitted_rule::incomplete_copies) {
      next.older.insert(replaced);
    }
    next.changed = true;
    if (next.latest && !next.crashed) {
      this->send(next, *next.latest);
    }
    this->enqueue(std::move(next));
  }

  void send_to_next_server(const model_state& from) {
    if (from.left || from.sent_to == this->plan.servers.size()) {
      return;
    }
    model_state next = from;
    const software_version& version = this->plan.servers[next.sent_to];
    ++next.sent_to;
    next.steps += "sent to a server of " + version.get() + "; ";
    if (const auto origin = next.writer.at_dispatch(models, version, {})) {
      this->send(next, *origin);
    }
    this->enqueue(std::move(next));
  }

  void let_first_event_leave(const model_state& from) {
    const bool may_leave =
        from.writer.may_leave() || this->omitted == omitted_rule::wait_for_change;
    if (from.left || from.sent_to != this->plan.servers.size() || !may_leave) {
      return;
    }
    model_state next = from;
    next.left = this->plan.servers.back();
    next.left_confirmed = next.confirmed.size() * 2 > disk_count;
    next.steps += "the first event leaves; ";
    this->enqueue(std::move(next));
  }

  /// Reads the origin at each majority, with and without the third disk.
  [[nodiscard]] bool is_violated(const model_state& state) const {
    if (!state.left) {
      return false;
    }
    for (std::size_t silent = 0; silent <= disk_count; ++silent) {
      origin_check check(all_disks());
      for (std::size_t disk = 0; disk < disk_count; ++disk) {
        if (disk == silent) {
          continue;
        }
        const bool capable =
            !state.older.contains(disk) || this->omitted == omitted_rule::capable_readers;
        check.on_report(disk_name(disk), {capable, state.disks[disk].origin_of(program, attempt)});
      }
      const bool found = check.outcome() == origin_outcome::found;
      const bool wrong = found && check.origin()->version != *state.left;
      const bool lost = !found && state.left_confirmed && state.older.empty();
      if (wrong || lost) {
        return true;
      }
    }
    return false;
  }

  attempt_plan plan;
  omitted_rule omitted;
  older_disk older;
  std::set<std::string> seen;
  std::deque<model_state> queue;
};

const software_version v1{"v1"};
const software_version v2{"v2"};

std::vector<attempt_plan> all_plans() {
  return {{"one version serves", v1, {v1}},
          {"the other version begins to serve while the call is queued", v1, {v2}},
          {"several versions serve", std::nullopt, {v1}},
          {"the first server fails, the next has the other version", std::nullopt, {v1, v2}},
          {"both, and back", v1, {v2, v1}}};
}

}  // namespace

TEST_CASE("no order of events yields another version than the one that began a stream") {
  for (const attempt_plan& plan : all_plans()) {
    for (const older_disk kind : {older_disk::none, older_disk::from_the_start,
                                  older_disk::is_upgraded, older_disk::restarts}) {
      INFO(plan.what << ", older disk hosts: " << static_cast<int>(kind));
      origin_search search(plan, omitted_rule::nothing, kind);
      CHECK(search.run() == "");
      CHECK(search.states() > 10);
    }
  }
}

TEST_CASE("the search finds the wrong version that each omitted rule leads to") {
  struct row {
    const char* what;
    omitted_rule omitted;
    older_disk older;
  };
  const row rows[] = {
      {"the first event does not wait", omitted_rule::wait_for_change, older_disk::none},
      {"any answer confirms", omitted_rule::explicit_confirmation, older_disk::is_upgraded},
      {"any answer is a report", omitted_rule::capable_readers, older_disk::restarts},
      {"a copy leaves origins out", omitted_rule::copied_origins, older_disk::none},
      {"a copy from an older host counts", omitted_rule::incomplete_copies, older_disk::restarts},
  };
  for (const row& item : rows) {
    INFO(item.what);
    const std::vector<attempt_plan> plans = all_plans();
    const bool found = std::any_of(plans.begin(), plans.end(), [&item](const attempt_plan& plan) {
      return !origin_search(plan, item.omitted, item.older).run().empty();
    });
    CHECK(found);
  }
}

TEST_CASE("a resumption goes on at the version that began its stream or is refused") {
  const auto origin = [](const char* service, const char* version) {
    return stream_origin{service_name(service), software_version(version), 1, {}};
  };
  struct row {
    const char* what;
    origin_outcome found;
    std::optional<stream_origin> origin;
    bool keeps_turns;
    resumption_kind kind;
    std::optional<software_version> version;
  };
  using enum origin_outcome;
  using enum resumption_kind;
  const row rows[] = {
      {"a stored version", found, origin("models", "v1"), false, goes_on, v1},
      {"another service has the same version", found, origin("others", "v1"), false,
       service_changed, std::nullopt},
      {"nothing stored", absent, std::nullopt, false, version_unknown, std::nullopt},
      {"no majority", undecided, std::nullopt, false, version_unknown, std::nullopt},
      {"contradictory writes", absent, origin("", ""), false, version_unknown, std::nullopt},
      {"a withdrawn origin", absent, withdrawn_origin(), false, withdrawn, std::nullopt},
      {"a turn whose first part is not here", found, origin("models", "v1"), true, turn_not_whole,
       std::nullopt},
  };
  for (const row& item : rows) {
    INFO(item.what);
    const resumption_decision decision =
        decide_resumption({item.found, item.origin, models, item.keeps_turns});
    CHECK(decision.kind == item.kind);
    CHECK(decision.version == item.version);
  }
}
