// Reads INI text with line numbers, so that every problem can be reported with its line.
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

/// One problem found in an INI text.
struct ini_problem {
  /// Counted from 1; 0 when the problem concerns the whole text.
  int line = 0;
  std::string message;

  friend bool operator==(const ini_problem&, const ini_problem&) = default;
};

/// The entries and problems of an INI text.
struct ini_text {
  std::vector<ini_entry> entries;
  std::vector<ini_problem> problems;
};

/// Reads the whole text; never stops at the first problem.
ini_text read_ini(std::string_view text);

/// One line "line 3: ..." for each problem.
std::string to_string(const std::vector<ini_problem>& problems);

}  // namespace hawthornlane
