// Reads INI text with libinih. libinih does not report line numbers, but it handles each line
// before it asks for the next one, so the line source counts them.
#include "hawthornlane/settings/ini.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <utility>

namespace hawthornlane {
namespace {

/// Longest line that fits into libinih's buffer; libinih would split a longer one.
constexpr std::size_t max_line_length = 198;

struct reader {
  std::string_view rest;
  int line = 0;
  ini_text result;
  std::set<std::pair<std::string, std::string>> seen;
};

char* next_line(char* buffer, int size, void* stream) {
  auto& state = *static_cast<reader*>(stream);
  if (state.rest.empty()) {
    return nullptr;
  }
  const std::size_t end = std::min(state.rest.find('\n'), state.rest.size());
  std::string_view line = state.rest.substr(0, end);
  state.rest.remove_prefix(std::min(end + 1, state.rest.size()));
  ++state.line;
  const std::size_t max_length = std::min(max_line_length, static_cast<std::size_t>(size) - 2);
  if (line.size() > max_length) {
    state.result.problems.push_back(
        {state.line, "longer than " + std::to_string(max_line_length) + " characters"});
    line = line.substr(0, 0);
  }
  if (line.find('\0') != std::string_view::npos) {
    state.result.problems.push_back({state.line, "contains a zero byte"});
    line = line.substr(0, 0);
  }
  // libinih would append a line with leading whitespace to the previous value.
  while (!line.empty() && (line.front() == ' ' || line.front() == '\t')) {
    line.remove_prefix(1);
  }
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\n';
  buffer[line.size() + 1] = '\0';
  return buffer;
}

int add_entry(void* user, const char* section, const char* key, const char* value) {
  auto& state = *static_cast<reader*>(user);
  if (!state.seen.emplace(section, key).second) {
    state.result.problems.push_back(
        {state.line, std::string("[") + section + "] " + key + " is given twice"});
    return 1;
  }
  state.result.entries.push_back({section, key, value == nullptr ? "" : value, state.line});
  return 1;
}

}  // namespace

ini_text read_ini(std::string_view text) {
  reader state;
  state.rest = text;
  // libinih returns only the line of its first error, but it reads to the end, so later lines are
  // still checked.
  const int first_bad_line = ini_parse_stream(next_line, &state, add_entry, &state);
  if (first_bad_line > 0) {
    state.result.problems.push_back(
        {first_bad_line, "is neither [section], key = value, nor a comment"});
  } else if (first_bad_line < 0) {
    state.result.problems.push_back({0, "cannot be read"});
  }
  std::sort(state.result.problems.begin(), state.result.problems.end(),
            [](const ini_problem& a, const ini_problem& b) { return a.line < b.line; });
  return std::move(state.result);
}

std::string to_string(const std::vector<ini_problem>& problems) {
  std::string text;
  for (const ini_problem& problem : problems) {
    if (problem.line > 0) {
      text += "line " + std::to_string(problem.line) + ": ";
    }
    text += problem.message + "\n";
  }
  return text;
}

}  // namespace hawthornlane
