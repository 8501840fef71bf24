// INI text with line numbers, so that every complaint can name its line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane {

/// One `key = value` line.
struct ini_entry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

/// One complaint about an INI text.
struct ini_problem {
  /// Counted from 1; 0 when the whole text is meant.
  int line = 0;
  std::string message;

  friend bool operator==(const ini_problem&, const ini_problem&) = default;
};

/// An INI text as read.
struct ini_text {
  std::vector<ini_entry> entries;
  std::vector<ini_problem> problems;
};

/// Reads the whole text; never stops at the first problem.
ini_text read_ini(std::string_view text);

/// "line 3: ..." lines, one for each problem.
std::string to_string(const std::vector<ini_problem>& problems);

}  // namespace hawthornlane
