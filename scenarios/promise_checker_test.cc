// Tests of the fault soak's promise checker with each promise kept and broken.
#include "promise_checker.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;

namespace {

sent_call plain_call(repetition repeats = repetition::once) {
  sent_call call;
  call.request.path = "/once/x";
  call.request.id = "r1";
  call.request.body = "input";
  call.body_at_server = "input";
  call.repeats = repeats;
  return call;
}

sent_call turn_call(int budget = 0) {
  sent_call call = plain_call();
  call.request = turn_request_of("/kept/x", "r1", "p", "r0", budget);
  call.body_at_server = "history" + call.request.body;
  call.program = "p";
  call.budget = budget;
  call.continues_turn = true;
  call.is_stream = true;
  return call;
}

stand_ins::backend_arrival arrival_of(const sent_call& call) {
  stand_ins::backend_arrival arrival;
  arrival.request.method = call.request.method;
  arrival.request.target = call.request.path;
  arrival.request.headers = {{"X-Request-Id", call.request.id}};
  arrival.request.body = call.body_at_server;
  arrival.ran = true;
  return arrival;
}

call_result answer(int status, const std::string& body = "", const std::string& seal = "seal-r1") {
  call_result result;
  result.status = status;
  result.headers = {{"X-Response-Seal", seal}};
  result.body = body;
  result.whole = true;
  return result;
}

call_result cut_short(call_result result, std::chrono::milliseconds took = 500ms) {
  result.whole = false;
  result.took = took;
  return result;
}

/// A stream whose first event comes from v1, and its resumption with what follows `from` bytes of
/// the whole stream of `version`.
void play_resumption(promise_checker& checker, const std::string& version, std::size_t from) {
  sent_call first = turn_call();
  first.continues_turn = false;
  checker.on_sent(first);
  checker.on_answer("r1", cut_short(answer(200, events_of_turn().substr(0, 27))), false);
  sent_call second = first;
  second.request.id = "r2";
  second.resumes = "r1";
  second.last_event = 1;
  checker.on_sent(second);
  checker.on_answer("r2", answer(200, events_of_turn(version).substr(from), "seal-r2"), false);
}

}  // namespace

TEST_CASE("the checker reports broken promises and no others") {
  struct row {
    const char* what;
    std::function<void(promise_checker&)> play;
    std::size_t broken;
  };
  const auto run = [](promise_checker& checker, const sent_call& call, int times) {
    checker.on_sent(call);
    for (int number = 0; number < times; ++number) {
      checker.on_arrival("s", arrival_of(call));
    }
  };
  const auto asked_for_rest = [](repetition repeats, int times) {
    return [repeats, times](promise_checker& checker) {
      const sent_call call = plain_call(repeats);
      checker.on_sent(call);
      checker.on_arrival("s", arrival_of(call));
      stand_ins::backend_arrival rest = arrival_of(call);
      rest.request.headers.push_back({"Last-Event-Id", "1"});
      for (int number = 0; number < times; ++number) {
        checker.on_arrival("s", rest);
      }
    };
  };
  const auto ends = [run](sent_call call, int times, call_result result, bool calm = false) {
    return [=](promise_checker& checker) {
      run(checker, call, times);
      checker.on_answer("r1", result, calm);
    };
  };
  const auto grows_to = [](memory_use use) {
    return [use](promise_checker& checker) { checker.on_memory("front", "front-1/1", use); };
  };
  const sent_call once = plain_call();
  const sent_call safe = plain_call(repetition::idempotent);
  const sent_call turn = turn_call();
  const std::string events = events_of_turn();
  const row rows[] = {
      {"a plain answer", ends(once, 1, answer(200, "answer to r1")), 0},
      {"another call's answer", ends(once, 1, answer(200, "answer to r2")), 1},
      {"another call's signature", ends(once, 1, answer(200, "answer to r1", "seal-r2")), 1},
      {"run twice", ends(once, 2, answer(200, "answer to r1")), 1},
      {"an idempotent call at two servers", ends(safe, 2, answer(200, "answer to r1")), 0},
      {"an idempotent call at three", ends(safe, 3, answer(200, "answer to r1")), 1},
      {"rests of a stream at its server", asked_for_rest(repetition::resumable, 3), 0},
      {"too many rests", asked_for_rest(repetition::resumable, 4), 1},
      {"a rest of a call that runs once", asked_for_rest(repetition::once, 1), 1},
      {"refused and not run", ends(once, 0, answer(503)), 0},
      {"refused and run", ends(once, 1, answer(503)), 1},
      {"over the budget and run", ends(turn, 1, answer(402)), 1},
      {"run after it was refused",
       [run](promise_checker& checker) {
         checker.on_sent(plain_call());
         checker.on_answer("r1", answer(429), false);
         checker.on_arrival("s", arrival_of(plain_call()));
       },
       1},
      {"run though no caller sent it",
       [](promise_checker& checker) { checker.on_arrival("s", arrival_of(plain_call())); }, 1},
      {"a turn without its history",
       [](promise_checker& checker) {
         checker.on_sent(turn_call());
         checker.on_arrival("s", arrival_of(plain_call()));
       },
       2},
      {"a stored turn that is unknown", ends(turn, 0, answer(404)), 1},
      {"a complete stream", ends(turn, 1, answer(200, events)), 0},
      {"a stream cut off while a fault is active",
       ends(turn, 1, cut_short(answer(200, events.substr(0, 27)))), 0},
      {"a stream cut off while no fault is active",
       ends(turn, 1, cut_short(answer(200, events.substr(0, 27))), true), 1},
      {"a stream that ends early and looks complete",
       ends(turn, 1, answer(200, events.substr(0, 27))), 1},
      {"events out of order", ends(turn, 1, cut_short(answer(200, "id: 2"))), 1},
      {"a stream of two versions",
       ends(turn, 1, cut_short(answer(200, events_of_turn().substr(0, 27) +
                                               events_of_turn("v2").substr(27)))),
       1},
      {"a resumption at the version that began its stream",
       [](promise_checker& checker) { play_resumption(checker, "v1", 27); }, 0},
      {"a resumption at another version",
       [](promise_checker& checker) { play_resumption(checker, "v2", 27); }, 1},
      {"a resumption that leaves an event out",
       [](promise_checker& checker) { play_resumption(checker, "v1", 54); }, 1},
      {"a resumption that repeats an event",
       [](promise_checker& checker) { play_resumption(checker, "v1", 0); }, 1},
      {"a call that crossed the host's close", ends(once, 0, cut_short(answer(0), 50ms), true), 0},
      {"a call that ran and was cut off", ends(once, 1, cut_short(answer(0), 50ms), true), 1},
      {"more tokens than the budget and one turn",
       [run](promise_checker& checker) {
         for (const char* id : {"r1", "r2"}) {
           sent_call call = turn_call(20);
           call.request.id = id;
           checker.on_sent(call);
           checker.on_answer(id, answer(200, events_of_turn(), std::string("seal-") + id), false);
         }
       },
       1},
      {"a process at its limit", grows_to({100, 100}), 0},
      {"a process over its limit", grows_to({101, 100}), 1},
      {"a process that stays over its limit, reported once",
       [grows_to](promise_checker& checker) {
         grows_to({101, 100})(checker);
         grows_to({102, 100})(checker);
       },
       1},
      {"two processes over their limits",
       [grows_to](promise_checker& checker) {
         grows_to({101, 100})(checker);
         checker.on_memory("front", "front-1/2", {101, 100});
       },
       2},
  };
  for (const row& item : rows) {
    INFO(item.what);
    promise_checker checker;
    item.play(checker);
    CHECK(checker.broken().size() == item.broken);
  }
}

TEST_CASE("the checker reports the process of each kind that came closest to its memory limit") {
  promise_checker checker;
  checker.on_memory("front", "front-0/1", {50, 100});
  checker.on_memory("front", "front-1/1", {70, 100});
  checker.on_memory("front", "front-1/2", {60, 100});
  checker.on_memory("front", "front-2/1", {80, 200});
  checker.on_memory("disk", "disk-0/1", {90, 300});
  const std::map<std::string, memory_use> nearest{{"front", {70, 100}}, {"disk", {90, 300}}};
  CHECK(checker.memory() == nearest);
}

TEST_CASE("too few resumptions that go on are reported") {
  struct row {
    const char* what;
    int sent;
    int served;
    bool broken;
  };
  const row rows[] = {{"eleven, none goes on", 11, 0, false},
                      {"twelve, five go on", 12, 5, true},
                      {"twelve, six go on", 12, 6, false}};
  for (const row& item : rows) {
    INFO(item.what);
    stream_promises streams;
    for (int number = 0; number < 10; ++number) {
      streams.on_calm_attempt(false, true);
    }
    for (int number = 0; number < item.sent; ++number) {
      streams.on_calm_attempt(true, number < item.served);
    }
    CHECK(streams.broken_share().has_value() == item.broken);
  }
}
