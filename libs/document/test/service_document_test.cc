// Tests of reading service documents and of the effects of changing them.
#include "hawthornlane/document/service_document.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

namespace {

/// Lines 1 to 14 of a valid document.
const std::vector<std::string> valid_lines{
    "[service]",      "name = diagnosis",       "owner_team = workshop",
    "model = small",  "max_answer_tokens = 64", "call_deadline = 1 min",
    "[budget]",       "tokens = 20000",         "turns = 20",
    "tool_calls = 5", "[account north]",        "credential = north-workshop-secret",
    "[tool claims]",  "repeatable = no"};

std::string text_of(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

std::string with_line(std::size_t number, const std::string& line) {
  std::vector<std::string> lines = valid_lines;
  lines.at(number - 1) = line;
  return text_of(lines);
}

bool has_problem(const std::vector<ini_problem>& problems, int line, const std::string& part) {
  for (const ini_problem& problem : problems) {
    if (problem.line == line && problem.message.find(part) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Guards against refused valid documents and against values lost on reading.
TEST_CASE("a valid document is read with defaults filled in") {
  std::vector<ini_problem> problems;
  const auto document = read_document(text_of(valid_lines), problems);
  INFO(to_string(problems));
  REQUIRE(document);
  CHECK(document->budget_tokens == token_count(20000));
  CHECK(document->find_credential("north-workshop-secret")->account == client_account("north"));
  CHECK_FALSE(document->find_tool("claims")->repeatable);
  CHECK(document->call_deadline == std::chrono::minutes(1));
}

// Guards against a mistake that is accepted, or reported at the wrong line or without its reason.
TEST_CASE("each kind of mistake is refused with its line and its reason") {
  struct mistake {
    std::size_t at;
    std::string line;
    int reported_at;
    std::string reason;
  };
  const auto row = GENERATE(values<mistake>({
      {1, "[servise]", 2, "did you mean 'service'"},
      {2, "nmae = diagnosis", 2, "did you mean 'name'"},
      {2, "; no name", 3, "[service] name is missing"},
      {2, "name = two words", 2, "is not a name"},
      {2, "name =", 2, "is not a name"},
      {3, "name = again", 3, "is given twice"},
      {3, "", 2, "owner_team is missing"},
      {4, "model = a/b", 4, "is not a name"},
      {4, "modle = small", 4, "did you mean 'model'"},
      {5, "max_answer_tokens = many", 5, "is not a whole number"},
      {5, "max_answer_tokens = 0", 5, "is outside 1 to 65536"},
      {5, "max_answer_tokens = 1e3", 5, "is not a whole number"},
      {5, "max_answer_tokens = 99999999999999999999", 5, "is not a whole number"},
      {5, "latency_weight = 1.5", 5, "is outside 0 to 1"},
      {5, "latency_weight = high", 5, "is not a number"},
      {6, "call_deadline = 60", 6, "is not a time with a unit"},
      {6, "call_deadline = 1 year", 6, "is not a time with a unit"},
      {6, "call_deadline = 0 s", 6, "is outside"},
      {6, "idle_time = 10 s", 6, "idle_time is shorter than call_deadline"},
      {6, "just words", 6, "is neither [section], key = value, nor a comment"},
      {8, "tokens = 50", 8, "cannot hold one answer of 64"},
      {8, "tokens = 3000000", 8, "is outside 1 to 2000000"},
      {8, "tokens = -5", 8, "is outside"},
      {9, "turns = 501", 9, "is outside 1 to 500"},
      {9, "turns = 20\nwall_time = 20 s", 10, "wall_time is shorter than call_deadline"},
      {10, "tool_calls = 21", 10, "tool_calls exceeds turns"},
      {11, "[acount north]", 12, "did you mean 'account *'"},
      {12, "credential = short", 12, "is shorter than 16 characters"},
      {12, "weight = 0", 12, "is outside 0.01 to 100"},
      {12, "credential =", 12, "is empty"},
      {12,
       "credential = north-workshop-secret\n[account south]\n"
       "credential = north-workshop-secret",
       14, "is already used by another account"},
      {12, "credential = north-workshop-secret\nconcurrent_calls = 1001", 13,
       "exceeds the service's 1000"},
      {14, "repeatable = maybe", 14, "is neither yes nor no"},
      {14, "timeout = 10 s", 14, "[tool claims] repeatable is missing"},
      {14, "repeatable = no\ntimeout = 2 min", 15, "timeout is longer than"},
      {14, "repeatable = no ; " + std::string(300, 'x'), 14, "longer than 198 characters"},
  }));
  std::vector<ini_problem> problems;
  const auto document = read_document(with_line(row.at, row.line), problems);
  INFO("line " << row.at << " as '" << row.line << "'\nexpected at line " << row.reported_at << ": "
               << row.reason << "\nactual:\n"
               << to_string(problems));
  CHECK_FALSE(document.has_value());
  CHECK(has_problem(problems, row.reported_at, row.reason));
}

// Guards against reading that stops at the first mistake, and against unsorted reports.
TEST_CASE("all mistakes of a document are reported at once, in order of their lines") {
  std::vector<ini_problem> problems;
  const auto document =
      read_document("[service]\nname = a b\n[budget]\ntokens = none\nturns = 0\n", problems);
  CHECK_FALSE(document.has_value());
  REQUIRE(problems.size() >= 3);
  for (std::size_t at = 1; at < problems.size(); ++at) {
    CHECK(problems[at - 1].line <= problems[at].line);
  }
}

// Guards against a change that harms running programs or accounts without a confirmation.
TEST_CASE("dangerous effects on the running fleet are reported") {
  std::vector<ini_problem> problems;
  const auto before = read_document(text_of(valid_lines), problems);
  service_document after = *before;
  fleet_view fleet;
  fleet.servers_by_model[model_name("small")] = 2;
  fleet.servers_by_tool["claims"] = 1;
  std::string expected;
  SECTION("no server holds the model") {
    after.model = model_name("large");
    expected = "no backend server holds model 'large'";
  }
  SECTION("running programs exceed the new budget") {
    fleet.running = {{token_count(900), 3}, {token_count(100), 3}};
    after.budget_tokens = token_count(500);
    expected = "1 running programs exceed the new budget";
  }
  SECTION("capacity is halved") {
    after.concurrent_calls = 400;
    expected = "reduces concurrent_calls from 1000 to 400";
  }
  SECTION("an account is removed") {
    after.accounts.clear();
    expected = "removes client account 'north'";
  }
  SECTION("a tool becomes repeatable") {
    after.tools.front().repeatable = true;
    expected = "lets calls of tool 'claims' run more than once";
  }
  const auto effects = effects_of(before, after, fleet);
  REQUIRE(effects.size() == 1);
  CHECK(effects.front().message == expected);
  CHECK(effects.front().dangerous);
}

// Guards against requiring a confirmation for a change that has no effects.
TEST_CASE("an unchanged document has no effects") {
  std::vector<ini_problem> problems;
  const auto document = read_document(text_of(valid_lines), problems);
  fleet_view fleet;
  fleet.servers_by_model[model_name("small")] = 2;
  fleet.servers_by_tool["claims"] = 1;
  CHECK(effects_of(document, *document, fleet).empty());
}
