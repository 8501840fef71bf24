// Guards against streams that join the events of a server that proves invalid, by what it sends
// after them, with those of another server: complete hosts, and servers of one or two versions.
#include <catch2/catch.hpp>

#include "two_version_deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using stand_ins::backend_behavior;

namespace {

struct invalid_row {
  const char* what = "";
  backend_behavior behavior = backend_behavior::answer;
  /// Events that the caller may get of the run.
  int most_events = 1;
};

constexpr invalid_row invalid_rows[] = {
    {"an event comes twice", backend_behavior::repeat_event},
    {"an event is too large", backend_behavior::send_oversized_event},
    {"more events come than the tokens allow", backend_behavior::send_too_many_events, 1000},
    {"bytes come that are no chunk", backend_behavior::send_no_chunk},
};

int whole_events_in(const std::string& body) {
  constexpr std::string_view end = "\n\n";
  int count = 0;
  for (std::size_t at = body.find(end); at != std::string::npos;
       at = body.find(end, at + end.size())) {
    ++count;
  }
  return count;
}

/// A turn whose program's budget suffices for too many events.
call_request stream_of(const std::string& id, const std::string& program) {
  constexpr int ample_budget = 1'000'000;
  return turn("/resumed/x", id, program, "", ample_budget);
}

call_request rest_of(const std::string& origin, const std::string& id, const std::string& program,
                     int last_event) {
  call_request call = stream_of(id, program);
  call.headers.push_back({"Last-Event-Id", std::to_string(last_event)});
  call.headers.push_back({"Resumes", origin});
  return call;
}

/// Resumes a stream at another host until it is decided, and checks that it does not go on.
void check_not_resumed(two_version_deployment& all, const std::string& origin,
                       const std::string& program, int last_event) {
  const auto [id, refused] = all.call_until_decided(1, origin + "-rest", [&](const auto& fresh) {
    return rest_of(origin, fresh, program, last_event);
  });
  CHECK(refused.status == 503);
  CHECK(refused.body.find("stream_version_unknown") != std::string::npos);
  CHECK(refused.header("Retry-After") == "0");
  CHECK(refused.took < 1000ms);
  CHECK(runs_of(all, id) == 0);
}

}  // namespace

TEST_CASE("a stream does not go on after an event of a run that proves invalid") {
  const std::string second = GENERATE("v1", "v2");
  two_version_deployment all(2, second);
  for (const invalid_row& row : invalid_rows) {
    INFO("servers of v1 and " << second << ", " << row.what);
    all.engine_behaviors->set({row.behavior, backend_behavior::answer});
    const decided_turn stream =
        all.call_until_decided(0, "stream-" + std::to_string(static_cast<int>(row.behavior)),
                               [](const auto& id) { return stream_of(id, id); });
    CHECK(stream.result.status == 200);
    CHECK_FALSE(stream.result.whole);
    const int received = whole_events_in(stream.result.body);
    CHECK(received >= 1);
    CHECK(received <= row.most_events);
    CHECK(stream.result.took < 2000ms);
    CHECK(runs_of(all, stream.id) == 1);
    check_not_resumed(all, stream.id, stream.id, received);
    const decided_turn anew = all.call_until_decided(
        1, stream.id + "-anew", [&](const auto& id) { return stream_of(id, stream.id); });
    CHECK(anew.result.whole);
    all.run_for(700ms);
  }
}

TEST_CASE("a stream does not go on after an event of a resumption that proves invalid") {
  for (const invalid_row& row : invalid_rows) {
    INFO(row.what);
    two_version_deployment all(2);
    const std::string origin = all.begin_at("v1");
    all.engine_behaviors->set({row.behavior, backend_behavior::answer});
    const decided_turn rest = all.call_until_decided(
        1, "rest", [&](const auto& id) { return rest_of(origin, id, origin, 1); });
    CHECK_FALSE(rest.result.whole);
    const int received = whole_events_in(rest.result.body);
    CHECK(received >= 1);
    CHECK(received <= row.most_events);
    CHECK(runs_of(all, rest.id) == 1);
    check_not_resumed(all, origin, origin, 1 + received);
  }
}

TEST_CASE("a stream does not go on after a second server of it proves invalid") {
  two_version_deployment all(2);
  all.engine_behaviors->set(
      {backend_behavior::truncate, backend_behavior::repeat_event, backend_behavior::answer});
  const decided_turn stream =
      all.call_until_decided(0, "stream", [](const auto& id) { return stream_of(id, id); });
  CHECK_FALSE(stream.result.whole);
  CHECK(whole_events_in(stream.result.body) == events_of_stream);
  CHECK(runs_of(all, stream.id) == 2);
  check_not_resumed(all, stream.id, stream.id, events_of_stream);
}

TEST_CASE("an event that comes together with its repetition is not relayed") {
  two_version_deployment all(1);
  all.engine_behaviors->set({backend_behavior::send_event_twice, backend_behavior::answer});
  const decided_turn stream =
      all.call_until_decided(0, "stream", [](const auto& id) { return stream_of(id, id); });
  CHECK(stream.result.status == 200);
  CHECK(stream.result.whole);
  CHECK(whole_events_in(stream.result.body) == events_of_stream);
  CHECK(runs_of(all, stream.id) == 2);
}

TEST_CASE("a stream that is resumed with a response that is no stream does not look whole") {
  two_version_deployment all(1);
  all.engine_behaviors->set({backend_behavior::truncate, backend_behavior::answer_without_stream});
  const decided_turn stream =
      all.call_until_decided(0, "stream", [](const auto& id) { return stream_of(id, id); });
  CHECK(runs_of(all, stream.id) == 2);
  CHECK(whole_events_in(stream.result.body) == events_of_stream - 1);
  CHECK_FALSE(stream.result.whole);
}

TEST_CASE("a run whose first event is invalid does not keep its stream from going on") {
  two_version_deployment all(2);
  all.engine_behaviors->set({backend_behavior::truncate, backend_behavior::send_event_twice});
  const decided_turn cut =
      all.call_until_decided(0, "cut", [](const auto& id) { return stream_of(id, id); });
  CHECK_FALSE(cut.result.whole);
  CHECK(whole_events_in(cut.result.body) == events_of_stream - 1);
  all.engine_behaviors->set({backend_behavior::answer});
  all.run_for(700ms);
  const decided_turn rest = all.call_until_decided(
      1, "rest", [&](const auto& id) { return rest_of(cut.id, id, cut.id, events_of_stream - 1); });
  CHECK(rest.result.status == 200);
  CHECK(rest.result.whole);
  CHECK(whole_events_in(rest.result.body) == 1);
}
