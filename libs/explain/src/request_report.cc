// Reconstructs from the hosts' logs what happened to a request.
#include "hawthornlane/explain/request_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <sstream>

namespace hawthornlane::explain {
namespace json = boost::json;

namespace {

/// An event whose log lines describe a part of a host's state, and the field that names its
/// subject, e.g. the peer. For each event and subject, the newest line is the current state.
struct state_rule {
  const char* event;
  /// Empty if the event has no subject.
  const char* subject;
  /// The event that ends the state which `event` begins; empty if there is none.
  const char* ended_by;
};

constexpr state_rule state_rules[] = {
    {"configuration_in_force", "", ""},
    {"ledger_set_changed", "", ""},
    {"host_silent", "peer", "host_reachable"},
    {"platform_unreachable", "", "platform_reachable"},
    {"backend_set_aside", "server", "backend_trusted"},
    {"places_shared", "service", ""},
};

/// Events about a backend server; the last one about the request's server is reported.
constexpr const char* server_events[] = {"backend_listed", "backend_draining", "backend_doubted",
                                         "backend_gone", "backend_restarted"};

std::optional<log_time> time_from(const std::string& text) {
  std::tm parts{};
  int milliseconds = 0;
  constexpr int all_read = 7;
  const int read =
      std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &parts.tm_year, &parts.tm_mon,
                  &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &milliseconds);
  if (read != all_read) {
    return std::nullopt;
  }
  const std::chrono::year_month_day day{std::chrono::year(parts.tm_year),
                                        std::chrono::month(static_cast<unsigned>(parts.tm_mon)),
                                        std::chrono::day(static_cast<unsigned>(parts.tm_mday))};
  return std::chrono::sys_days(day) + std::chrono::hours(parts.tm_hour) +
         std::chrono::minutes(parts.tm_min) + std::chrono::seconds(parts.tm_sec) +
         std::chrono::milliseconds(milliseconds);
}

std::string text_of(const json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

std::string clock_text(log_time time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(time - day).count();
  constexpr std::int64_t second = 1000;
  constexpr std::int64_t minute = 60 * second;
  constexpr std::int64_t hour = 60 * minute;
  return fmt::format("{:02}:{:02}:{:02}.{:03}", since / hour, since % hour / minute,
                     since % minute / second, since % second);
}

bool is_before(const log_line& line, const log_line& of) {
  return line.host == of.host && line.time <= of.time;
}

std::string with_age(const log_line& state_line, const log_line& at) {
  const auto age = std::chrono::duration<double>(at.time - state_line.time).count();
  return fmt::format("{} {}, for {:.1f} s: {}", clock_text(at.time), at.host, age,
                     describe_line(state_line));
}

void add_host_state(const std::vector<log_line>& logs, const log_line& at,
                    const std::string& server, std::vector<std::string>& into) {
  for (const state_rule& rule : state_rules) {
    std::map<std::string, const log_line*> newest;
    for (const log_line& line : logs) {
      if (!is_before(line, at)) {
        continue;
      }
      const std::string subject = line.field(rule.subject);
      if (line.name == rule.event) {
        newest[subject] = &line;
      } else if (line.name == rule.ended_by) {
        newest.erase(subject);
      }
    }
    for (const auto& [subject, line] : newest) {
      into.push_back(with_age(*line, at));
    }
  }
  const log_line* last_event = nullptr;
  for (const log_line& line : logs) {
    const bool about_server = !server.empty() && line.field("server") == server &&
                              std::find(std::begin(server_events), std::end(server_events),
                                        line.name) != std::end(server_events);
    if (about_server && is_before(line, at)) {
      last_event = &line;
    }
  }
  if (last_event != nullptr) {
    into.push_back(with_age(*last_event, at));
  }
}

std::string version_text(const std::string& version) {
  return version.empty() ? "an unknown version" : "version " + version;
}

std::string describe_resumption(const log_line& line) {
  const auto of = [&line](const char* key) { return line.field(key); };
  const std::string origin =
      of("origin_version").empty()
          ? "at an unknown version"
          : fmt::format("at {}{}", version_text(of("origin_version")),
                        of("origin_server").empty() ? "" : " of server " + of("origin_server"));
  const std::string stream = fmt::format(
      "the {} resumes a stream{} that began {}, after event {}",
      of("by") == "host" ? "front host" : "caller",
      of("resumes").empty() ? "" : " of attempt " + of("resumes"), origin, of("last_event"));
  if (of("decision") != "placed") {
    return fmt::format("{}: {}: {}", stream, of("decision"), of("detail"));
  }
  return fmt::format("{}: goes on at server {}, {}", stream, of("server"),
                     version_text(of("server_version")));
}

/// The ids of all attempts that are parts of the same streams as `id`, and `id` itself.
std::set<std::string> attempts_of_stream(const std::vector<log_line>& logs, const std::string& id) {
  std::set<std::string> attempts{id};
  std::size_t known = 0;
  while (known != attempts.size()) {
    known = attempts.size();
    for (const log_line& line : logs) {
      const std::string request = line.field("request");
      const std::string resumes = line.field("resumes");
      if (resumes.empty() || request.empty()) {
        continue;
      }
      if (attempts.contains(request) || attempts.contains(resumes)) {
        attempts.insert(request);
        attempts.insert(resumes);
      }
    }
  }
  return attempts;
}

}  // namespace

std::string log_line::field(const std::string& key) const {
  const auto found = this->fields.find(key);
  return found == this->fields.end() ? std::string() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text) {
  const std::size_t brace = text.find('{');
  if (brace == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const json::value value = json::parse(text.substr(brace), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  log_line line;
  for (const auto& [key, item] : value.as_object()) {
    line.fields[key] = text_of(item);
  }
  const auto time = time_from(line.field("time"));
  line.name = line.field("name");
  line.host = line.field("host");
  if (!time || line.name.empty()) {
    return std::nullopt;
  }
  line.time = *time;
  return line;
}

std::string describe_line(const log_line& line) {
  const auto of = [&line](const char* key) { return line.field(key); };
  if (line.name == "call_refused") {
    return fmt::format("refused with {} ({}): {}", of("status"), of("kind"), of("detail"));
  }
  if (line.name == "turn_refused") {
    return fmt::format("the turn was not admitted: {}", of("detail"));
  }
  if (line.name == "call_ended") {
    const std::string version =
        of("server_version").empty() ? "" : fmt::format(" ({})", of("server_version"));
    const std::string server =
        of("server").empty() ? "no server" : fmt::format("server {}{}", of("server"), version);
    const std::string detail = of("detail").empty() ? "" : "; " + of("detail");
    const bool has_prompt = !of("missing_tokens").empty() && of("missing_tokens") != "0";
    const std::string choice =
        has_prompt ? fmt::format(
                         "; chosen with {} calls there (heard {} ms before), {} prompt "
                         "tokens to read, the line {}",
                         of("server_calls"), of("load_age_ms"), of("missing_tokens"),
                         of("holds_line") == "yes" ? "was there" : "was not there")
                   : "";
    return fmt::format(
        "route {} of version {}, {}: {} with {} after {} tries, {} events; {} ms in all, {} ms "
        "of them waiting for a server, {} ms for the disk hosts{}{}",
        of("route"), of("version"), server, of("outcome"), of("status"), of("tries"), of("events"),
        of("took_ms"), of("queue_ms"), of("ledger_ms"), choice, detail);
  }
  if (line.name == "resumption_decided") {
    return describe_resumption(line);
  }
  const std::set<std::string> excluded_fields{"time", "severity", "event", "name", "host"};
  std::string rest;
  for (const auto& [key, value] : line.fields) {
    if (!excluded_fields.contains(key) && !value.empty()) {
      rest += fmt::format("{}{}={}", rest.empty() ? "" : ", ", key, value);
    }
  }
  return fmt::format("{} ({})", line.name, rest);
}

request_report request_report_for(const std::vector<log_line>& logs, const std::string& id) {
  request_report report;
  std::vector<log_line> sorted = logs;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.time < b.time; });
  const std::set<std::string> attempts = attempts_of_stream(sorted, id);
  std::set<std::string> programs;
  for (const log_line& line : sorted) {
    if (!attempts.contains(line.field("request")) && line.field("program") != id) {
      continue;
    }
    report.lines.push_back(line);
    programs.insert(line.field("program"));
  }
  programs.erase("");
  std::set<std::string> hosts;
  for (const log_line& line : report.lines) {
    if (hosts.insert(line.host).second) {
      const auto ended =
          std::find_if(report.lines.begin(), report.lines.end(), [&line](const log_line& item) {
            return item.host == line.host && !item.field("server").empty();
          });
      const std::string server = ended == report.lines.end() ? "" : ended->field("server");
      add_host_state(sorted, line, server, report.host_state);
    }
  }
  for (const log_line& line : sorted) {
    const bool other = line.name == "call_ended" && programs.contains(line.field("program")) &&
                       !attempts.contains(line.field("request")) && line.field("program") != id;
    if (other) {
      report.other_requests.push_back(fmt::format("{} {} {}: {} with {}", clock_text(line.time),
                                                  line.host, line.field("request"),
                                                  line.field("outcome"), line.field("status")));
    }
  }
  return report;
}

}  // namespace hawthornlane::explain
