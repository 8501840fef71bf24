// Tells from the hosts' logs what became of a request and what the host that served
// it believed at that time. No I/O.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane::explain {

/// A moment of the wall clock, as hosts write it.
using log_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One line of a host's log.
struct log_line {
  log_time time;
  std::string host;
  /// The event's name, as in docs/EVENTS.md.
  std::string name;
  std::map<std::string, std::string> fields;

  /// Empty when the line has no such field.
  [[nodiscard]] std::string field(const std::string& key) const;
};

/// Reads one line of JSON; nothing when it is no log line. Text before the first brace
/// is passed over, since collectors put their own there.
std::optional<log_line> parse_log_line(std::string_view text);

/// One request, or all requests of a program.
struct request_report {
  /// The lines that name the request or the program, in order of time.
  std::vector<log_line> lines;
  /// What the hosts of these lines believed, in words, as of the first line of each.
  std::vector<std::string> host_state;
  /// Other requests of the same programs, in words, in order of time.
  std::vector<std::string> other_requests;
};

/// `id` names a request or a program; no lines when the logs do not hold it.
request_report request_report_for(const std::vector<log_line>& logs, const std::string& id);

/// One line in words.
std::string describe_line(const log_line& line);

}  // namespace hawthornlane::explain
