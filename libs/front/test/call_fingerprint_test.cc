// Guards against attempts at one request that look like different requests, and the other way
// round.
#include "hawthornlane/front/call_fingerprint.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

struct sent_request {
  http::request request;
  relay::call_terms terms;
  client_account account{"north"};
};

sent_request usual() {
  sent_request sent;
  sent.request.method = "POST";
  sent.request.target = "/chat/4b?x=1";
  sent.request.body = "input";
  sent.terms.id = request_id("attempt-1");
  sent.terms.host_name = "a.example";
  sent.terms.program = program_id("p");
  sent.terms.session = session_id("s");
  sent.terms.previous = request_id("turn-1");
  sent.terms.prefix = {{"shared", token_count(500)}, {"own", token_count(20)}};
  return sent;
}

std::optional<request_fingerprint> fingerprint(const sent_request& sent) {
  return fingerprint_of(sent.request, sent.terms, sent.account);
}

}  // namespace

TEST_CASE("only what differs between attempts at one request is left out of its fingerprint") {
  struct row {
    const char* what;
    std::function<void(sent_request&)> change;
    bool same;
  };
  const row rows[] = {
      {"attempt", [](sent_request& sent) { sent.terms.id = request_id("attempt-2"); }, true},
      {"deadline", [](sent_request& sent) { sent.terms.deadline = std::chrono::seconds(1); }, true},
      {"time left",
       [](sent_request& sent) { sent.terms.program_time_left = std::chrono::seconds(1); }, true},
      {"last event", [](sent_request& sent) { sent.terms.last_event = 2; }, true},
      {"method", [](sent_request& sent) { sent.request.method = "PUT"; }, false},
      {"target", [](sent_request& sent) { sent.request.target = "/chat/4b?x=2"; }, false},
      {"body", [](sent_request& sent) { sent.request.body = "other"; }, false},
      {"host", [](sent_request& sent) { sent.terms.host_name = "b.example"; }, false},
      {"program", [](sent_request& sent) { sent.terms.program = program_id("q"); }, false},
      {"session", [](sent_request& sent) { sent.terms.session = session_id("t"); }, false},
      {"turn before", [](sent_request& sent) { sent.terms.previous.reset(); }, false},
      {"prompt", [](sent_request& sent) { sent.terms.prefix.back().id = "other"; }, false},
      {"account", [](sent_request& sent) { sent.account = client_account("south"); }, false},
      {"border of two fields",
       [](sent_request& sent) {
         sent.terms.program = program_id("ps");
         sent.terms.session = session_id("");
       },
       false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    sent_request changed = usual();
    item.change(changed);
    CHECK((fingerprint(changed) == fingerprint(usual())) == item.same);
  }
}

TEST_CASE("calls to one target that nothing tells apart have no fingerprint") {
  sent_request bare;
  bare.request.target = "/status";
  bare.terms.id = request_id("attempt-1");
  bare.terms.host_name = "a.example";
  CHECK_FALSE(fingerprint(bare));
  bare.terms.session = session_id("s");
  CHECK(fingerprint(bare));
}
