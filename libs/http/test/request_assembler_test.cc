// Guards against requests that are taken for whole too early, that take memory which is not
// counted, and against limits that depend on how the bytes arrive.
#include "hawthornlane/http/request_assembler.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::http;

namespace {

constexpr std::size_t kb = 1024;
constexpr request_limits limits{4 * kb, 200 * kb};
const std::string head = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n";

/// Adds the text in pieces until it is complete or refused.
assembly add_in_pieces(request_assembler& into, std::string_view text, std::size_t size) {
  assembly state = into.begin(limits, nullptr);
  while (!text.empty() && (state == assembly::incomplete || state == assembly::expects_continue)) {
    state = into.add(text.substr(0, size));
    text.remove_prefix(std::min(size, text.size()));
  }
  return state;
}

std::string tiny_chunks(std::size_t count) {
  std::string text;
  for (std::size_t number = 0; number < count; ++number) {
    text += "1\r\nx\r\n";
  }
  return text + "0\r\n\r\n";
}

}  // namespace

TEST_CASE("a request ends in the same way however its bytes arrive") {
  struct table_row {
    const char* name;
    std::string text;
    assembly state;
    error_kind kind;
    std::size_t body;
  };
  const std::string length = head + "Content-Length: ";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto row = GENERATE_COPY(values<table_row>({
      {"no body", head + "\r\n", assembly::complete, error_kind::internal, 0},
      {"length", length + "5\r\n\r\nhello", assembly::complete, error_kind::internal, 5},
      {"largest body", length + "204800\r\n\r\n" + std::string(200 * kb, 'x'), assembly::complete,
       error_kind::internal, 200 * kb},
      {"announced too large", length + "204801\r\n\r\n", assembly::refused,
       error_kind::body_too_large, 0},
      {"chunks", chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", assembly::complete,
       error_kind::internal, 5},
      {"no chunk but the last one", chunked + "0\r\n\r\n", assembly::complete, error_kind::internal,
       0},
      {"a trailer behind no chunk", chunked + "0\r\nA: b\r\n\r\n", assembly::complete,
       error_kind::internal, 0},
      {"a trailer with a blank in a name", chunked + "0\r\nA B: c\r\n\r\n", assembly::refused,
       error_kind::bad_request, 0},
      {"a folded trailer", chunked + "0\r\nA: b\r\n c\r\n\r\n", assembly::refused,
       error_kind::bad_request, 0},
      {"tiny chunks", chunked + tiny_chunks(5000), assembly::complete, error_kind::internal, 5000},
      {"chunks too large", chunked + "40000\r\n" + std::string(256 * kb, 'x'), assembly::refused,
       error_kind::body_too_large, 0},
      {"line before a chunk", chunked + "5;" + std::string(80 * kb, 'e'), assembly::refused,
       error_kind::body_too_large, 0},
      {"head too large", head + "X: " + std::string(8 * kb, 'x') + "\r\n\r\n", assembly::refused,
       error_kind::header_too_large, 0},
      {"stalled", length + "5\r\n\r\nhell", assembly::incomplete, error_kind::internal, 0},
      {"not HTTP", "this is not HTTP\r\n\r\n", assembly::refused, error_kind::bad_request, 0},
  }));
  const auto size = GENERATE(as<std::size_t>{}, 1, 7, 4096, 1000000);
  INFO(row.name << " in pieces of " << size);
  request_assembler assembler(nullptr);
  const assembly state = add_in_pieces(assembler, row.text, size);
  REQUIRE(state == row.state);
  if (state == assembly::refused) {
    CHECK(assembler.reason().kind == row.kind);
  }
  if (state == assembly::complete) {
    const request whole = assembler.take();
    CHECK(whole.path == "/a");
    CHECK(whole.body.size() == row.body);
  }
}

TEST_CASE("the bytes behind a request begin the next one") {
  request_assembler assembler(nullptr);
  const std::string two =
      head + "Content-Length: 1\r\n\r\nx" + head + "Content-Length: 2\r\n\r\nyz";
  REQUIRE(assembler.begin(limits, nullptr) == assembly::incomplete);
  REQUIRE(assembler.add(two) == assembly::complete);
  CHECK(assembler.take().body == "x");
  assembler.release();
  CHECK(assembler.has_begun());
  REQUIRE(assembler.begin(limits, nullptr) == assembly::complete);
  CHECK(assembler.take().body == "yz");
}

TEST_CASE("only an incomplete request waits for 100 Continue") {
  request_assembler assembler(nullptr);
  REQUIRE(assembler.begin(limits, nullptr) == assembly::incomplete);
  CHECK(assembler.add(head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n") ==
        assembly::expects_continue);
  CHECK(assembler.add("ab") == assembly::complete);
}

TEST_CASE("what a request allocates is counted until it is released") {
  const auto registry = std::make_shared<overload::client_registry>(1024 * kb);
  overload::listener* at = registry->add_listener("test", 10);
  const auto now = std::chrono::steady_clock::now();
  overload::client_slot slot(registry, at, now, [](overload::yielded) {});
  request_assembler assembler(&slot);
  REQUIRE(assembler.begin(limits, nullptr) == assembly::incomplete);
  REQUIRE(assembler.add(head + "Content-Length: 204800\r\n\r\n") == assembly::incomplete);
  // An announced length takes nothing.
  CHECK(registry->held_bytes() < 8 * kb);
  REQUIRE(assembler.add(std::string(100 * kb, 'x')) == assembly::incomplete);
  CHECK(registry->held_bytes() >= 100 * kb);
  REQUIRE(assembler.add(std::string(100 * kb, 'x')) == assembly::complete);
  {
    const request whole = assembler.take();
    CHECK(registry->held_bytes() >= whole.body.capacity());
    CHECK(assembler.hold_also(300 * kb));
    CHECK(registry->held_bytes() >= 500 * kb);
  }
  assembler.release();
  CHECK(registry->held_bytes() == 0);
}

TEST_CASE("a request that can never fit is refused as too large, others as not run") {
  const auto registry = std::make_shared<overload::client_registry>(200 * kb);
  overload::listener* at = registry->add_listener("test", 10);
  const auto now = std::chrono::steady_clock::now();
  overload::client_slot other(registry, at, now, [](overload::yielded) {});
  overload::client_slot slot(registry, at, now, [](overload::yielded) {});
  request_assembler assembler(&slot);
  const std::string announced = head + "Content-Length: 180000\r\n\r\n";
  REQUIRE(assembler.begin(limits, nullptr) == assembly::incomplete);
  CHECK(assembler.add(announced) == assembly::refused);
  CHECK(assembler.reason().kind == error_kind::body_too_large);
  assembler.release();
  assembler.drop();
  REQUIRE(other.hold(140 * kb, now));
  other.enter(overload::client_phase::running, now);
  REQUIRE(assembler.begin(limits, nullptr) == assembly::incomplete);
  REQUIRE(assembler.add(head + "Content-Length: 100000\r\n\r\n") == assembly::incomplete);
  CHECK(assembler.add(std::string(90 * kb, 'x')) == assembly::refused);
  CHECK(assembler.reason().kind == error_kind::overloaded);
}
