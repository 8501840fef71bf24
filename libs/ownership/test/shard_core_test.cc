// Tests of a shard's owner and replicas together, with one fault at a time.
#include "hawthornlane/ownership/shard_core.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

using namespace hawthornlane;

namespace {

host_incarnation host(std::size_t number) {
  return {host_id("host-" + std::to_string(number)), incarnation(number + 1)};
}

const program_id program = make_program_id(shard_id(1), 1);

/// Three hosts whose messages are delivered immediately, unless a host is cut off.
class three_hosts {
public:
  three_hosts() {
    for (std::size_t at = 0; at < 3; ++at) {
      this->cores.emplace_back(shard_id(1), host(at));
    }
    this->claim(0, {host(1), host(2)});
    program_opened opened;
    opened.program = program;
    opened.account = client_account("north");
    opened.limits = {token_count(1000), 10, 10, 1'000'000};
    this->carry_out(0, this->cores[0].open_program(call_id(1), opened, 11, this->now));
  }

  void carry_out(std::size_t at, const actions& todo) {
    for (const action& item : todo) {
      if (const auto* message = std::get_if<send_message>(&item)) {
        this->deliver(at, *message);
      } else if (const auto* proposal = std::get_if<propose_assignment>(&item)) {
        this->write_map(at, *proposal);
      } else if (const auto* order = std::get_if<dispatch_call>(&item)) {
        this->dispatched.push_back(*order);
      } else if (const auto* answer = std::get_if<answer_call>(&item)) {
        this->answers[answer->call] = answer->answer;
      }
    }
  }

  void claim(std::size_t at, const std::vector<host_incarnation>& replicas) {
    this->cores[at].observe_assignment(this->map, this->now);
    this->carry_out(at, this->cores[at].claim(replicas, 100 + at, this->now));
  }

  call_request request(std::uint64_t call, const ticket& presented) const {
    call_request new_request;
    new_request.call = call_id(call);
    new_request.program = program;
    new_request.account = client_account("north");
    new_request.presented = presented;
    new_request.reserved = token_count(100);
    new_request.repeatable = false;
    return new_request;
  }

  void begin(std::size_t at, std::uint64_t call, const ticket& presented) {
    this->carry_out(
        at, this->cores[at].begin_call(this->request(call, presented), 500 + call, this->now));
  }

  void finish(std::size_t at, std::uint64_t call) {
    call_result result;
    result.call = call_id(call);
    result.request = "q";
    result.answer = "a";
    result.used = token_count(40);
    this->carry_out(at, this->cores[at].finish_call(result, 900 + call, this->now));
  }

  void pass(duration time) {
    const timestamp until = this->now + time;
    while (this->now < until) {
      this->now += std::chrono::milliseconds(100);
      for (std::size_t at = 0; at < this->cores.size(); ++at) {
        if (!this->cut_off.contains(at)) {
          this->carry_out(at, this->cores[at].tick(this->now));
        }
      }
    }
  }

  ticket first_ticket() const { return *this->answers.at(call_id(1)).next; }

  std::vector<shard_core> cores;
  assignment map;
  timestamp now{};
  std::set<std::size_t> cut_off;
  bool lose_map_answer = false;
  std::vector<dispatch_call> dispatched;
  std::map<call_id, call_answer> answers;

private:
  void deliver(std::size_t from, const send_message& message) {
    const std::size_t to = message.to.start.get() - 1;
    if (this->cut_off.contains(from) || this->cut_off.contains(to)) {
      return;
    }
    this->carry_out(to, this->cores[to].receive(host(from), message.message, this->now));
  }

  void write_map(std::size_t at, const propose_assignment& proposal) {
    const bool applies = this->map == proposal.expected;
    if (applies) {
      this->map = proposal.desired;
    }
    const auto outcome = this->lose_map_answer ? proposal_outcome::unknown
                         : applies             ? proposal_outcome::applied
                                               : proposal_outcome::rejected;
    this->carry_out(
        at, this->cores[at].proposal_ended(
                proposal.expected, outcome,
                this->lose_map_answer ? std::nullopt : std::optional(this->map), this->now));
  }
};

}  // namespace

TEST_CASE("a call is dispatched once a replica holds its intent, and all hosts store its result") {
  three_hosts hosts;
  hosts.begin(0, 2, hosts.first_ticket());
  REQUIRE(hosts.dispatched.size() == 1);
  CHECK(hosts.cores[1].find_program(program)->open_intent.has_value());
  hosts.finish(0, 2);
  const call_answer& answer = hosts.answers.at(call_id(2));
  CHECK_FALSE(answer.error.has_value());
  CHECK(answer.copies == 3);
  CHECK(answer.next->turn == turn_number(2));
}

TEST_CASE("a repeated ticket gets the stored answer and dispatches nothing") {
  three_hosts hosts;
  const ticket first = hosts.first_ticket();
  hosts.begin(0, 2, first);
  hosts.finish(0, 2);
  hosts.begin(0, 3, first);
  CHECK(hosts.dispatched.size() == 1);
  CHECK(hosts.answers.at(call_id(3)).replayed);
  CHECK(hosts.answers.at(call_id(3)).turn->answer == "a");
}

// An owner without a replica can't know whether it is still the owner. It must not dispatch, and
// the ticket stays valid.
TEST_CASE("an owner that reaches no replica dispatches nothing and leaves the ticket valid") {
  three_hosts hosts;
  hosts.cut_off = {1, 2};
  hosts.begin(0, 2, hosts.first_ticket());
  hosts.pass(std::chrono::seconds(3));
  CHECK(hosts.dispatched.empty());
  CHECK(hosts.answers.at(call_id(2)).error == error_kind::not_ready);
  hosts.cut_off.clear();
  hosts.pass(std::chrono::seconds(1));
  hosts.begin(0, 3, hosts.first_ticket());
  CHECK(hosts.dispatched.size() == 1);
}

// The owner is lost before the intent is logged, after the intent, or after the result. The next
// owner answers not_run, may_have_run or the stored answer, and dispatches nothing.
TEST_CASE("after the loss of the owner, the next one answers correctly for its tickets") {
  enum class killed : std::uint8_t { before_intent, after_intent, after_result };
  struct expectation {
    killed when;
    std::optional<error_kind> expected_error;
  };
  const auto row = GENERATE(values<expectation>({{killed::before_intent, error_kind::not_run},
                                                 {killed::after_intent, error_kind::may_have_run},
                                                 {killed::after_result, std::nullopt}}));
  three_hosts hosts;
  const ticket first = hosts.first_ticket();
  if (row.when != killed::before_intent) {
    hosts.begin(0, 2, first);
  }
  if (row.when == killed::after_result) {
    hosts.finish(0, 2);
  }
  hosts.cut_off = {0};
  hosts.claim(1, {host(2)});
  REQUIRE(hosts.cores[1].serving());
  CHECK(hosts.cores[1].complete());
  const std::size_t before = hosts.dispatched.size();
  hosts.begin(1, 3, first);
  CHECK(hosts.dispatched.size() == before);
  CHECK(hosts.answers.at(call_id(3)).error == row.expected_error);
  // The program continues with the new ticket.
  hosts.begin(1, 4, *hosts.answers.at(call_id(3)).next);
  CHECK(hosts.dispatched.size() == before + 1);
}

// A takeover happens while a call runs. Its result reaches the former owner only.
TEST_CASE("a former owner's late result is stored by the new one, which issues the next ticket") {
  three_hosts hosts;
  hosts.begin(0, 2, hosts.first_ticket());
  hosts.claim(1, {host(2), host(0)});
  REQUIRE_FALSE(hosts.cores[0].serving());
  hosts.finish(0, 2);
  const call_answer& answer = hosts.answers.at(call_id(2));
  CHECK_FALSE(answer.error.has_value());
  REQUIRE(answer.next.has_value());
  CHECK(answer.next->issued_in == epoch(2));
  hosts.begin(1, 3, *answer.next);
  CHECK(hosts.dispatched.size() == 2);
}

TEST_CASE("an owner that was paused during a takeover does not send afterwards") {
  three_hosts hosts;
  hosts.begin(0, 2, hosts.first_ticket());
  hosts.claim(1, {host(2), host(0)});
  actions out;
  CHECK_FALSE(hosts.cores[0].may_send(call_id(2), hosts.now, out));
}

// The pause is longer than the time that a new owner waits for sends of the former one.
TEST_CASE("an owner that was paused before a send asks the replicas for a new confirmation") {
  three_hosts hosts;
  hosts.begin(0, 2, hosts.first_ticket());
  hosts.now += std::chrono::seconds(2);
  actions out;
  CHECK_FALSE(hosts.cores[0].may_send(call_id(2), hosts.now, out));
  hosts.carry_out(0, out);
  REQUIRE(hosts.dispatched.size() == 2);
  actions more;
  CHECK(hosts.cores[0].may_send(call_id(2), hosts.now, more));
}

TEST_CASE("a claim whose answer was lost is recognised when the map is read back") {
  three_hosts hosts;
  hosts.lose_map_answer = true;
  hosts.claim(1, {host(2), host(0)});
  CHECK_FALSE(hosts.cores[1].serving());
  hosts.carry_out(1, hosts.cores[1].observe_assignment(hosts.map, hosts.now));
  CHECK(hosts.cores[1].serving());
  CHECK(hosts.map.at == epoch(2));
}

TEST_CASE("of two hosts that claim at the same time, one wins and the other stays a follower") {
  three_hosts hosts;
  hosts.cut_off = {0};
  hosts.cores[2].observe_assignment(hosts.map, hosts.now);
  const actions late = hosts.cores[2].claim({host(1)}, 7, hosts.now);
  hosts.claim(1, {host(2)});
  hosts.carry_out(2, late);
  CHECK(hosts.cores[1].serving());
  CHECK(hosts.cores[2].role() == shard_core::role_kind::follower);
}

// One replica is missing at the takeover, so the log may be incomplete and the answer for an old
// ticket is may_have_run.
TEST_CASE("a shard taken over without a replica becomes complete when that replica returns") {
  three_hosts hosts;
  const ticket first = hosts.first_ticket();
  hosts.cut_off = {0, 2};
  hosts.claim(1, {host(2), host(0)});
  hosts.pass(std::chrono::seconds(3));
  REQUIRE(hosts.cores[1].serving());
  CHECK_FALSE(hosts.cores[1].complete());
  hosts.begin(1, 2, first);
  CHECK(hosts.answers.at(call_id(2)).error == error_kind::may_have_run);
  hosts.cut_off = {0};
  hosts.pass(std::chrono::seconds(1));
  CHECK(hosts.cores[1].complete());
}

TEST_CASE("a replica is not removed while no other replica holds the newest record") {
  three_hosts hosts;
  hosts.cut_off = {2};
  hosts.begin(0, 2, hosts.first_ticket());
  REQUIRE(hosts.dispatched.size() == 1);
  CHECK(hosts.cores[0].change_replicas({host(2)}, 77, hosts.now).empty());
  CHECK_FALSE(hosts.cores[0].change_replicas({host(1)}, 78, hosts.now).empty());
}

TEST_CASE("a successor that lacks a change of the replica set takes over on the second request") {
  three_hosts hosts;
  hosts.cores[1].observe_assignment(hosts.map, hosts.now);
  hosts.carry_out(0, hosts.cores[0].change_replicas({host(1)}, 77, hosts.now));
  hosts.carry_out(0, hosts.cores[0].hand_over(host(1)));
  CHECK(hosts.cores[0].serving());
  hosts.carry_out(0, hosts.cores[0].hand_over(host(1)));
  CHECK(hosts.cores[1].serving());
  CHECK(hosts.cores[1].complete());
}

TEST_CASE("a hand-over passes on the shard with its whole log") {
  three_hosts hosts;
  hosts.begin(0, 2, hosts.first_ticket());
  hosts.finish(0, 2);
  hosts.cores[2].observe_assignment(hosts.map, hosts.now);
  hosts.carry_out(0, hosts.cores[0].hand_over(host(2)));
  REQUIRE(hosts.cores[2].serving());
  CHECK(hosts.cores[2].complete());
  CHECK_FALSE(hosts.cores[0].serving());
  CHECK(hosts.cores[2].find_program(program)->turns.size() == 1);
}

TEST_CASE("a ticket of another account reveals nothing and dispatches nothing") {
  three_hosts hosts;
  call_request new_request = hosts.request(2, hosts.first_ticket());
  new_request.account = client_account("south");
  hosts.carry_out(0, hosts.cores[0].begin_call(new_request, 1, hosts.now));
  CHECK(hosts.dispatched.empty());
  CHECK(hosts.answers.at(call_id(2)).error == error_kind::program_unknown);
  CHECK_FALSE(hosts.answers.at(call_id(2)).next.has_value());
}

TEST_CASE("a call is refused when the caller's digest of the history differs") {
  three_hosts hosts;
  hosts.begin(0, 2, hosts.first_ticket());
  hosts.finish(0, 2);
  call_request new_request = hosts.request(3, *hosts.answers.at(call_id(2)).next);
  new_request.known_digest = 4711;
  hosts.carry_out(0, hosts.cores[0].begin_call(new_request, 1, hosts.now));
  CHECK(hosts.answers.at(call_id(3)).error == error_kind::history_incomplete);
}

TEST_CASE("a call above the budget is refused with the tokens left and a new ticket") {
  three_hosts hosts;
  call_request new_request = hosts.request(2, hosts.first_ticket());
  new_request.reserved = token_count(1001);
  hosts.carry_out(0, hosts.cores[0].begin_call(new_request, 1, hosts.now));
  CHECK(hosts.answers.at(call_id(2)).error == error_kind::budget_exhausted);
  CHECK(hosts.answers.at(call_id(2)).budget_left == token_count(1000));
  CHECK(hosts.answers.at(call_id(2)).next.has_value());
}
