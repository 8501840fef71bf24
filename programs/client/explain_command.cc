// The `explain` command: shows from the hosts' logs what happened to a request.
#include <fmt/format.h>

#include <fstream>
#include <iostream>

#include "commands.h"
#include "hawthornlane/explain/request_report.h"

namespace hawthornlane::cli {
namespace {

void read_lines(std::istream& from, std::vector<explain::log_line>& into) {
  for (std::string text; std::getline(from, text);) {
    if (auto line = explain::parse_log_line(text)) {
      into.push_back(std::move(*line));
    }
  }
}

void print_part(const char* title, const std::vector<std::string>& lines) {
  if (lines.empty()) {
    return;
  }
  fmt::print("{}\n", title);
  for (const std::string& line : lines) {
    fmt::print("  {}\n", line);
  }
}

}  // namespace

int explain_request(const std::string& id, const std::vector<std::string>& files) {
  std::vector<explain::log_line> logs;
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file && name != "-") {
      fmt::print(stderr, "{}: cannot read the file\n", name);
      return exit_usage;
    }
    read_lines(name == "-" ? std::cin : file, logs);
  }
  const explain::request_report report = explain::request_report_for(logs, id);
  if (report.lines.empty()) {
    fmt::print(stderr, "no log line contains {}; pass the logs of all front hosts\n", id);
    return exit_refused;
  }
  std::vector<std::string> events;
  for (const explain::log_line& line : report.lines) {
    events.push_back(fmt::format("{} {} {}: {}", line.field("time"), line.host,
                                 line.field("request"), explain::describe_line(line)));
  }
  print_part("what happened", events);
  print_part("state known to the host at that time", report.host_state);
  print_part("other requests of the same program", report.other_requests);
  return exit_ok;
}

}  // namespace hawthornlane::cli
