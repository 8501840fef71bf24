// Checks INI entries against a schema.
#include "hawthornlane/settings/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <numeric>
#include <set>

namespace hawthornlane {
namespace {

constexpr std::size_t max_name_distance = 3;

struct time_unit {
  std::string_view name;
  double microseconds;
};

constexpr std::array time_units{time_unit{"us", 1},     time_unit{"ms", 1e3},
                                time_unit{"s", 1e6},    time_unit{"min", 60e6},
                                time_unit{"h", 3600e6}, time_unit{"d", 86400e6}};

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0) {
    text.remove_prefix(1);
  }
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
    text.remove_suffix(1);
  }
  return text;
}

std::optional<double> read_number(std::string_view text) {
  double value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t> read_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

bool is_name(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
  });
}

bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  constexpr std::int64_t highest_port = 65535;
  const auto port = read_integer(text.substr(colon + 1));
  return port && *port >= 0 && *port <= highest_port;
}

std::vector<std::string> split_list(std::string_view text) {
  std::vector<std::string> items;
  while (!trimmed(text).empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    items.emplace_back(trimmed(text.substr(0, comma)));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return items;
}

std::string range_text(const key_rule& rule) {
  if (rule.type == value_type::time) {
    return fmt::format("{} ms to {} ms", rule.min_value / 1e3, rule.max_value / 1e3);
  }
  return fmt::format("{} to {}", rule.min_value, rule.max_value);
}

/// Why `value` violates `rule`; empty when it does not.
std::string validation_error(const key_rule& rule, const std::string& value) {
  std::optional<double> number;
  switch (rule.type) {
    case value_type::text:
    case value_type::list:
      return value.empty() && rule.required ? "is empty" : "";
    case value_type::name:
      return is_name(value) ? "" : "is not a name (letters, digits, '-', '_', '.')";
    case value_type::yes_no:
      return value == "yes" || value == "no" ? "" : "is neither yes nor no";
    case value_type::address:
      return is_address(value) ? "" : "is not an address (IP:port)";
    case value_type::integer:
      if (const auto integer = read_integer(value)) {
        number = static_cast<double>(*integer);
      } else {
        return "is not a whole number";
      }
      break;
    case value_type::number:
      number = read_number(value);
      if (!number) {
        return "is not a number";
      }
      break;
    case value_type::time:
      if (const auto time = time_from_string(value)) {
        number = static_cast<double>(time->count());
      } else {
        return "is not a time with a unit (us, ms, s, min, h, d)";
      }
      break;
  }
  const bool in_range = *number >= rule.min_value && *number <= rule.max_value;
  return in_range ? "" : "is outside " + range_text(rule);
}

/// Maps a section such as "account north" to its pattern "account *"; other names are returned
/// unchanged.
std::string section_pattern(const std::string& section) {
  const std::size_t blank = section.find(' ');
  return blank == std::string::npos ? section : section.substr(0, blank) + " *";
}

/// The message for an unknown name. `word` is the name as written in the text; `compared` is the
/// same name in the form that the candidates have, e.g. "account *" for "account north".
std::string unknown_name_message(const std::string& what, const std::string& word,
                                 const std::vector<std::string>& candidates,
                                 const std::string& compared) {
  const auto nearest = nearest_name(compared, candidates);
  return fmt::format("{} '{}' is unknown{}", what, word,
                     nearest ? fmt::format("; did you mean '{}'?", *nearest) : "");
}

std::vector<std::string> section_names(const std::vector<key_rule>& rules) {
  std::set<std::string> names;
  for (const key_rule& rule : rules) {
    names.insert(rule.section);
  }
  return {names.begin(), names.end()};
}

std::vector<std::string> keys_of(const std::vector<key_rule>& rules, const std::string& pattern) {
  std::vector<std::string> keys;
  for (const key_rule& rule : rules) {
    if (rule.section == pattern) {
      keys.push_back(rule.key);
    }
  }
  return keys;
}

const key_rule* find_rule(const std::vector<key_rule>& rules, const std::string& pattern,
                          const std::string& key) {
  for (const key_rule& rule : rules) {
    if (rule.section == pattern && rule.key == key) {
      return &rule;
    }
  }
  return nullptr;
}

}  // namespace

std::optional<duration> time_from_string(std::string_view text) {
  text = trimmed(text);
  const auto digits_end = std::find_if(text.begin(), text.end(), [](unsigned char character) {
    return std::isdigit(character) == 0 && character != '.';
  });
  const auto digits = static_cast<std::size_t>(digits_end - text.begin());
  const auto number = read_number(text.substr(0, digits));
  const std::string_view unit = trimmed(text.substr(digits));
  for (const time_unit& known : time_units) {
    if (number && unit == known.name) {
      return duration(static_cast<duration::rep>(*number * known.microseconds));
    }
  }
  return std::nullopt;
}

std::optional<std::string> nearest_name(std::string_view word,
                                        const std::vector<std::string>& candidates) {
  std::optional<std::string> best;
  std::size_t best_distance = max_name_distance + 1;
  for (const std::string& candidate : candidates) {
    std::vector<std::size_t> row(candidate.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= candidate.size(); ++j) {
        const std::size_t swap = diagonal + (word[i - 1] == candidate[j - 1] ? 0 : 1);
        diagonal = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, swap});
      }
    }
    if (row.back() < best_distance) {
      best_distance = row.back();
      best = candidate;
    }
  }
  return best;
}

checked_values check_ini(const ini_text& text, const std::vector<key_rule>& rules,
                         std::vector<ini_problem>& problems) {
  checked_values checked;
  problems.insert(problems.end(), text.problems.begin(), text.problems.end());
  const std::vector<std::string> sections = section_names(rules);
  std::set<std::string> seen_sections;
  for (const ini_entry& entry : text.entries) {
    const std::string pattern = section_pattern(entry.section);
    const bool first_of_section = seen_sections.insert(entry.section).second;
    if (std::find(sections.begin(), sections.end(), pattern) == sections.end()) {
      if (first_of_section) {
        problems.push_back(
            {entry.line, unknown_name_message("section", entry.section, sections, pattern)});
      }
      continue;
    }
    if (first_of_section) {
      checked.sections.push_back(entry.section);
    }
    const key_rule* rule = find_rule(rules, pattern, entry.key);
    if (rule == nullptr) {
      problems.push_back({entry.line, unknown_name_message("[" + entry.section + "] key", entry.key,
                                                           keys_of(rules, pattern), entry.key)});
      continue;
    }
    checked.lines[{entry.section, entry.key}] = entry.line;
    const std::string reason = validation_error(*rule, entry.value);
    if (!reason.empty()) {
      problems.push_back({entry.line, fmt::format("[{}] {}: '{}' {}", entry.section, entry.key,
                                                  entry.value, reason)});
      continue;
    }
    checked.values[{entry.section, entry.key}] = entry.value;
  }
  for (const key_rule& rule : rules) {
    const bool is_pattern = rule.section.ends_with(" *");
    std::vector<std::string> targets{rule.section};
    if (is_pattern) {
      targets.clear();
      std::copy_if(
          checked.sections.begin(), checked.sections.end(), std::back_inserter(targets),
          [&rule](const std::string& name) { return section_pattern(name) == rule.section; });
    }
    for (const std::string& section : targets) {
      const auto location = std::make_pair(section, rule.key);
      if (checked.lines.contains(location)) {
        continue;
      }
      if (rule.required) {
        problems.push_back(
            {checked.line_of(section, ""), fmt::format("[{}] {} is missing", section, rule.key)});
        continue;
      }
      checked.values[location] = rule.default_value;
    }
  }
  std::stable_sort(problems.begin(), problems.end(),
                   [](const ini_problem& a, const ini_problem& b) { return a.line < b.line; });
  return checked;
}

std::string checked_values::text(const std::string& section, const std::string& key) const {
  const auto found = this->values.find({section, key});
  return found == this->values.end() ? std::string{} : found->second;
}

std::int64_t checked_values::integer(const std::string& section, const std::string& key) const {
  return read_integer(this->text(section, key)).value_or(0);
}

double checked_values::number(const std::string& section, const std::string& key) const {
  return read_number(this->text(section, key)).value_or(0);
}

bool checked_values::yes(const std::string& section, const std::string& key) const {
  return this->text(section, key) == "yes";
}

duration checked_values::time(const std::string& section, const std::string& key) const {
  return time_from_string(this->text(section, key)).value_or(duration(0));
}

std::vector<std::string> checked_values::list(const std::string& section,
                                              const std::string& key) const {
  return split_list(this->text(section, key));
}

std::vector<std::string> checked_values::sections_of(const std::string& kind) const {
  std::vector<std::string> names;
  for (const std::string& section : this->sections) {
    if (section.starts_with(kind + " ")) {
      names.push_back(section.substr(kind.size() + 1));
    }
  }
  return names;
}

int checked_values::line_of(const std::string& section, const std::string& key) const {
  const auto found = this->lines.find({section, key});
  if (found != this->lines.end()) {
    return found->second;
  }
  int first = 0;
  for (const auto& [location, line] : this->lines) {
    const bool earlier = location.first == section && (first == 0 || line < first);
    first = earlier ? line : first;
  }
  return first;
}

std::string describe(const std::vector<key_rule>& rules) {
  static const std::array<const char*, 8> types{"text",   "name", "integer", "number",
                                                "yes/no", "time", "address", "list"};
  std::string out =
      "| section | key | type | default | range | meaning |\n|---|---|---|---|---|---|\n";
  for (const key_rule& rule : rules) {
    const std::string range = rule.max_value > rule.min_value ? range_text(rule) : "";
    out += fmt::format("| [{}] | {} | {} | {} | {} | {} |\n", rule.section, rule.key,
                       types.at(static_cast<std::size_t>(rule.type)),
                       rule.required ? "(required)" : rule.default_value, range, rule.meaning);
  }
  return out;
}

}  // namespace hawthornlane
