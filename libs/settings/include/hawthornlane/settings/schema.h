// A schema for INI texts: the allowed sections and keys with type, range and default, and the
// values read by it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornlane/settings/ini.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// The type of a value, which defines how it is written.
enum class value_type : std::uint8_t {
  text,
  /// A name of letters, digits, '-', '_' and '.'.
  name,
  integer,
  /// A number with a fraction.
  number,
  yes_no,
  /// A number with a unit: us, ms, s, min, h or d.
  time,
  /// "IP:port".
  address,
  /// Items separated by commas.
  list,
};

/// One key that a text may contain.
struct key_rule {
  /// A section name. A name such as "account *" stands for all sections "[account NAME]".
  std::string section;
  std::string key;
  value_type type = value_type::text;
  bool required = false;
  std::string default_value;
  /// Allowed range of integers, numbers and times (microseconds), both bounds included. Unused for
  /// other types.
  double min_value = 0;
  double max_value = 0;
  /// Description of the key, with its unit.
  std::string meaning;
};

/// The values of a text that passed the checks of its schema, with defaults filled in.
class checked_values {
public:
  [[nodiscard]] std::string text(const std::string& section, const std::string& key) const;
  [[nodiscard]] std::int64_t integer(const std::string& section, const std::string& key) const;
  [[nodiscard]] double number(const std::string& section, const std::string& key) const;
  [[nodiscard]] bool yes(const std::string& section, const std::string& key) const;
  [[nodiscard]] duration time(const std::string& section, const std::string& key) const;
  [[nodiscard]] std::vector<std::string> list(const std::string& section,
                                              const std::string& key) const;
  /// Names of the sections "kind NAME", without the kind, in the order of the text.
  [[nodiscard]] std::vector<std::string> sections_of(const std::string& kind) const;
  /// Line of the key; if the key is absent, the line of its section's first key; 0 if the section
  /// has no keys either.
  [[nodiscard]] int line_of(const std::string& section, const std::string& key) const;

private:
  friend checked_values check_ini(const ini_text&, const std::vector<key_rule>&,
                                  std::vector<ini_problem>&);
  std::map<std::pair<std::string, std::string>, std::string> values;
  std::map<std::pair<std::string, std::string>, int> lines;
  std::vector<std::string> sections;
};

/// Checks every entry. Appends all problems, each with its line and, for an unknown name, the
/// nearest known name, and sorts `problems` by line.
checked_values check_ini(const ini_text& text, const std::vector<key_rule>& rules,
                         std::vector<ini_problem>& problems);

/// Reads times such as "250 ms", "1.5s" or "2h"; nothing when the text is not a time.
std::optional<duration> time_from_string(std::string_view text);

/// The candidate nearest to `word` by edit distance, if one is near enough.
std::optional<std::string> nearest_name(std::string_view word,
                                        const std::vector<std::string>& candidates);

/// A Markdown table of all keys for the documentation.
std::string describe(const std::vector<key_rule>& rules);

}  // namespace hawthornlane
