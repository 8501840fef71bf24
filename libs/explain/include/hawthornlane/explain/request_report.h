// Reconstructs from the hosts' logs what happened to a request, and what the host that served it
// knew at that time. No I/O.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane::explain {

/// Wall-clock time of a log line.
using log_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One line of a host's log.
struct log_line {
  log_time time;
  std::string host;
  /// Name of the event, see docs/EVENTS.md.
  std::string name;
  std::map<std::string, std::string> fields;

  /// The value of a field; empty if the line does not have it.
  [[nodiscard]] std::string field(const std::string& key) const;
};

/// Parses one line of JSON; nothing if it is not a log line. Text before the first brace is
/// skipped, since log collectors add prefixes.
std::optional<log_line> parse_log_line(std::string_view text);

/// What the logs say about one request, or about all requests of a program.
struct request_report {
  /// The lines that name the request, another attempt at the same stream, or the program, ordered
  /// by time.
  std::vector<log_line> lines;
  /// For each host that wrote one of these lines, what it knew when it wrote the first one, as
  /// sentences.
  std::vector<std::string> host_state;
  /// Other requests of the same programs, as sentences, ordered by time.
  std::vector<std::string> other_requests;
};

/// Builds the report for a request id or a program id. It has no lines if the logs do not
/// contain the id.
request_report request_report_for(const std::vector<log_line>& logs, const std::string& id);

/// A log line as a sentence.
std::string describe_line(const log_line& line);

}  // namespace hawthornlane::explain
