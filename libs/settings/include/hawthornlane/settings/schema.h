// Typed keys: which sections and keys a text may hold, with unit, range and
// default, and the values read by them.
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

/// How a value is written.
enum class value_type : std::uint8_t {
  text,
  /// A name of letters, digits, '-', '_' and '.'.
  name,
  integer,
  /// A number with a fraction.
  number,
  yes_no,
  /// A number with one of us, ms, s, min, h, d.
  time,
  /// "IP:port".
  address,
  /// Names or addresses with commas between them.
  list,
};

/// One key that a text may hold.
struct key_rule {
  /// A section name, or "kind *" for sections such as "[account north]".
  std::string section;
  std::string key;
  value_type type = value_type::text;
  bool required = false;
  std::string default_value;
  /// Range of numbers; for times in microseconds.
  double least = 0;
  double most = 0;
  /// What the key means, with its unit.
  std::string meaning;
};

/// Values of a text that passed its schema's checks, defaults filled in.
class checked_values {
public:
  [[nodiscard]] std::string text(const std::string& section, const std::string& key) const;
  [[nodiscard]] std::int64_t integer(const std::string& section, const std::string& key) const;
  [[nodiscard]] double number(const std::string& section, const std::string& key) const;
  [[nodiscard]] bool yes(const std::string& section, const std::string& key) const;
  [[nodiscard]] duration time(const std::string& section, const std::string& key) const;
  [[nodiscard]] std::vector<std::string> list(const std::string& section,
                                              const std::string& key) const;
  /// Names of the sections "kind NAME", without the kind, in order of the text.
  [[nodiscard]] std::vector<std::string> sections_of(const std::string& kind) const;
  /// Line of the key, or of its section's first key, or 0.
  [[nodiscard]] int line_of(const std::string& section, const std::string& key) const;

private:
  friend checked_values check_ini(const ini_text&, const std::vector<key_rule>&,
                                  std::vector<ini_problem>&);
  std::map<std::pair<std::string, std::string>, std::string> values;
  std::map<std::pair<std::string, std::string>, int> lines;
  std::vector<std::string> sections;
};

/// Checks every entry; all problems come back at once, each with its line and,
/// for unknown names, with the nearest known one.
checked_values check_ini(const ini_text& text, const std::vector<key_rule>& rules,
                         std::vector<ini_problem>& problems);

/// Reads "250 ms", "1.5s", "2h"; nothing when it is anything else.
std::optional<duration> time_from_string(std::string_view text);

/// The candidate nearest to `word` by edit distance, if one is near at all.
std::optional<std::string> nearest_name(std::string_view word,
                                        const std::vector<std::string>& candidates);

/// A table of all keys for the documentation, in Markdown.
std::string describe(const std::vector<key_rule>& rules);

}  // namespace hawthornlane
