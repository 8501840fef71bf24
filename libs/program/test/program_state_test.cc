// Tests of tickets, and of the effect of records on a shard's state.
#include <catch2/catch.hpp>

#include "hawthornlane/program/shard_state.h"

using namespace hawthornlane;

namespace {

const program_id program("p1-00000000000000aa");

ticket ticket_of(std::uint32_t turn, std::uint64_t at, std::uint64_t nonce) {
  return {shard_id(1), epoch(at), turn_number(turn), nonce};
}

shard_state opened(std::int64_t tokens) {
  shard_state state;
  program_opened record;
  record.program = program;
  record.limits = {token_count(tokens), 10, 10, 1000};
  REQUIRE(apply(state, record, record_index(2), record_index(1)));
  return state;
}

intent_logged intent(const ticket& for_ticket, std::int64_t reserved) {
  intent_logged record;
  record.program = program;
  record.call_ticket = for_ticket;
  record.reserved = token_count(reserved);
  return record;
}

turn_finished result(const ticket& for_ticket, std::int64_t used) {
  return {program, for_ticket, "question", "answer", token_count(used), false};
}

}  // namespace

TEST_CASE("a ticket's text is parsed back, and any other text is rejected") {
  const ticket original = ticket_of(12, 3, 0x9f04c1d2e3a4b5c6);
  CHECK(to_string(original) == "1.3.12.9f04c1d2e3a4b5c6");
  CHECK(ticket_from_string(to_string(original)) == original);
  const auto bad = GENERATE(as<std::string>{}, "", "1", "1.3.12", "1.3.12.zz", "1.3.12.9f04",
                            "-1.3.12.9f04c1d2e3a4b5c6", "1.3.12.9f04c1d2e3a4b5c6x",
                            "1.3.99999999999.9f04c1d2e3a4b5c6", "1..12.9f04c1d2e3a4b5c6");
  INFO("text '" << bad << "'");
  CHECK_FALSE(ticket_from_string(bad).has_value());
}

TEST_CASE("a program id contains its shard, and a malformed id has none") {
  CHECK(shard_of(make_program_id(shard_id(4095), 1)) == shard_id(4095));
  const auto bad = GENERATE(as<std::string>{}, "", "p", "p-1", "p7", "q7-00000000000000aa",
                            "p7-00000000000000aaa", "p7-00000000000000zz");
  INFO("text '" << bad << "'");
  CHECK_FALSE(shard_of(program_id(bad)).has_value());
}

TEST_CASE("a result replaces its reservation by the tokens used and extends the digest chain") {
  shard_state state = opened(100);
  const ticket first = ticket_of(1, 1, 5);
  REQUIRE(apply(state, intent(first, 60), record_index(3), record_index(2)));
  CHECK(state.programs.at(program).tokens_left() == token_count(40));
  REQUIRE(apply(state, result(first, 25), record_index(4), record_index(3)));
  const program_state& after = state.programs.at(program);
  CHECK(after.tokens_left() == token_count(75));
  CHECK(after.next_turn() == turn_number(2));
  CHECK(after.digest() == chain_digest(0, "question", "answer"));
}

TEST_CASE("records that contradict the state change nothing") {
  shard_state state = opened(100);
  const ticket first = ticket_of(1, 1, 5);
  SECTION("a reservation above the tokens left") {
    CHECK_FALSE(apply(state, intent(first, 101), record_index(3), record_index(2)));
  }
  SECTION("an intent for a later turn") {
    CHECK_FALSE(apply(state, intent(ticket_of(2, 1, 5), 1), record_index(3), record_index(2)));
  }
  SECTION("a second open intent") {
    REQUIRE(apply(state, intent(first, 10), record_index(3), record_index(2)));
    CHECK_FALSE(apply(state, intent(ticket_of(1, 1, 6), 10), record_index(4), record_index(2)));
  }
  SECTION("a result without an intent") {
    CHECK_FALSE(apply(state, result(first, 1), record_index(3), record_index(2)));
  }
  CHECK(state.programs.at(program).turns.empty());
}

TEST_CASE("tokens used above the reservation are not charged") {
  shard_state state = opened(100);
  const ticket first = ticket_of(1, 1, 5);
  REQUIRE(apply(state, intent(first, 60), record_index(3), record_index(2)));
  REQUIRE(apply(state, result(first, 90), record_index(4), record_index(3)));
  CHECK(state.programs.at(program).charged == token_count(60));
}

TEST_CASE("an abandoned intent is charged in full until its late result arrives") {
  shard_state state = opened(100);
  const ticket first = ticket_of(1, 1, 5);
  REQUIRE(apply(state, intent(first, 60), record_index(3), record_index(2)));
  state.programs.at(program).abandon_open_intent();
  CHECK(state.programs.at(program).tokens_left() == token_count(40));
  REQUIRE(apply(state, result(first, 25), record_index(4), record_index(3)));
  CHECK(state.programs.at(program).tokens_left() == token_count(75));
  CHECK(state.programs.at(program).abandoned.empty());
}

// Both sides of a network partition may run a call for the same turn under different tickets.
TEST_CASE("merging the other side of a network partition does not mix histories") {
  shard_state ours = opened(100);
  shard_state theirs = opened(100);
  const ticket old_ticket = ticket_of(1, 1, 5);
  REQUIRE(apply(theirs, intent(old_ticket, 30), record_index(3), record_index(2)));
  REQUIRE(apply(theirs, result(old_ticket, 20), record_index(4), record_index(2)));
  SECTION("turns that only the other side has extend the history") {
    merge_state(ours, theirs);
    CHECK(ours.programs.at(program).turns.size() == 1);
    CHECK(ours.programs.at(program).charged == token_count(20));
  }
  SECTION("turns that diverge are charged and stay available under their own tickets") {
    const ticket new_ticket = ticket_of(1, 2, 9);
    REQUIRE(apply(ours, intent(new_ticket, 30), record_index(3), record_index(2)));
    REQUIRE(apply(ours, result(new_ticket, 10), record_index(4), record_index(2)));
    const std::uint64_t digest = ours.programs.at(program).digest();
    merge_state(ours, theirs);
    const program_state& merged = ours.programs.at(program);
    CHECK(merged.digest() == digest);
    CHECK(merged.charged == token_count(30));
    CHECK(merged.find_finished(old_ticket) != nullptr);
    merge_state(ours, theirs);
    CHECK(ours.programs.at(program).charged == token_count(30));
  }
}

// The other side may spend half of what was left at the last record that all replicas held.
TEST_CASE("withholding for a network partition leaves half of the fewest tokens left") {
  shard_state state = opened(100);
  const ticket first = ticket_of(1, 1, 5);
  REQUIRE(apply(state, intent(first, 60), record_index(3), record_index(2)));
  REQUIRE(apply(state, result(first, 20), record_index(4), record_index(2)));
  program_state& after = state.programs.at(program);
  CHECK(after.tokens_left() == token_count(80));
  after.withhold_for_partition();
  CHECK(after.tokens_left() == token_count(20));
}
