// A stream goes on only at servers of the software version that began it: complete hosts, and
// servers of two versions that put theirs into each event.
#include <catch2/catch.hpp>
#include <set>

#include "deployment.h"
#include "deployment_calls.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
using stand_ins::backend_behavior;

namespace {

constexpr int events_of_stream = 6;

/// The versions that the events of a stream, or of parts of it, contain.
std::set<std::string> versions_in(const std::string& events) {
  constexpr std::string_view mark = " of ";
  std::set<std::string> versions;
  for (std::size_t at = events.find(mark); at != std::string::npos;
       at = events.find(mark, at + 1)) {
    const std::size_t begin = at + mark.size();
    const std::size_t end = events.find('\n', begin);
    if (end != std::string::npos) {
      versions.insert(events.substr(begin, end - begin));
    }
  }
  return versions;
}

/// Front hosts and model servers of two versions, two servers each.
struct release : deployment {
  explicit release(int front_hosts) : deployment({front_hosts, 3, 4, 1}) {
    for (std::size_t number = 0; number < this->engines.size(); ++number) {
      this->engines[number]->set_version(number % 2 == 0 ? "v1" : "v2");
      this->engines[number]->set_events(events_of_stream, 30ms);
      this->list_backend(*this->engines[number], "models");
    }
    REQUIRE(is_up(*this));
    REQUIRE(this->run_until([this, front_hosts] { return this->ready(front_hosts - 1); }));
    this->run_for(1500ms);
  }

  /// The server that ran the request; null if none did.
  stand_ins::scripted_backend* server_of(const std::string& id) {
    for (const auto& server : this->engines) {
      if (server->runs(id) > 0) {
        return server.get();
      }
    }
    return nullptr;
  }
};

call_request resumption_of(const std::string& origin, const std::string& id,
                           const std::string& program, int last_event) {
  call_request call = turn("/resumed/x", id, program);
  call.headers.push_back({"Last-Event-Id", std::to_string(last_event)});
  call.headers.push_back({"Resumes", origin});
  return call;
}

}  // namespace

TEST_CASE("a caller's resumption at another host does not change the version of its stream") {
  release all(2);
  for (int number = 0; number < 6; ++number) {
    const std::string program = "p" + std::to_string(number);
    const std::string origin = "origin-" + std::to_string(number);
    INFO(origin);
    const std::string received =
        all.reset_after(0, turn("/resumed/x", origin, program), "piece 2 of v");
    stand_ins::scripted_backend* began_at = all.server_of(origin);
    REQUIRE(began_at != nullptr);
    // The first server leaves, so that the stream goes on at another one.
    all.list_backend(*began_at, "models", true);
    all.run_for(1200ms);
    const std::string resumed = "resumed-" + std::to_string(number);
    const call_result rest = all.call(1, resumption_of(origin, resumed, program, 1));
    CHECK(rest.status == 200);
    CHECK(rest.whole);
    CHECK(all.server_of(resumed) != began_at);
    CHECK(versions_in(rest.body) == std::set{began_at->version()});
    all.list_backend(*began_at, "models");
    all.run_for(1200ms);
  }
}

TEST_CASE("a resumption inside one answer does not change the version of its stream") {
  release all(1);
  for (int number = 0; number < 8; ++number) {
    const std::string id = "stream-" + std::to_string(number);
    INFO(id);
    all.engine_behaviors->set({backend_behavior::truncate, backend_behavior::answer});
    const call_result result = all.call(0, turn("/resumed/x", id, "p" + id));
    CHECK(result.status == 200);
    CHECK(result.whole);
    CHECK(runs_of(all, id) == 2);
    CHECK(versions_in(result.body).size() == 1);
    all.run_for(700ms);
  }
}
