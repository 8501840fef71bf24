// Reading service documents and judging what they would do.
#include "hawthornlane/document/service_document.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace hawthornlane {
namespace {

constexpr double second = 1e6;
constexpr double hour = 3600 * second;
constexpr double day = 24 * hour;
// Ceilings of the fleet, which no document raises.
constexpr double most_budget_tokens = 2e6;
constexpr double most_turns = 500;
constexpr double most_concurrent_calls = 100'000;
constexpr std::size_t shortest_credential = 16;

std::vector<key_rule> make_schema() {
  using enum value_type;
  return {
      {"service", "name", name, true, "", 0, 0, "name of the service"},
      {"service", "owner_team", name, true, "", 0, 0, "team that owns this document"},
      {"service", "model", name, false, "", 0, 0, "model that answers; none for tools only"},
      {"service", "max_answer_tokens", integer, false, "1024", 1, 65536,
       "longest answer of one call, tokens"},
      {"service", "latency_weight", number, false, "0.5", 0, 1,
       "1: only program latency counts; 0: only wasted cache"},
      {"service", "call_deadline", time, false, "2 min", second, hour,
       "how late an answer is still of use"},
      {"service", "idle_time", time, false, "8 h", 10 * second, 7 * day,
       "a program without calls for longer is ended"},
      {"service", "concurrent_calls", integer, false, "1000", 1, most_concurrent_calls,
       "calls under way at once, whole fleet"},
      {"budget", "tokens", integer, true, "", 1, most_budget_tokens,
       "tokens that one program may use"},
      {"budget", "turns", integer, true, "", 1, most_turns, "calls that one program may make"},
      {"budget", "tool_calls", integer, false, "100", 0, most_turns,
       "tool calls that one program may make"},
      {"budget", "wall_time", time, false, "24 h", second, 7 * day,
       "time from a program's start to its last call"},
      {"account *", "credential", text, true, "", 0, 0, "secret that the account's callers send"},
      {"account *", "weight", number, false, "1", 0.01, 100, "share under contention"},
      {"account *", "concurrent_calls", integer, false, "100", 1, most_concurrent_calls,
       "calls under way at once, whole fleet"},
      {"tool *", "repeatable", yes_no, true, "", 0, 0, "whether a call may run twice"},
      {"tool *", "timeout", time, false, "30 s", second / 100, hour, "how long one call may take"},
  };
}

void check_accounts(const service_document& document, const checked_values& values,
                    std::vector<ini_problem>& problems) {
  if (document.accounts.empty()) {
    problems.push_back({0, "no [account NAME] section: nobody could call the service"});
  }
  std::set<std::string> credentials;
  for (const account_settings& terms : document.accounts) {
    const std::string section = "account " + terms.account.get();
    const int line = values.line_of(section, "credential");
    if (!terms.credential.empty() && terms.credential.size() < shortest_credential) {
      problems.push_back({line, fmt::format("[{}] credential is shorter than {} characters",
                                            section, shortest_credential)});
    }
    if (!terms.credential.empty() && !credentials.insert(terms.credential).second) {
      problems.push_back({line, fmt::format("[{}] credential is another account's too", section)});
    }
    if (terms.concurrent_calls > document.concurrent_calls) {
      problems.push_back({values.line_of(section, "concurrent_calls"),
                          fmt::format("[{}] concurrent_calls {} exceeds the service's {}", section,
                                      terms.concurrent_calls, document.concurrent_calls)});
    }
  }
}

void check_across(const service_document& document, const checked_values& values,
                  std::vector<ini_problem>& problems) {
  if (!document.model.get().empty() && document.budget_tokens < document.max_answer_tokens) {
    problems.push_back(
        {values.line_of("budget", "tokens"),
         fmt::format("[budget] tokens {} cannot hold one answer of {}",
                     document.budget_tokens.get(), document.max_answer_tokens.get())});
  }
  if (document.idle_time < document.call_deadline) {
    problems.push_back({values.line_of("service", "idle_time"),
                        "[service] idle_time is shorter than call_deadline"});
  }
  if (document.budget_wall_time < document.call_deadline) {
    problems.push_back({values.line_of("budget", "wall_time"),
                        "[budget] wall_time is shorter than call_deadline"});
  }
  if (document.budget_tool_calls > document.budget_turns) {
    problems.push_back({values.line_of("budget", "tool_calls"),
                        "[budget] tool_calls exceeds turns, of which tool calls are a part"});
  }
  if (document.model.get().empty() && document.tools.empty()) {
    problems.push_back({0, "neither a model nor a [tool NAME] section: nothing could be called"});
  }
  for (const tool_settings& tool : document.tools) {
    if (tool.timeout > document.call_deadline) {
      problems.push_back(
          {values.line_of("tool " + tool.name, "timeout"),
           fmt::format("[tool {}] timeout is longer than [service] call_deadline", tool.name)});
    }
  }
}

service_document take_values(const checked_values& values) {
  service_document document;
  document.service = service_name(values.text("service", "name"));
  document.owner_team = values.text("service", "owner_team");
  document.model = model_name(values.text("service", "model"));
  document.max_answer_tokens = token_count(values.integer("service", "max_answer_tokens"));
  document.latency_weight = values.number("service", "latency_weight");
  document.call_deadline = values.time("service", "call_deadline");
  document.idle_time = values.time("service", "idle_time");
  document.concurrent_calls = values.integer("service", "concurrent_calls");
  document.budget_tokens = token_count(values.integer("budget", "tokens"));
  document.budget_turns = values.integer("budget", "turns");
  document.budget_tool_calls = values.integer("budget", "tool_calls");
  document.budget_wall_time = values.time("budget", "wall_time");
  for (const std::string& name : values.sections_of("account")) {
    const std::string section = "account " + name;
    document.accounts.push_back({client_account(name), values.text(section, "credential"),
                                 values.number(section, "weight"),
                                 values.integer(section, "concurrent_calls")});
  }
  for (const std::string& name : values.sections_of("tool")) {
    const std::string section = "tool " + name;
    document.tools.push_back(
        {name, values.yes(section, "repeatable"), values.time(section, "timeout")});
  }
  return document;
}

void compare_capacity(const service_document& before, const service_document& after,
                      std::vector<change_effect>& effects) {
  if (after.concurrent_calls * 2 <= before.concurrent_calls) {
    effects.push_back({0,
                       fmt::format("cuts concurrent_calls from {} to {}", before.concurrent_calls,
                                   after.concurrent_calls),
                       true});
  }
  for (const account_settings& old_terms : before.accounts) {
    const auto kept = std::find_if(
        after.accounts.begin(), after.accounts.end(),
        [&old_terms](const account_settings& terms) { return terms.account == old_terms.account; });
    if (kept == after.accounts.end()) {
      effects.push_back(
          {0, fmt::format("shuts out client account '{}'", old_terms.account.get()), true});
    }
  }
  for (const tool_settings& old_tool : before.tools) {
    const tool_settings* kept = after.find_tool(old_tool.name);
    if (kept == nullptr) {
      effects.push_back({0, fmt::format("takes tool '{}' away", old_tool.name), true});
    } else if (kept->repeatable && !old_tool.repeatable) {
      effects.push_back(
          {0, fmt::format("lets calls of tool '{}' run more than once", old_tool.name), true});
    }
  }
}

}  // namespace

const tool_settings* service_document::find_tool(std::string_view name) const {
  for (const tool_settings& tool : this->tools) {
    if (tool.name == name) {
      return &tool;
    }
  }
  return nullptr;
}

const account_settings* service_document::find_credential(std::string_view credential) const {
  for (const account_settings& terms : this->accounts) {
    if (terms.credential == credential) {
      return &terms;
    }
  }
  return nullptr;
}

const std::vector<key_rule>& document_schema() {
  static const std::vector<key_rule> schema = make_schema();
  return schema;
}

std::optional<service_document> read_document(std::string_view text,
                                              std::vector<ini_problem>& problems) {
  std::vector<ini_problem> found;
  const checked_values values = check_ini(read_ini(text), document_schema(), found);
  service_document document = take_values(values);
  if (found.empty()) {
    check_accounts(document, values, found);
    check_across(document, values, found);
  }
  if (found.empty()) {
    return document;
  }
  problems.insert(problems.end(), found.begin(), found.end());
  return std::nullopt;
}

std::string document_digest(std::string_view text) {
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

std::vector<change_effect> effects_of(const std::optional<service_document>& before,
                                      const service_document& after, const fleet_view& fleet) {
  std::vector<change_effect> effects;
  if (!after.model.get().empty() && !fleet.servers_by_model.contains(after.model)) {
    effects.push_back(
        {0, fmt::format("no backend server holds model '{}'", after.model.get()), true});
  }
  for (const tool_settings& tool : after.tools) {
    if (!fleet.servers_by_tool.contains(tool.name)) {
      effects.push_back({0, fmt::format("no backend server offers tool '{}'", tool.name), true});
    }
  }
  const auto exceeding =
      std::count_if(fleet.running.begin(), fleet.running.end(), [&after](const auto& program) {
        return program.charged > after.budget_tokens || program.turns > after.budget_turns;
      });
  if (exceeding > 0) {
    effects.push_back(
        {0, fmt::format("{} running programs exceed the new budget", exceeding), true});
  }
  if (before) {
    compare_capacity(*before, after, effects);
  }
  return effects;
}

}  // namespace hawthornlane
